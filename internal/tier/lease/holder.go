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

// HolderOptions describe a candidate for a role.
type HolderOptions struct {
	Role    string
	Self    uint64 // identity
	Caller  rpc.Caller
	Local   *Grantor                  // called without the network where its identity is a voter's; may be nil
	Voters  func() []*tierpb.VoterSet // as the control state has them; nil or empty while it is not known
	Term    time.Duration             // 0 for LongestTerm
	Changed func(held bool)           // called by Run at each change; may be nil
}

// Holder tries to hold the lease of a role for as long as Run runs.
type Holder struct {
	options  HolderOptions
	sequence uint64 // of the last round; Run alone uses it

	mu    sync.Mutex
	until time.Time // the lease is held before this time
	held  bool      // as last reported by Changed
}

// NewHolder makes a holder that holds nothing yet.
func NewHolder(options HolderOptions) *Holder {
	if options.Term <= 0 || options.Term > LongestTerm {
		options.Term = LongestTerm
	}
	return &Holder{options: options, sequence: uint64(time.Now().UnixNano())}
}

// Held says whether the lease is held. It turns false a margin before the lease expires at the first grantor.
func (h *Holder) Held() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.until)
}

// Run acquires and renews the lease until ctx ends, then gives it back.
func (h *Holder) Run(ctx context.Context) {
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
func (h *Holder) round(ctx context.Context) time.Duration {
	term := h.options.Term
	began := time.Now()
	result := h.askAll(ctx, false)
	if result.quorum {
		h.set(began.Add(term - term/8))
		return term / 3
	}
	if h.Held() {
		return term / 8
	}
	h.set(time.Time{})
	if result.granted > 0 {
		h.release(ctx)
	}
	return max(result.remaining, term/4) + rand.N(term/4)
}

// set takes over a new end of the lease and reports a change.
func (h *Holder) set(until time.Time) {
	h.mu.Lock()
	h.until = until
	held := time.Now().Before(until)
	changed := held != h.held
	h.held = held
	h.mu.Unlock()
	if changed && h.options.Changed != nil {
		h.options.Changed(held)
	}
}

// stop ends the lease at its holder first, then at the grantors.
func (h *Holder) stop() {
	held := h.Held()
	h.set(time.Time{})
	if held {
		h.release(context.Background())
	}
}

func (h *Holder) release(ctx context.Context) { h.askAll(ctx, true) }

// roundResult is what a round of calls has brought.
type roundResult struct {
	quorum    bool
	granted   int
	remaining time.Duration // of the longest lease of another holder
}

type answer struct {
	from  uint64
	reply *tierpb.LeaseReply
}

// askAll calls all voters at once and returns at the first quorum, or when all have answered or the time is over.
func (h *Holder) askAll(ctx context.Context, release bool) roundResult {
	ctx, cancel := context.WithTimeout(ctx, h.options.Term/4)
	defer cancel()
	h.sequence++
	sequence := h.sequence
	voters := h.options.Voters()
	nodes := register.Voters(&tierpb.ControlState{Voters: voters})
	answers := make(chan answer, len(nodes))
	for _, node := range nodes {
		go func() { answers <- answer{from: node.GetIdentity(), reply: h.call(ctx, node, sequence, release)} }()
	}
	granted := make(map[uint64]bool)
	result := roundResult{}
	for range nodes {
		got := <-answers
		switch {
		case got.reply.GetGranted():
			granted[got.from] = true
			result.granted++
		case got.reply != nil:
			result.remaining = max(result.remaining, time.Duration(got.reply.RemainingMs)*time.Millisecond)
		}
		if register.Quorum(voters, func(identity uint64) bool { return granted[identity] }) {
			result.quorum = true
			return result
		}
	}
	return result
}

func (h *Holder) call(ctx context.Context, node *tierpb.Node, sequence uint64, release bool) *tierpb.LeaseReply {
	request := &tierpb.LeaseRequest{
		Role:     h.options.Role,
		Holder:   h.options.Self,
		TtlMs:    uint32(h.options.Term / time.Millisecond),
		Release:  release,
		Identity: node.GetIdentity(),
		Sequence: sequence,
	}
	if local := h.options.Local; local != nil && local.identity == node.GetIdentity() {
		return local.Answer(request)
	}
	reply := &tierpb.LeaseReply{}
	if err := h.options.Caller.Call(ctx, node.GetAddress(), rpc.MethodLease, request, reply); err != nil {
		return nil
	}
	return reply
}
