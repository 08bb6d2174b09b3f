package draining

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// fakePeers stands for two other coordinators at the addresses "two" and "three". The Announcer under test has identity 1.
type fakePeers struct {
	quorumContact bool

	mu    sync.Mutex
	acks  map[string]*tierpb.AnnounceReply // by address; peers without an entry do not answer
	calls int
}

func (p *fakePeers) NewestVoters() *tierpb.ControlState {
	voters := &tierpb.VoterSet{Nodes: []*tierpb.Node{{Identity: 1}, {Identity: 2}, {Identity: 3}}}
	return &tierpb.ControlState{Epoch: 4, Voters: []*tierpb.VoterSet{voters}}
}

func (p *fakePeers) Targets() []watch.Endpoint {
	return []watch.Endpoint{{Address: "two"}, {Address: "three"}}
}
func (p *fakePeers) HasQuorumContact() bool         { return p.quorumContact }
func (p *fakePeers) RecordCoordinator(*tierpb.Node) {}
func (p *fakePeers) ack(address string) *tierpb.AnnounceReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return p.acks[address]
}

func (p *fakePeers) Call(_ context.Context, address string, _ rpc.Method, _, reply rpc.Message) error {
	ack := p.ack(address)
	if ack == nil {
		return rpc.ErrUnreachable
	}
	answer := reply.(*tierpb.AnnounceReply)
	answer.Identity, answer.Epoch = ack.Identity, ack.Epoch
	return nil
}

func (p *fakePeers) callCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func newTestAnnouncer(t *testing.T, peers *fakePeers) *Announcer {
	t.Helper()
	disk := simulation.NewNetwork(rand.New(rand.NewPCG(1, 1)), simulation.LinkConditions{}).
		NewMachine("10.0.0.1:1", rand.New(rand.NewPCG(1, 2))).Start().Mount()
	table, err := OpenTable(disk, Folder)
	assert.NilError(t, err)
	return NewAnnouncer(AnnouncerOptions{
		Self: &tierpb.Node{Identity: 1}, Caller: peers, State: watch.NewState(), Membership: peers, Table: table,
		Log: hclog.NewNullLogger(),
	})
}

// announce announces a draining instance and waits for less time than AnnounceTimeout.
func announce(t *testing.T, announcer *Announcer) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	defer time.Sleep(2 * AnnounceTimeout) // until the calls in flight have ended
	return announcer.Announce(ctx, &tierpb.Instance{Id: "i-1", State: draining})
}

func TestTerminalStateIsConfirmedOnlyByAQuorum(t *testing.T) {
	for name, test := range map[string]struct {
		acks      map[string]*tierpb.AnnounceReply
		confirmed bool
	}{
		"no peer answers":                 {nil, false},
		"one peer answers":                {map[string]*tierpb.AnnounceReply{"two": {Identity: 2, Epoch: 4}}, true},
		"peer with older voters":          {map[string]*tierpb.AnnounceReply{"two": {Identity: 2, Epoch: 3}}, true},
		"peer with later voters":          {map[string]*tierpb.AnnounceReply{"two": {Identity: 2, Epoch: 5}}, false},
		"another node at the address":     {map[string]*tierpb.AnnounceReply{"two": {Identity: 9, Epoch: 4}}, false},
		"same identity at both addresses": {map[string]*tierpb.AnnounceReply{"two": {Identity: 1}, "three": {Identity: 1}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assert.Equal(t, announce(t, newTestAnnouncer(t, &fakePeers{acks: test.acks})), test.confirmed)
			})
		})
	}
}

func TestConfirmedStateIsAnnouncedAgainOnlyWithoutQuorumContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &fakePeers{quorumContact: true, acks: map[string]*tierpb.AnnounceReply{"two": {Identity: 2}, "three": {Identity: 3}}}
		announcer := newTestAnnouncer(t, peers)
		assert.Assert(t, announce(t, announcer))
		assert.Equal(t, peers.callCount(), 2)
		assert.Assert(t, announce(t, announcer))
		assert.Equal(t, peers.callCount(), 2, "a confirmed state was announced again")
		peers.quorumContact = false
		assert.Assert(t, announce(t, announcer))
		assert.Equal(t, peers.callCount(), 4)
		peers.quorumContact = true
		announcer.Prune(func(string) bool { return false })
		assert.Assert(t, announce(t, announcer))
		assert.Equal(t, peers.callCount(), 6)
	})
}

func TestSilentCoordinatorIsCalledAgainAfterAnnounceReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &fakePeers{}
		assert.Assert(t, !announce(t, newTestAnnouncer(t, peers)))
		attempts := int(AnnounceTimeout / announceBackoff)
		assert.Assert(t, peers.callCount() >= 2*(attempts-1), "%d calls", peers.callCount())
		assert.Assert(t, peers.callCount() <= 2*(attempts+1), "%d calls", peers.callCount())
	})
}
