package register

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Errors of a change that was not completed.
var (
	// ErrUncertain is returned if ctx ended, or a failpoint stopped the process, after a changed value had been sent to at
	// least one acceptor: the change may have taken effect or may still take effect.
	ErrUncertain = eris.New("register: the outcome of the change is unknown")
	// ErrUnavailable is returned if ctx ended, or a failpoint stopped the process, before a changed value was sent: this call
	// has not changed the register and never will.
	ErrUnavailable = eris.New("register: no quorum")
	// ErrUnsafeVoterChange is returned if the change function changes the voters in a way that is not safe in one step; see
	// Reconfigure.
	ErrUnsafeVoterChange = eris.New("register: unsafe change of voters")
)

// Timeouts and backoff of a proposer.
const (
	defaultCallTimeout  = 500 * time.Millisecond
	initialBackoff      = 15 * time.Millisecond
	maxBackoff          = 250 * time.Millisecond
	maxPreemptedBackoff = time.Second // bounds the backoff after a preempted attempt, which is up to the attempt's duration
	maxBackoffDoublings = 8           // keeps the shift of initialBackoff from overflowing
)

// ChangeFunc computes the next value from the current one, which it may modify and return. If it returns an unmodified
// value, nil or an error, the register is not changed. It may be called several times and must recognise its own effect,
// because an earlier attempt whose outcome was unknown may have been completed in the meantime.
type ChangeFunc func(current *tierpb.ControlState) (*tierpb.ControlState, error)

// ProposerOptions configure a Proposer.
type ProposerOptions struct {
	// Caller sends requests to other acceptors.
	Caller rpc.Caller
	// Local is the acceptor of this process, which is called directly, without the network; may be nil.
	Local *Acceptor
	// KnownState returns the newest chosen state that this process knows from any source; may be nil or return nil.
	KnownState func() *tierpb.ControlState
	// CallTimeout bounds one call; 0 means 500 ms. A phase calls a voter that does not reply up to three times.
	CallTimeout time.Duration
	// OnChosen is called with each value that the proposer finds to be chosen, while the proposer is locked; may be nil.
	OnChosen func(*tierpb.ControlState)
	// Failpoints stop the process at chosen points in tests; nil in production.
	Failpoints *failpoint.Points
	// Jitter returns a backoff of 0 to n; nil means a uniformly random one.
	Jitter func(n time.Duration) time.Duration
}

// Proposer changes and reads the register. It is safe for concurrent use and runs one operation at a time.
type Proposer struct {
	options   ProposerOptions
	semaphore chan struct{} // holds one token while the proposer is free; whoever takes it may access the fields below

	id          uint64               // unique for each start, so that no two incarnations use the same proposal number
	counter     uint64               // highest counter seen in any proposal number
	newest      *tierpb.ControlState // value of the highest epoch and version seen, chosen or not
	chosen      *tierpb.ControlState // newest value that this proposer knows to be chosen
	cachedValue acceptedValue        // accepted value of the highest proposal number seen
}

// NewProposer returns a proposer. It sends nothing until the first call of Change or Read.
func NewProposer(options ProposerOptions) *Proposer {
	if options.CallTimeout <= 0 {
		options.CallTimeout = defaultCallTimeout
	}
	if options.Jitter == nil {
		options.Jitter = func(n time.Duration) time.Duration { return rand.N(n + 1) }
	}
	owner := ""
	if options.Local != nil {
		owner = strconv.FormatUint(options.Local.Identity(), 16)
	}
	proposer := &Proposer{options: options, semaphore: make(chan struct{}, 1), id: uniqueID(owner)}
	if options.Local != nil {
		proposer.counter = options.Local.HighestPrepared().GetCounter()
	}
	proposer.unlock()
	return proposer
}

// lock waits until the proposer is free; false means that ctx ended first.
func (p *Proposer) lock(ctx context.Context) bool {
	select {
	case <-p.semaphore:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *Proposer) unlock() { p.semaphore <- struct{}{} }

// Change replaces the current value with the result of the change function, increments its version, and returns it once
// it is chosen. If the function changes nothing, Change returns the current value, once that is known to be chosen, and
// the function's error if there is one. Preempted and failed attempts are retried until ctx ends; the error is then
// ErrUncertain or ErrUnavailable. An unsafe change of voters counts as an error of the change function,
// ErrUnsafeVoterChange.
func (p *Proposer) Change(ctx context.Context, change ChangeFunc) (*tierpb.ControlState, error) {
	return p.ChangeUnlessDecided(ctx, nil, change)
}

// ChangeUnlessDecided is Change for a change whose result may already be final. The function isFinal gets a chosen value
// and reports whether the change function would modify neither that value nor any later one, and would return the same
// result for all of them. Such a change is answered after a single query, without a prepare or a disk write, so that the
// losers of a race between conflicting changes do not delay each other. There is no additional round trip unless the result
// is final for the state that this process knows.
func (p *Proposer) ChangeUnlessDecided(
	ctx context.Context, isFinal func(chosen *tierpb.ControlState) bool, change ChangeFunc,
) (*tierpb.ControlState, error) {
	if !p.lock(ctx) {
		return nil, ErrUnavailable
	}
	defer p.unlock()
	failure := ErrUnavailable
	for attempt := 0; ; attempt++ {
		if value := p.readFinal(ctx, isFinal); value != nil {
			_, err := change(value.CloneVT())
			return value, err
		}
		began := time.Now()
		result := p.attempt(ctx, change)
		if result.completed {
			return result.value, result.err
		}
		if result.valueSent {
			failure = ErrUncertain
		}
		if eris.Is(result.err, failpoint.ErrStopped) {
			return nil, failure
		}
		if !p.waitBackoff(ctx, backoff(attempt, result.preempted, time.Since(began))) {
			return nil, failure
		}
	}
}

// attemptResult is the result of one attempt at a change.
type attemptResult struct {
	completed bool // value and err are the final result of the change
	value     *tierpb.ControlState
	err       error
	valueSent bool // a changed value was sent to an acceptor
	preempted bool // a voter has prepared a higher proposal number
}

// attempt runs a prepare phase and, if needed, an accept phase under a new proposal number.
func (p *Proposer) attempt(ctx context.Context, change ChangeFunc) attemptResult {
	if err := p.options.Failpoints.At(failpoint.PrepareSending); err != nil {
		return attemptResult{err: err}
	}
	proposal := p.newProposal(p.nextProposalNumber())
	prepared := proposal.prepare(ctx, p.newestKnownState())
	p.counter = max(p.counter, prepared.highestRejection)
	p.observePrepared(prepared)
	if !prepared.quorum {
		return attemptResult{preempted: prepared.highestRejection > 0}
	}
	if err := p.options.Failpoints.At(failpoint.PrepareDone); err != nil {
		return attemptResult{err: err}
	}
	current := prepared.value
	if prepared.chosen {
		p.observeChosen(current)
	}
	next, changeErr := change(current.CloneVT())
	if changeErr != nil || next == nil || sameContent(next, current) {
		return p.ensureChosen(ctx, proposal, prepared, changeErr)
	}
	next, err := setVersionAndEpoch(current, next)
	if err != nil {
		return p.ensureChosen(ctx, proposal, prepared, err)
	}
	if leavesJoint(current, next) && !p.isEpochChosen(current.GetEpoch()) {
		result := p.ensureChosen(ctx, proposal, prepared, nil)
		return attemptResult{err: result.err}
	}
	return p.accept(ctx, proposal, current, next)
}

// nextProposalNumber returns a proposal number higher than all that this process has seen.
func (p *Proposer) nextProposalNumber() *tierpb.ProposalNumber {
	if p.options.Local != nil {
		p.counter = max(p.counter, p.options.Local.HighestPrepared().GetCounter())
	}
	p.counter++
	return &tierpb.ProposalNumber{Counter: p.counter, Proposer: p.id}
}

// ensureChosen returns the current value with changeErr once the value is chosen. If it is not yet known to be chosen, it
// is proposed again unchanged: a result must not depend on a value that may be lost.
func (p *Proposer) ensureChosen(ctx context.Context, proposal *proposal, prepared prepareResult, changeErr error) attemptResult {
	if prepared.chosen {
		return attemptResult{completed: true, value: prepared.value, err: changeErr}
	}
	result := p.accept(ctx, proposal, prepared.value, prepared.value)
	result.valueSent = false
	if result.completed {
		result.err = changeErr
	}
	return result
}

// accept runs the accept phase of an attempt.
func (p *Proposer) accept(ctx context.Context, proposal *proposal, current, next *tierpb.ControlState) attemptResult {
	accepted := proposal.accept(ctx, current, next)
	p.counter = max(p.counter, accepted.highestRejection)
	if accepted.err != nil || !accepted.quorum {
		return attemptResult{valueSent: accepted.sent, err: accepted.err, preempted: accepted.highestRejection > 0}
	}
	p.cachedValue = acceptedValue{number: proposal.number, value: next}
	p.observeChosen(next)
	if err := p.options.Failpoints.At(failpoint.AcceptDone); err != nil {
		return attemptResult{valueSent: true, err: err}
	}
	return attemptResult{completed: true, value: next}
}

// backoff returns the maximum wait before the next attempt. It doubles with each attempt. After a preempted attempt it is
// at least as long as that attempt took, so that one of the competing proposers succeeds even if disks are slow.
func backoff(attempt int, preempted bool, elapsed time.Duration) time.Duration {
	longest := min(initialBackoff<<min(attempt, maxBackoffDoublings), maxBackoff)
	if preempted {
		longest = max(longest, min(elapsed, maxPreemptedBackoff))
	}
	return longest
}

// waitBackoff waits for a jittered backoff; false means that ctx ended.
func (p *Proposer) waitBackoff(ctx context.Context, longest time.Duration) bool {
	timer := time.NewTimer(p.options.Jitter(longest))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
