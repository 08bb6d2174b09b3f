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

// Results of a change that did not come to an end.
var (
	// ErrUncertain: a changed value was sent to acceptors, and whether it is or will be in force is not known.
	ErrUncertain = eris.New("register: the end of the change is not known")
	// ErrUnavailable: no quorum was reached, and this call has changed nothing and will not.
	ErrUnavailable = eris.New("register: no quorum")
	// ErrTransition: the change of voters asked for is not one of the safe steps.
	ErrTransition = eris.New("register: unsafe change of voters")
)

// Times of a proposer.
const (
	defaultTimeout = 500 * time.Millisecond // of one call
	firstBackoff   = 15 * time.Millisecond
	longestBackoff = 250 * time.Millisecond
	outbidBackoff  = time.Second
)

// ChangeFunc computes the next value from the current one, which it may alter and return. The same value, or nil,
// leaves it as it is; an error does too. It may be called several times, and must know its own effect when it
// meets it: an attempt whose end was not known may have been completed since.
type ChangeFunc func(current *tierpb.ControlState) (*tierpb.ControlState, error)

// ProposerOptions of a proposer.
type ProposerOptions struct {
	Caller      rpc.Caller
	Local       *Acceptor                           // called without the network; may be nil
	KnownState  func() *tierpb.ControlState         // newest chosen state known in this process; may be nil or return nil
	CallTimeout time.Duration                       // of one call; 0 for the default
	OnChosen    func(*tierpb.ControlState)          // told of each value found to be chosen; may be nil
	Failpoints  *failpoint.Points                   // tests only
	Jitter      func(n time.Duration) time.Duration // from 0 to n; nil for a random one
}

// Proposer changes and reads the register. It is safe for concurrent use and makes one change at a time.
type Proposer struct {
	options ProposerOptions
	turn    chan struct{}        // holds one token; its owner may change what follows
	number  uint64               // drawn at each start, so that no two lives share a ballot
	counter uint64               // highest counter seen in any ballot
	newest  *tierpb.ControlState // highest epoch and version seen, chosen or not
	chosen  *tierpb.ControlState // newest value that this proposer knows to be chosen
	cached  cachedValue          // as last met
}

// NewProposer makes a proposer.
func NewProposer(options ProposerOptions) *Proposer {
	if options.CallTimeout <= 0 {
		options.CallTimeout = defaultTimeout
	}
	if options.Jitter == nil {
		options.Jitter = func(n time.Duration) time.Duration { return rand.N(n + 1) }
	}
	owner := ""
	if options.Local != nil {
		owner = strconv.FormatUint(options.Local.Identity(), 16)
	}
	proposer := &Proposer{options: options, turn: make(chan struct{}, 1), number: draw(owner)}
	if options.Local != nil {
		proposer.counter = options.Local.HighestPrepared().GetCounter()
	}
	proposer.turn <- struct{}{}
	return proposer
}

// Change replaces the current value by what the function makes of it, raises its version by one, and returns it
// when it is chosen. Where the function changes nothing the current value is made sure to be chosen and returned,
// with the function's error if it gave one. Conflicts and failed attempts are repeated until ctx ends; the error is
// ErrUncertain or ErrUnavailable then.
func (p *Proposer) Change(ctx context.Context, change ChangeFunc) (*tierpb.ControlState, error) {
	return p.ChangeUnlessDecided(ctx, nil, change)
}

// ChangeUnlessDecided is Change for a change that may be settled: isSettled says of a chosen value that the change alters nothing
// on it nor on any later one, and would end alike on all of them. Where that is known, a round without promises and
// without a sync decides, so that those who lost a race do not hold up each other. It costs no round otherwise.
func (p *Proposer) ChangeUnlessDecided(
	ctx context.Context, isSettled func(chosen *tierpb.ControlState) bool, change ChangeFunc,
) (*tierpb.ControlState, error) {
	select {
	case <-p.turn:
	case <-ctx.Done():
		return nil, ErrUnavailable
	}
	defer func() { p.turn <- struct{}{} }()
	failure := ErrUnavailable
	for attempt := 0; ; attempt++ {
		if value := p.settled(ctx, isSettled); value != nil {
			_, err := change(value.CloneVT())
			return value, err
		}
		began := time.Now()
		result := p.attempt(ctx, change)
		if result.done {
			return result.value, result.err
		}
		if result.sent {
			failure = ErrUncertain
		}
		if eris.Is(result.err, failpoint.ErrStopped) || !p.pause(ctx, p.backoff(attempt, result.outbid, time.Since(began))) {
			return nil, failure
		}
	}
}

// Read returns a value that was current at some moment of the call.
func (p *Proposer) Read(ctx context.Context) (*tierpb.ControlState, error) {
	if value := p.peek(ctx); value != nil {
		return value, nil
	}
	return p.Change(ctx, func(*tierpb.ControlState) (*tierpb.ControlState, error) { return nil, nil })
}

// attemptResult is the end of one attempt.
type attemptResult struct {
	done  bool // value and err are the result of the change
	value *tierpb.ControlState
	err   error
	sent  bool // a changed value has left

	outbid bool // some voter has promised a higher ballot
}

func (p *Proposer) attempt(ctx context.Context, change ChangeFunc) attemptResult {
	if err := p.options.Failpoints.At(failpoint.PrepareSending); err != nil {
		return attemptResult{err: err}
	}
	if p.options.Local != nil {
		p.counter = max(p.counter, p.options.Local.HighestPrepared().GetCounter())
	}
	p.counter++
	round := newRound(p, &tierpb.ProposalNumber{Counter: p.counter, Proposer: p.number}, p.options.CallTimeout)
	prepared := round.prepare(ctx, p.startingPoint())
	p.counter = max(p.counter, prepared.highest)
	p.saw(prepared)
	if !prepared.quorum {
		return attemptResult{outbid: prepared.highest > 0}
	}
	if err := p.options.Failpoints.At(failpoint.PrepareDone); err != nil {
		return attemptResult{err: err}
	}
	current := prepared.value
	if prepared.chosen {
		p.sawChosen(current)
	}
	next, changeErr := change(current.CloneVT())
	if changeErr != nil || next == nil || sameContent(next, current) {
		return p.writeThrough(ctx, round, prepared, changeErr)
	}
	next, err := p.succeed(current, next)
	if err != nil {
		return p.writeThrough(ctx, round, prepared, err)
	}
	if needsChosen(current, next) && !p.knowsEpoch(current.GetEpoch()) {
		result := p.writeThrough(ctx, round, prepared, nil)
		return attemptResult{err: result.err}
	}
	return p.accept(ctx, round, current, next)
}

// writeThrough makes sure that the current value is chosen before anything rests on it.
func (p *Proposer) writeThrough(ctx context.Context, round *round, prepared preparation, changeErr error) attemptResult {
	if prepared.chosen {
		return attemptResult{done: true, value: prepared.value, err: changeErr}
	}
	result := p.accept(ctx, round, prepared.value, prepared.value)
	result.sent = false
	if result.done {
		result.err = changeErr
	}
	return result
}

func (p *Proposer) accept(ctx context.Context, round *round, current, next *tierpb.ControlState) attemptResult {
	accepted := round.accept(ctx, current, next)
	p.counter = max(p.counter, accepted.highest)
	if accepted.err != nil || !accepted.quorum {
		return attemptResult{sent: accepted.sent, err: accepted.err, outbid: accepted.highest > 0}
	}
	p.cached = cachedValue{ballot: round.ballot, value: next}
	p.sawChosen(next)
	if err := p.options.Failpoints.At(failpoint.AcceptDone); err != nil {
		return attemptResult{sent: true, err: err}
	}
	return attemptResult{done: true, value: next}
}

// backoff is how long to wait before the next attempt at most: the longer the more there were, and as long as one takes
// where others bid for the same voters, so that one of them comes to its end on slow disks, too.
func (p *Proposer) backoff(attempt int, outbid bool, lasted time.Duration) time.Duration {
	longest := min(firstBackoff<<min(attempt, 8), longestBackoff)
	if outbid {
		longest = max(longest, min(lasted, outbidBackoff))
	}
	return longest
}

// pause waits before the next attempt; false says that ctx ended.
func (p *Proposer) pause(ctx context.Context, longest time.Duration) bool {
	timer := time.NewTimer(p.options.Jitter(longest))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// startingPoint is the state whose voters are asked first. It decides nothing: the answers name the voters that
// count.
func (p *Proposer) startingPoint() *tierpb.ControlState {
	if p.options.KnownState != nil {
		p.sawAny(p.options.KnownState())
	}
	if p.options.Local != nil {
		p.sawAny(p.options.Local.AcceptedValue())
	}
	return p.newest
}

// saw takes over what a prepare phase has found. A phase in which only an acceptor that lags has promised finds less
// than is known.
func (p *Proposer) saw(prepared preparation) {
	p.sawAny(prepared.value)
	p.counter = max(p.counter, prepared.ballot.GetCounter())
	if prepared.value != nil && !higher(p.cached.ballot, prepared.ballot) {
		p.cached = cachedValue{ballot: prepared.ballot, value: prepared.value}
	}
}

func (p *Proposer) sawAny(state *tierpb.ControlState) {
	if len(state.GetVoters()) == 0 {
		return
	}
	if p.newest == nil || newer(state, p.newest) {
		p.newest = state
	}
}

func (p *Proposer) sawChosen(state *tierpb.ControlState) {
	p.sawAny(state)
	if p.chosen == nil || newer(state, p.chosen) {
		p.chosen = state
	}
	if p.options.OnChosen != nil {
		p.options.OnChosen(state)
	}
}

// knowsEpoch says whether some value with the voters of this epoch is known to be chosen.
func (p *Proposer) knowsEpoch(epoch uint64) bool {
	return p.chosen != nil && p.chosen.GetEpoch() == epoch
}

func newer(state, than *tierpb.ControlState) bool {
	if state.GetEpoch() != than.GetEpoch() {
		return state.GetEpoch() > than.GetEpoch()
	}
	return state.GetVersion() > than.GetVersion()
}
