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
	// ErrUncertain is returned when ctx ended, or the process was stopped, after a changed value had been sent to at least
	// one acceptor: whether the change is, or will be, in force is unknown.
	ErrUncertain = eris.New("register: the outcome of the change is unknown")
	// ErrUnavailable is returned when ctx ended before a quorum was reached and before a changed value was sent: this call
	// has changed nothing and will not.
	ErrUnavailable = eris.New("register: no quorum")
	// ErrTransition is returned when the change function asks for new voters that are not one safe step away, see Reconfigure.
	ErrTransition = eris.New("register: unsafe change of voters")
)

// Time-outs and backoff of a proposer.
const (
	defaultCallTimeout  = 500 * time.Millisecond
	initialBackoff      = 15 * time.Millisecond
	maxBackoff          = 250 * time.Millisecond
	maxPreemptedBackoff = time.Second
	maxBackoffDoublings = 8
)

// ChangeFunc computes the next value from the current one, which it may alter and return. Returning the same value, nil
// or an error leaves the value as it is. It may be called several times, and must recognise its own effect: an attempt
// whose outcome was unknown may have been completed since.
type ChangeFunc func(current *tierpb.ControlState) (*tierpb.ControlState, error)

// ProposerOptions configure a Proposer.
type ProposerOptions struct {
	// Caller sends requests to other acceptors.
	Caller rpc.Caller
	// Local is the acceptor of this process, which is called without the network; may be nil.
	Local *Acceptor
	// KnownState returns the newest chosen state that this process knows, from whatever source; may be nil or return nil.
	KnownState func() *tierpb.ControlState
	// CallTimeout bounds one call; 0 means 500 ms. A phase makes up to three calls to a voter that does not reply.
	CallTimeout time.Duration
	// OnChosen is called with each value that is found to be chosen, while the proposer is locked; may be nil.
	OnChosen func(*tierpb.ControlState)
	// Failpoints stop the process in tests; nil otherwise.
	Failpoints *failpoint.Points
	// Jitter returns a backoff between 0 and n; nil means a uniformly random one.
	Jitter func(n time.Duration) time.Duration
}

// Proposer changes and reads the register. It is safe for concurrent use and runs one operation at a time.
type Proposer struct {
	options   ProposerOptions
	semaphore chan struct{} // holds one token while the proposer is free; its owner may access the fields below

	number      uint64               // unique for each start, so that no two incarnations use the same proposal number
	counter     uint64               // highest counter seen in any proposal number
	newest      *tierpb.ControlState // highest epoch and version seen, chosen or not
	chosen      *tierpb.ControlState // newest value that this proposer knows to be chosen
	cachedValue acceptedValue        // of the highest proposal number seen
}

// NewProposer returns a proposer that has not sent anything yet.
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
	proposer := &Proposer{options: options, semaphore: make(chan struct{}, 1), number: uniqueNumber(owner)}
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

// Change replaces the current value by the result of the change function, raises its version by one, and returns it once
// it is chosen. Where the function changes nothing, the current value is returned once it is known to be chosen, with
// the function's error if it gave one. Conflicts and failed attempts are retried until ctx ends; the error is
// ErrUncertain or ErrUnavailable then. An unsafe change of voters is an error of the change function, ErrTransition.
func (p *Proposer) Change(ctx context.Context, change ChangeFunc) (*tierpb.ControlState, error) {
	return p.ChangeUnlessDecided(ctx, nil, change)
}

// ChangeUnlessDecided is Change for a change that may be decided already. The function isDecided reports whether the
// change function would alter nothing on a chosen value nor on any later one, and would return the same on all of them.
// Such a change is answered by one query, without a prepare and without a disk write, so that those who lost a race do
// not delay each other. A change that is not decided costs no additional round trip.
func (p *Proposer) ChangeUnlessDecided(
	ctx context.Context, isDecided func(chosen *tierpb.ControlState) bool, change ChangeFunc,
) (*tierpb.ControlState, error) {
	if !p.lock(ctx) {
		return nil, ErrUnavailable
	}
	defer p.unlock()
	failure := ErrUnavailable
	for attempt := 0; ; attempt++ {
		if value := p.readDecided(ctx, isDecided); value != nil {
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

// attemptResult is the result of one attempt.
type attemptResult struct {
	completed bool // value and err are the result of the change
	value     *tierpb.ControlState
	err       error
	valueSent bool // a changed value was sent to an acceptor
	preempted bool // some voter has prepared a higher proposal number
}

// attempt runs one prepare phase and, where the change needs one, one accept phase under a new proposal number.
func (p *Proposer) attempt(ctx context.Context, change ChangeFunc) attemptResult {
	if err := p.options.Failpoints.At(failpoint.PrepareSending); err != nil {
		return attemptResult{err: err}
	}
	proposal := p.newProposal(p.nextProposalNumber())
	prepared := proposal.prepare(ctx, p.startState())
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
	next, err := numberSuccessor(current, next)
	if err != nil {
		return p.ensureChosen(ctx, proposal, prepared, err)
	}
	if leavesJoint(current, next) && !p.isEpochChosen(current.GetEpoch()) {
		result := p.ensureChosen(ctx, proposal, prepared, nil)
		return attemptResult{err: result.err}
	}
	return p.accept(ctx, proposal, current, next)
}

// nextProposalNumber returns a proposal number above all that this process has seen.
func (p *Proposer) nextProposalNumber() *tierpb.ProposalNumber {
	if p.options.Local != nil {
		p.counter = max(p.counter, p.options.Local.HighestPrepared().GetCounter())
	}
	p.counter++
	return &tierpb.ProposalNumber{Counter: p.counter, Proposer: p.number}
}

// ensureChosen proposes the current value unchanged, unless it is known to be chosen, before a result is based on it.
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
// at least as long as that attempt took, so that on slow disks, too, one of the competing proposers completes.
func backoff(attempt int, preempted bool, elapsed time.Duration) time.Duration {
	longest := min(initialBackoff<<min(attempt, maxBackoffDoublings), maxBackoff)
	if preempted {
		longest = max(longest, min(elapsed, maxPreemptedBackoff))
	}
	return longest
}

// waitBackoff waits a jittered backoff; false means that ctx ended.
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
