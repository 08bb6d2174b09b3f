package peers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Intervals and timeouts of a Sampler. Intervals are jittered so that processes do not shuffle in lockstep.
const (
	meanShuffleInterval = 2 * time.Second
	maxInitialDelay     = 200 * time.Millisecond // before the first shuffle
	shuffleTimeout      = 500 * time.Millisecond // after which a peer that does not reply counts as dead
)

// Sampler keeps a View up to date by shuffling with peers. It is safe for concurrent use.
type Sampler struct {
	caller rpc.Caller
	seeds  func() []string

	mu   sync.Mutex
	view *View
}

// NewSampler returns a Sampler; Run starts shuffling. Seeds returns the internal addresses (ip:port) of coordinators and is
// called once per round.
func NewSampler(self *tierpb.Node, caller rpc.Caller, seeds func() []string) *Sampler {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Sampler{caller: caller, seeds: seeds, view: NewView(self, random)}
}

// Serve registers the handler for shuffles of other processes.
func (s *Sampler) Serve(server *rpc.Server) { rpc.Handle(server, rpc.MethodShuffle, s.handle) }

// Run shuffles periodically until ctx ends.
func (s *Sampler) Run(ctx context.Context) {
	timer := time.NewTimer(rand.N(maxInitialDelay))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		s.shuffle(ctx)
		timer.Reset(meanShuffleInterval/2 + rand.N(meanShuffleInterval))
	}
}

// Nodes returns the known processes with a role, sorted by the age of their entries, youngest first.
func (s *Sampler) Nodes(role tierpb.Role) []*tierpb.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Nodes(role)
}

func (s *Sampler) shuffle(ctx context.Context) {
	s.mu.Lock()
	shuffle := s.view.StartShuffle(s.seeds())
	s.mu.Unlock()
	if shuffle == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shuffleTimeout)
	defer cancel()
	reply := &tierpb.ShuffleReply{}
	err := s.caller.Call(ctx, shuffle.Address, rpc.MethodShuffle, shuffle.Request, reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.view.AbortShuffle(shuffle)
		return
	}
	s.view.CompleteShuffle(shuffle, reply)
}

func (s *Sampler) handle(_ context.Context, request *tierpb.ShuffleRequest) (*tierpb.ShuffleReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.HandleShuffle(request), nil
}
