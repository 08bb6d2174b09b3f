package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// contestedWait is how long a candidate waits at least after a round in which several had some grants each. What they
// release has arrived by then.
const contestedWait = 100 * time.Millisecond

// CandidateOptions describe a candidate for a role.
type CandidateOptions struct {
	Role     string
	Self     uint64 // identity
	Caller   rpc.Caller
	Local    *Lessor                             // called without the network where its identity is a voter's; may be nil
	Voters   func() []*tierpb.VoterSet           // as the control state has them; nil or empty while it is not known
	TTL      time.Duration                       // 0 for LongestTerm
	OnChange func(held bool)                     // called by Run at each change; may be nil
	Jitter   func(n time.Duration) time.Duration // from 0 to n, which is not included; nil for a random one
}

// Candidate tries to hold the lease of a role for as long as Run runs.
type Candidate struct {
	options CandidateOptions

	mu       sync.Mutex
	sequence uint64               // of the last round
	returned uint64               // grants of rounds up to this one count no longer
	grants   map[uint64]time.Time // ends of the grants by the grantor's identity
	until    time.Time            // end of the tenure as of the last round with a quorum
	tenure   uint64               // number of the present or last acquisition
	held     bool                 // as last reported by Changed
}

// NewCandidate makes a holder that holds nothing yet.
func NewCandidate(options CandidateOptions) *Candidate {
	if options.TTL <= 0 || options.TTL > MaxTTL {
		options.TTL = MaxTTL
	}
	if options.Jitter == nil {
		options.Jitter = rand.N[time.Duration]
	}
	return &Candidate{options: options, sequence: uint64(time.Now().UnixNano()), grants: make(map[uint64]time.Time)}
}

// OwnsLease says whether a majority of the voters that are known grants the lease. It turns false a margin before their
// grants expire.
func (h *Candidate) OwnsLease() bool { return h.OwnsLeaseOf(h.options.Voters()) }

// OwnsLeaseOf says whether a majority of each of these voter sets grants the lease now. Of two holders at most one is held
// by the same sets at a time, whatever sets each of them knows.
func (h *Candidate) OwnsLeaseOf(voters []*tierpb.VoterSet) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heldBy(voters, time.Now())
}

func (h *Candidate) heldBy(voters []*tierpb.VoterSet, now time.Time) bool {
	return now.Before(h.until) && register.HasQuorum(voters, func(identity uint64) bool { return now.Before(h.grants[identity]) })
}

// Acquisition numbers the acquisitions: as long as it stays the same, the lease was not lost in between.
func (h *Candidate) Acquisition() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tenure
}

// Resign ends the tenure at its holder; the next round may acquire the lease anew.
func (h *Candidate) Resign() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drop()
}

// drop forgets all grants, also those that are on their way.
func (h *Candidate) drop() {
	h.until = time.Time{}
	h.returned = h.sequence
	clear(h.grants)
}

// Run acquires and renews the lease until ctx ends, then gives it back.
func (h *Candidate) Run(ctx context.Context) {
	defer h.stop()
	for {
		wait := h.round(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// round asks all voters once and says how long to wait before the next time.
func (h *Candidate) round(ctx context.Context) time.Duration {
	term := h.options.TTL
	voters := h.options.Voters()
	result := h.askAll(ctx, voters, false)
	if result.quorum && h.acquired(result) {
		return term / 3
	}
	if h.OwnsLease() {
		return term / 8
	}
	h.lost()
	if result.granted == 0 {
		return max(result.remaining, term/4) + h.options.Jitter(term/4)
	}
	h.release(ctx)
	return contestedWait + h.options.Jitter(term/4) // nobody had a quorum: the first one to ask again has it
}

// acquired takes over the end of a round with a quorum. Where the lease was not held without a break until now, another
// may have had it, and a new tenure begins.
func (h *Candidate) acquired(result roundResult) bool {
	h.mu.Lock()
	now := time.Now()
	if result.sequence <= h.returned || !now.Before(result.until) {
		h.mu.Unlock()
		return false
	}
	if !now.Before(h.until) {
		h.tenure++
	}
	h.until = result.until
	h.mu.Unlock()
	h.report(true)
	return true
}

// lost forgets all grants and reports it.
func (h *Candidate) lost() {
	h.Resign()
	h.report(false)
}

// report tells of a change.
func (h *Candidate) report(held bool) {
	h.mu.Lock()
	changed := held != h.held
	h.held = held
	h.mu.Unlock()
	if changed && h.options.OnChange != nil {
		h.options.OnChange(held)
	}
}

// stop ends the lease at its holder first, then at the grantors.
func (h *Candidate) stop() {
	held := h.OwnsLease()
	h.lost()
	if held {
		h.release(context.Background())
	}
}

func (h *Candidate) release(ctx context.Context) { h.askAll(ctx, h.options.Voters(), true) }

// begunRound is a round of calls to all voters.
type begunRound struct {
	sequence uint64
	until    time.Time // end of its grants
}

// roundResult is what a round has brought.
type roundResult struct {
	begunRound
	quorum    bool
	granted   int
	remaining time.Duration // of the longest lease of another holder
}

type answer struct {
	from  uint64
	reply *tierpb.LeaseReply
}

// askAll calls all voters at once and returns at the first quorum, or when all have answered or the time is over. Grants
// that come later are noted all the same. A candidate that has grants and can have no quorum any more does not wait for
// voters that are silent: another candidate needs those grants.
func (h *Candidate) askAll(ctx context.Context, voters []*tierpb.VoterSet, release bool) roundResult {
	ctx, cancel := context.WithTimeout(ctx, h.options.TTL/4)
	begun := h.begin(voters)
	result := roundResult{begunRound: begun}
	nodes := register.VoterNodes(&tierpb.ControlState{Voters: voters})
	answers := make(chan answer, len(nodes))
	calls := &sync.WaitGroup{}
	for _, node := range nodes {
		calls.Go(func() {
			reply := h.call(ctx, node, begun.sequence, release)
			h.note(node.GetIdentity(), reply, begun)
			answers <- answer{from: node.GetIdentity(), reply: reply}
		})
	}
	go func() {
		calls.Wait()
		cancel()
	}()
	granted, denied := make(map[uint64]bool), make(map[uint64]bool)
	for range nodes {
		got := <-answers
		switch {
		case got.reply.GetGranted():
			granted[got.from] = true
			result.granted++
		case got.reply != nil:
			denied[got.from] = true
			result.remaining = max(result.remaining, time.Duration(got.reply.RemainingMs)*time.Millisecond)
		}
		if register.HasQuorum(voters, func(identity uint64) bool { return granted[identity] }) {
			result.quorum = true
			return result
		}
		hopeless := !register.HasQuorum(voters, func(identity uint64) bool { return !denied[identity] })
		if hopeless && (release || result.granted > 0) {
			return result
		}
	}
	return result
}

// begin numbers a round. Its grants end a margin before the grantors end them, counted from before they are asked. A
// tenure that the present voters do not grant is over: one that they grant may be another's.
func (h *Candidate) begin(voters []*tierpb.VoterSet) begunRound {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if !h.heldBy(voters, now) {
		h.until = time.Time{}
	}
	for grantor, until := range h.grants {
		if !now.Before(until) {
			delete(h.grants, grantor)
		}
	}
	h.sequence++
	term := h.options.TTL
	return begunRound{sequence: h.sequence, until: now.Add(term - term/8)}
}

// note keeps a grant unless the lease was given up since the round began.
func (h *Candidate) note(grantor uint64, reply *tierpb.LeaseReply, round begunRound) {
	if !reply.GetGranted() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if round.sequence > h.returned && round.until.After(h.grants[grantor]) {
		h.grants[grantor] = round.until
	}
}

func (h *Candidate) call(ctx context.Context, node *tierpb.Node, sequence uint64, release bool) *tierpb.LeaseReply {
	request := &tierpb.LeaseRequest{
		Role:     h.options.Role,
		Holder:   h.options.Self,
		TtlMs:    uint32(h.options.TTL / time.Millisecond),
		Release:  release,
		Identity: node.GetIdentity(),
		Sequence: sequence,
	}
	if local := h.options.Local; local != nil && local.identity == node.GetIdentity() {
		return local.Handle(request)
	}
	reply := &tierpb.LeaseReply{}
	if err := h.options.Caller.Call(ctx, node.GetAddress(), rpc.MethodLease, request, reply); err != nil {
		return nil
	}
	return reply
}
