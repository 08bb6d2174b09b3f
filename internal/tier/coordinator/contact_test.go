package coordinator

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

func (p *process) readiness() int {
	status, _ := p.send(http.MethodGet, "/v1/readyz", "", "")
	return status
}

// A wiped machine at a voter's address is another node: with a second voter down the register has no quorum.
func TestWipedMachineAtAVotersAddressIsNoVote(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		assert.Equal(t, c.at("core-1").configured(0, configurationOf(1, "a")), http.StatusOK)
		c.pass(100 * time.Millisecond)
		c.kill("core-3")
		c.kill("core-2")
		c.wipe("core-2")
		c.start("core-2", false)
		c.pass(2 * time.Second)
		one := c.at("core-1")
		assert.Equal(t, one.configured(1, configurationOf(2, "a")), http.StatusServiceUnavailable, "the register")
		assert.Equal(t, one.readiness(), http.StatusServiceUnavailable)
		assert.Equal(t, one.beat("ready", 1), http.StatusServiceUnavailable)
		assert.Equal(t, one.beat("draining", 2), http.StatusServiceUnavailable)
		c.start("core-3", false)
		c.pass(3 * time.Second)
		assert.Equal(t, one.readiness(), http.StatusOK)
		assert.Equal(t, one.beat("draining", 3), http.StatusOK)
	})
}

// A coordinator that lost its disk has no vote of its own, though it runs at a voter's address.
func TestWipedCoordinatorDoesNotCountItself(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		assert.Equal(t, c.at("core-1").configured(0, configurationOf(1, "a")), http.StatusOK)
		c.pass(100 * time.Millisecond)
		c.kill("core-3")
		c.kill("core-1")
		c.wipe("core-1")
		c.start("core-1", false)
		c.pass(3 * time.Second)
		one := c.at("core-1")
		assert.DeepEqual(t, c.generations("core-1"), []uint64{1})
		assert.Equal(t, one.readiness(), http.StatusServiceUnavailable)
		assert.Equal(t, one.beat("draining", 1), http.StatusServiceUnavailable)
		assert.Equal(t, c.at("core-2").readiness(), http.StatusServiceUnavailable)
		c.start("core-3", false)
		c.pass(4 * time.Second)
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			assert.Equal(t, c.at(name).readiness(), http.StatusOK, name)
		}
	})
}

// ackWhileVotersChange is the longest, in simulated time, that a drain's acknowledgement takes where a vote comes from one
// that has accepted later voters, of which the news is on its way: a wake-up of followers, and some calls.
const ackWhileVotersChange = 50 * time.Millisecond

// While a voter is wiped or its place is taken, the others acknowledge drains, and all but at once.
func TestDrainsAreAcknowledgedWhileVotersChange(t *testing.T) {
	inCluster(t, 4, 1, func(c *cluster) {
		assert.Equal(t, c.at("core-1").configured(0, configurationOf(1, "a")), http.StatusOK)
		c.pass(100 * time.Millisecond)
		c.kill("core-2")
		c.wipe("core-2")
		c.start("core-2", false)
		changed, waited := false, 0
		for sequence := 1; sequence <= 400; sequence++ {
			began := time.Now()
			assert.Equal(t, c.at("core-1").beat("draining", sequence), http.StatusOK, "at %d", sequence)
			assert.Assert(t, time.Since(began) <= ackWhileVotersChange, "simulated time: %v", time.Since(began))
			if time.Since(began) > 5*callDelay {
				waited++
			}
			c.at("core-1").announced.forget(func(string) bool { return false }) // each is told anew
			assert.Equal(t, c.at("core-3").readiness(), http.StatusOK)
			changed = changed || c.at("core-1").state.Control().Epoch > 1
			c.pass(10 * time.Millisecond)
		}
		assert.Assert(t, changed, "no change of voters came")
		assert.Assert(t, waited <= 2, "%d of 400 waited for the news of the change's two steps", waited)
		assert.Equal(t, len(c.at("core-1").state.Control().Voters), 1)
	})
}

// A process that wakes from a freeze has the results of polls from before its sleep, and nothing else.
func TestCoordinatorThatWakesIsNotInTouchByOldAnswers(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		one := c.at("core-1")
		for sequence := 1; sequence <= 6; sequence++ {
			assert.Equal(t, one.beat("ready", sequence), http.StatusOK)
			c.pass(time.Second)
		}
		agent := &tierpb.Node{Role: tierpb.Role_ROLE_AGENT}
		news, err := one.poll(&tierpb.WatchRequest{Follower: agent})
		assert.NilError(t, err)
		c.machines["core-1"].sleepFor(20 * time.Second)
		assert.Equal(t, one.readiness(), http.StatusServiceUnavailable)
		assert.Equal(t, one.beat("ready", 7), http.StatusServiceUnavailable)
		_, err = one.poll(&tierpb.WatchRequest{Follower: agent, Incarnation: news.Incarnation, Cursor: news.Cursor})
		assert.ErrorIs(t, err, watch.ErrNotReady)
		one.markSilent()
		assert.Equal(t, one.state.Instance("i-1").State, ready, "marked by a look at old news")
		c.pass(2 * time.Second)
		assert.Equal(t, one.readiness(), http.StatusOK)
		assert.Equal(t, one.beat("ready", 8), http.StatusOK)
	})
}

// The bound itself, to the nanosecond: two voters answered a poll that was sent at one time.
func TestContactCountsUpToItsBound(t *testing.T) {
	for _, test := range []struct {
		age    time.Duration
		status int
	}{{0, http.StatusOK}, {contactMost, http.StatusOK}, {contactMost + 1, http.StatusServiceUnavailable}} {
		now := time.Unix(1_000_000, 0)
		c := newCoordinator(settings.Fixed(&settings.Settings{}), hclog.NewNullLogger(), &tierpb.Node{Identity: 1}, nil)
		c.now = func() time.Time { return now }
		c.directory.now = c.now
		voters := &tierpb.VoterSet{Nodes: []*tierpb.Node{{Identity: 1}, {Identity: 2}, {Identity: 3}}}
		c.state.SetControl(&tierpb.ControlState{Version: 1, Voters: []*tierpb.VoterSet{voters}})
		c.answered("10.0.2.1:7000", &tierpb.WatchReply{Incarnation: 9, Responder: &tierpb.Responder{Identity: 2}}, now)
		c.directory.answering("10.0.2.1:7000", true)
		now = now.Add(test.age)
		recorder := httptest.NewRecorder()
		c.routes().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/readyz", nil))
		assert.Equal(t, recorder.Code, test.status, "after %v", test.age)
	}
}

// Polls that are all answered just in time never let contact lapse.
func TestContactLastsWithPollsThatAreAnsweredJustInTime(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		c.delay.Store(int64(390 * time.Millisecond))
		c.pass(2 * watch.MaxPollDuration)
		for range 400 {
			assert.Equal(t, c.at("core-1").readiness(), http.StatusOK)
			c.pass(50 * time.Millisecond)
		}
	})
}

// A coordinator that was cut off while voters changed is a majority of the old ones together with a voter that has
// accepted the change, and knows no more than that.
func TestVotersThatKnowLaterVotersAreNoContactByTheOldOnes(t *testing.T) {
	inCluster(t, 4, 1, func(c *cluster) {
		assert.Equal(t, c.at("core-1").configured(0, configurationOf(1, "a")), http.StatusOK)
		c.pass(100 * time.Millisecond)
		for _, apart := range []string{"core-1", "core-2"} {
			for _, other := range []string{"core-3", "core-4"} {
				c.setCut(apart, other, true)
				c.setCut(other, apart, true)
			}
		}
		two := c.at("core-2")
		changed := two.acceptor.AcceptedValue().CloneVT()
		changed.Version, changed.Epoch = changed.Version+2, changed.Epoch+2
		changed.Voters = []*tierpb.VoterSet{{Nodes: []*tierpb.Node{two.self, c.at("core-3").self, c.at("core-4").self}}}
		accepted := two.acceptor.Accept(&tierpb.AcceptRequest{
			Identity: two.self.Identity, Proposal: &tierpb.ProposalNumber{Counter: 1000, Proposer: 3}, Value: changed,
		})
		assert.Assert(t, accepted.Accepted)
		began := time.Now()
		assert.Equal(t, c.at("core-1").beat("draining", 1), http.StatusServiceUnavailable)
		c.pass(contactMost - time.Since(began))
		assert.Equal(t, c.at("core-1").readiness(), http.StatusServiceUnavailable)
		assert.Equal(t, c.at("core-1").beat("draining", 2), http.StatusServiceUnavailable)
		assert.Equal(t, two.readiness(), http.StatusServiceUnavailable)
	})
}

// What a feed tells of later voters neither renews contact nor ends what there is of it, also where the identity is told
// again; another process at the address has its own.
func TestContactBelongsToAFeed(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := newCoordinator(settings.Fixed(&settings.Settings{}), hclog.NewNullLogger(), &tierpb.Node{Identity: 1}, nil)
	c.directory.now = func() time.Time { return now }
	const address = "10.0.2.1:7000"
	c.directory.answering(address, true)
	reply := func(feed, identity, epoch uint64) *tierpb.WatchReply {
		return &tierpb.WatchReply{Incarnation: feed, Responder: &tierpb.Responder{Identity: identity, Epoch: epoch}}
	}
	c.answered(address, reply(5, 2, 0), now)
	assert.Assert(t, c.hasContact(2))
	now = now.Add(contactMost)
	c.answered(address, reply(5, 2, 7), now)
	assert.Assert(t, c.hasContact(2), "ended before its time")
	now = now.Add(1)
	assert.Assert(t, !c.hasContact(2), "renewed by one that knows of later voters")
	c.answered(address, reply(5, 0, 0), now)
	assert.Assert(t, c.hasContact(2))
	c.answered(address, reply(6, 0, 0), now)
	assert.Assert(t, c.hasContact(2), "of the life before, whose poll was answered")
	c.answered(address, reply(6, 3, 0), now)
	assert.Assert(t, c.hasContact(3) && !c.hasContact(2))
}

// Voters that this process accepted and that were not chosen are none once it knows what was chosen in their version.
func TestVotersThatLostOutAreForgotten(t *testing.T) {
	c := newCoordinator(settings.Fixed(&settings.Settings{}), hclog.NewNullLogger(), &tierpb.Node{Identity: 1}, nil)
	state := func(version, epoch uint64) *tierpb.ControlState {
		return &tierpb.ControlState{Version: version, Epoch: epoch, Voters: []*tierpb.VoterSet{{}}}
	}
	accepted := state(3, 2)
	c.accepted = func() *tierpb.ControlState { return accepted }
	assert.Equal(t, c.newestVoters().Epoch, uint64(2))
	c.state.SetControl(state(2, 1))
	assert.Equal(t, c.newestVoters().Epoch, uint64(2), "they may have been chosen")
	c.state.SetControl(state(3, 1))
	assert.Equal(t, c.newestVoters().Epoch, uint64(1))
	assert.Equal(t, c.answerer(&tierpb.WatchRequest{Incarnation: 1}, &tierpb.WatchReply{Incarnation: 1}).GetEpoch(), uint64(0))
}

// A freeze that is shorter than contact lasts is no silence of stores that call often.
func TestShortFreezeMarksNoStoreSilent(t *testing.T) {
	const period = 500 * time.Millisecond
	now := time.Unix(1_000_000, 0)
	own := &settings.Settings{HeartbeatMs: int(period / time.Millisecond)}
	c := newCoordinator(settings.Fixed(own), hclog.NewNullLogger(), &tierpb.Node{Identity: 1}, nil)
	c.now = func() time.Time { return now }
	c.directory.now = c.now
	voters := &tierpb.VoterSet{Nodes: []*tierpb.Node{{Identity: 1}}}
	c.state.SetControl(&tierpb.ControlState{Version: 1, Voters: []*tierpb.VoterSet{voters}})
	look := func(sequence uint64) tierpb.InstanceState {
		c.state.Upsert(&tierpb.Instance{Id: "i-1", Sequence: sequence})
		c.markSilent()
		return c.state.Instance("i-1").State
	}
	sequence := uint64(1)
	for ; sequence < 20; sequence++ {
		assert.Equal(t, look(sequence), ready)
		now = now.Add(silenceInterval)
	}
	now = now.Add(contactMost - silenceInterval) // nothing was heard, nor could be
	assert.Equal(t, look(sequence-1), ready)
	for range 3 * int(5*period/silenceInterval) {
		now = now.Add(silenceInterval)
		look(sequence - 1)
	}
	assert.Equal(t, look(sequence-1), silent, "a store that says nothing once the process runs again")
}
