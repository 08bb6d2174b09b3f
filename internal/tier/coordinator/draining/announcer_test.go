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

// fakePeers are two other coordinators, two and three, as the Announcer of identity 1 sees them.
type fakePeers struct {
	inContact bool

	mu    sync.Mutex
	votes map[string]*tierpb.AnnounceReply // by address; one that is missing does not answer
	calls int
}

func (p *fakePeers) NewestVoters() *tierpb.ControlState {
	voters := &tierpb.VoterSet{Nodes: []*tierpb.Node{{Identity: 1}, {Identity: 2}, {Identity: 3}}}
	return &tierpb.ControlState{Epoch: 4, Voters: []*tierpb.VoterSet{voters}}
}

func (p *fakePeers) Targets() []watch.Endpoint {
	return []watch.Endpoint{{Address: "two"}, {Address: "three"}}
}
func (p *fakePeers) InContact() bool            { return p.inContact }
func (p *fakePeers) RecordContact(*tierpb.Node) {}
func (p *fakePeers) vote(address string) *tierpb.AnnounceReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return p.votes[address]
}

func (p *fakePeers) Call(_ context.Context, address string, _ rpc.Method, _, reply rpc.Message) error {
	vote := p.vote(address)
	if vote == nil {
		return rpc.ErrUnreachable
	}
	answer := reply.(*tierpb.AnnounceReply)
	answer.Identity, answer.Epoch = vote.Identity, vote.Epoch
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

// announce announces that an instance drains, for less than the time in which silent coordinators are called again.
func announce(t *testing.T, announcer *Announcer) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	defer time.Sleep(2 * AnnounceTimeout) // calls under way end by themselves
	return announcer.Announce(ctx, &tierpb.Instance{Id: "i-1", State: draining})
}

func TestFinalStateIsConfirmedByAQuorumOnly(t *testing.T) {
	for name, test := range map[string]struct {
		votes     map[string]*tierpb.AnnounceReply
		confirmed bool
	}{
		"nobody answers":                  {nil, false},
		"one answers":                     {map[string]*tierpb.AnnounceReply{"two": {Identity: 2, Epoch: 4}}, true},
		"one with older voters":           {map[string]*tierpb.AnnounceReply{"two": {Identity: 2, Epoch: 3}}, true},
		"one with later voters":           {map[string]*tierpb.AnnounceReply{"two": {Identity: 2, Epoch: 5}}, false},
		"another node at that address":    {map[string]*tierpb.AnnounceReply{"two": {Identity: 9, Epoch: 4}}, false},
		"the same voter at two addresses": {map[string]*tierpb.AnnounceReply{"two": {Identity: 1}, "three": {Identity: 1}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assert.Equal(t, announce(t, newTestAnnouncer(t, &fakePeers{votes: test.votes})), test.confirmed)
			})
		})
	}
}

func TestConfirmedStateIsAnnouncedAgainWithoutContactOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &fakePeers{inContact: true, votes: map[string]*tierpb.AnnounceReply{"two": {Identity: 2}, "three": {Identity: 3}}}
		announcer := newTestAnnouncer(t, peers)
		assert.Assert(t, announce(t, announcer))
		assert.Equal(t, peers.callCount(), 2)
		assert.Assert(t, announce(t, announcer))
		assert.Equal(t, peers.callCount(), 2, "no call is needed")
		peers.inContact = false
		assert.Assert(t, announce(t, announcer))
		assert.Equal(t, peers.callCount(), 4)
		peers.inContact = true
		announcer.Forget(func(string) bool { return false })
		assert.Assert(t, announce(t, announcer))
		assert.Equal(t, peers.callCount(), 6)
	})
}

func TestCoordinatorThatDoesNotAnswerIsCalledAgainAfterTheCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &fakePeers{}
		assert.Assert(t, !announce(t, newTestAnnouncer(t, peers)))
		attempts := int(AnnounceTimeout / announceBackoff)
		assert.Assert(t, peers.callCount() >= 2*(attempts-1), "%d calls", peers.callCount())
		assert.Assert(t, peers.callCount() <= 2*(attempts+1), "%d calls", peers.callCount())
	})
}
