package peers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Times of a Sampler.
const (
	roundTime  = 2 * time.Second // mean time between two exchanges that a process begins
	replyWait  = 500 * time.Millisecond
	firstRound = 200 * time.Millisecond
)

// Sampler keeps a View by exchanges with peers. It is safe for concurrent use.
type Sampler struct {
	caller rpc.Caller
	seeds  func() []string

	mu   sync.Mutex
	view *View
}

// NewSampler makes a Sampler. The seeds are inner addresses of coordinators and asked for again in each round.
func NewSampler(self *tierpb.Node, caller rpc.Caller, seeds func() []string) *Sampler {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Sampler{caller: caller, seeds: seeds, view: NewView(self, random)}
}

// Serve lets a server answer the exchanges of others.
func (s *Sampler) Serve(server *rpc.Server) { rpc.Handle(server, rpc.MethodShuffle, s.answer) }

// Run begins exchanges until the context ends.
func (s *Sampler) Run(ctx context.Context) {
	timer := time.NewTimer(rand.N(firstRound))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		s.exchange(ctx)
		timer.Reset(roundTime/2 + rand.N(roundTime))
	}
}

// Nodes returns the processes of a role that are known, the most recently heard of first.
func (s *Sampler) Nodes(role tierpb.Role) []*tierpb.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Nodes(role)
}

func (s *Sampler) exchange(ctx context.Context) {
	s.mu.Lock()
	exchange := s.view.Begin(s.seeds())
	s.mu.Unlock()
	if exchange == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, replyWait)
	defer cancel()
	reply := &tierpb.ShuffleReply{}
	err := s.caller.Call(ctx, exchange.Address, rpc.MethodShuffle, exchange.Request, reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.view.Fail(exchange)
		return
	}
	s.view.Finish(exchange, reply)
}

func (s *Sampler) answer(_ context.Context, request *tierpb.ShuffleRequest) (*tierpb.ShuffleReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Answer(request), nil
}
