package watch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// fakeClock runs timers only when it is advanced.
type fakeClock struct {
	now    time.Time
	timers []fakeTimer
}

type fakeTimer struct {
	at  time.Time
	run func()
}

func newFakeClock() *fakeClock { return &fakeClock{now: time.Unix(1000, 0)} }

func (c *fakeClock) time() time.Time { return c.now }

func (c *fakeClock) after(delay time.Duration, run func()) {
	c.timers = append(c.timers, fakeTimer{c.now.Add(delay), run})
}

func (c *fakeClock) advance(by time.Duration) {
	c.now = c.now.Add(by)
	due := c.timers
	c.timers = nil
	for _, timer := range due {
		if timer.at.After(c.now) {
			c.timers = append(c.timers, timer)
			continue
		}
		timer.run()
	}
}

func testState() (*State, *fakeClock) {
	clock := newFakeClock()
	return newState(clock.time, clock.after), clock
}

const (
	ready    = tierpb.InstanceState_INSTANCE_READY
	silent   = tierpb.InstanceState_INSTANCE_SUSPECT
	draining = tierpb.InstanceState_INSTANCE_DRAINING
	gone     = tierpb.InstanceState_INSTANCE_DEREGISTERED
)

func instance(id string, sequence uint64, state tierpb.InstanceState) *tierpb.Instance {
	return &tierpb.Instance{Id: id, Sequence: sequence, State: state, Address: "10.0.0.1:80"}
}

func ask(t *testing.T, s *State, request *tierpb.WatchRequest) *tierpb.WatchReply {
	t.Helper()
	reply, err := s.Watch(context.Background(), request)
	assert.NilError(t, err)
	return reply
}

func closed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

func TestJoinIsFreeOfOrder(t *testing.T) {
	told := []*tierpb.Instance{
		instance("i", 1, ready), instance("i", 2, ready), instance("i", 2, silent), instance("i", 3, draining),
		instance("i", 4, ready), instance("i", 5, ready), {Id: "i", State: gone},
	}
	for range 200 {
		rand.Shuffle(len(told), func(i, j int) { told[i], told[j] = told[j], told[i] })
		s, _ := testState()
		for _, one := range told {
			s.Upsert(one)
		}
		got := s.Instance("i")
		assert.Equal(t, got.State, gone)
		assert.Equal(t, got.Sequence, uint64(5))
		assert.Equal(t, got.Address, "10.0.0.1:80")
	}
}

func TestSilentEndsWithTheNextHeartbeatButDrainingStays(t *testing.T) {
	s, _ := testState()
	s.Upsert(instance("i", 1, ready))
	assert.Equal(t, s.Upsert(instance("i", 1, silent)), Material)
	assert.Equal(t, s.Upsert(instance("i", 1, ready)), Unchanged)
	assert.Equal(t, s.Upsert(instance("i", 2, ready)), Material)
	assert.Equal(t, s.Upsert(instance("i", 3, ready)), Heartbeat)
	assert.Equal(t, s.Upsert(instance("i", 4, draining)), Material)
	assert.Equal(t, s.Upsert(instance("i", 9, ready)), Heartbeat)
	assert.Equal(t, s.Instance("i").State, draining)
}

func TestGoneMarkOutlivesOlderNews(t *testing.T) {
	s, clock := testState()
	s.Upsert(instance("i", 5, ready))
	s.Upsert(&tierpb.Instance{Id: "i", State: gone})
	clock.advance(goneKept - time.Second)
	s.Upsert(instance("i", 4, ready))
	assert.Equal(t, s.Instance("i").State, gone)
	clock.advance(time.Second)
	s.Upsert(instance("other", 1, ready))
	assert.Assert(t, s.Instance("i") == nil)
	reply := ask(t, s, &tierpb.WatchRequest{})
	assert.Equal(t, len(reply.Instances), 1)
}

func TestControlNeverGoesBack(t *testing.T) {
	s, _ := testState()
	assert.Assert(t, s.Merge(&tierpb.WatchReply{Control: &tierpb.ControlState{Version: 7}}))
	assert.Assert(t, !s.Merge(&tierpb.WatchReply{Control: &tierpb.ControlState{Version: 6}}))
	assert.Equal(t, s.Control().Version, uint64(7))
	assert.Assert(t, ask(t, s, &tierpb.WatchRequest{ControlVersion: 7}).Control == nil)
	assert.Equal(t, ask(t, s, &tierpb.WatchRequest{ControlVersion: 6}).Control.Version, uint64(7))
}

func TestOrdersTakenGoToCoordinatorsOnly(t *testing.T) {
	s, _ := testState()
	s.SetControl(&tierpb.ControlState{Version: 1, CommittedChanges: []*tierpb.CommittedChange{{Generation: 1}}})
	agent := ask(t, s, &tierpb.WatchRequest{Follower: &tierpb.Node{Role: tierpb.Role_ROLE_AGENT}})
	assert.Equal(t, len(agent.Control.CommittedChanges), 0)
	coordinator := ask(t, s, &tierpb.WatchRequest{Follower: &tierpb.Node{Role: tierpb.Role_ROLE_COORDINATOR}})
	assert.Equal(t, len(coordinator.Control.CommittedChanges), 1)
}

func TestPollTellsOnlyWhatChanged(t *testing.T) {
	s, clock := testState()
	s.Upsert(instance("a", 1, ready))
	s.Upsert(instance("b", 1, ready))
	first := ask(t, s, &tierpb.WatchRequest{})
	assert.Equal(t, len(first.Instances), 2)
	clock.advance(time.Second)
	s.Upsert(instance("b", 2, draining))
	next := ask(t, s, &tierpb.WatchRequest{Incarnation: first.Incarnation, Cursor: first.Cursor})
	assert.Equal(t, len(next.Instances), 0)
	assert.Equal(t, len(next.Statuses), 1)
	assert.Equal(t, next.Statuses[0].State, draining)
	other := ask(t, s, &tierpb.WatchRequest{Incarnation: first.Incarnation + 2})
	assert.Equal(t, len(other.Instances), 2)
}

func TestHeartbeatsGoOnlyToThoseThatAsk(t *testing.T) {
	s, clock := testState()
	s.Upsert(instance("a", 1, ready))
	first := ask(t, s, &tierpb.WatchRequest{})
	clock.advance(time.Second)
	s.Upsert(instance("a", 2, ready))
	request := &tierpb.WatchRequest{Incarnation: first.Incarnation, Cursor: first.Cursor}
	reply, changed, beat := s.poll(request)
	assert.Assert(t, reply == nil && changed != nil && beat == nil)
	request.Heartbeats = true
	reply, _, _ = s.poll(request)
	assert.Equal(t, len(reply.Instances), 0)
	assert.Equal(t, reply.Statuses[0].Sequence, uint64(2))
}

func TestBurstOfChangesWakesOnceInAGap(t *testing.T) {
	s, clock := testState()
	first := s.Changed()
	s.Upsert(instance("a", 1, ready))
	assert.Assert(t, closed(first))
	second := s.Changed()
	s.Upsert(instance("b", 1, ready))
	s.Upsert(instance("c", 1, ready))
	assert.Assert(t, !closed(second))
	clock.advance(changeGap)
	assert.Assert(t, closed(second))
	assert.Equal(t, len(clock.timers), 0)
}

func TestWaitingPollIsAnsweredAtAChange(t *testing.T) {
	s := NewState()
	s.Upsert(instance("a", 1, ready))
	place := ask(t, s, &tierpb.WatchRequest{})
	answered := make(chan *tierpb.WatchReply)
	go func() {
		reply, _ := s.Watch(context.Background(), &tierpb.WatchRequest{Incarnation: place.Incarnation, Cursor: place.Cursor, WaitMs: 5000})
		answered <- reply
	}()
	s.Upsert(instance("a", 2, draining))
	assert.Equal(t, (<-answered).Statuses[0].State, draining)
}

func TestEmptyStateHoldsAPoll(t *testing.T) {
	s, _ := testState()
	reply, _, _ := s.poll(&tierpb.WatchRequest{Incarnation: 3, Cursor: 9, ControlVersion: 4})
	assert.Assert(t, reply == nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := s.Watch(ctx, &tierpb.WatchRequest{Incarnation: 3, WaitMs: 5000})
	assert.ErrorIs(t, err, context.Canceled)
}

func TestColdTimeIsToldAsItStands(t *testing.T) {
	s, clock := testState()
	cold := instance("a", 1, ready)
	cold.SlowStartRemainingMs = 3000
	s.Upsert(cold)
	clock.advance(2 * time.Second)
	assert.Equal(t, ask(t, s, &tierpb.WatchRequest{}).Instances[0].SlowStartRemainingMs, uint32(1000))
	clock.advance(2 * time.Second)
	assert.Equal(t, s.Instances()[0].SlowStartRemainingMs, uint32(0))
	assert.Equal(t, cold.SlowStartRemainingMs, uint32(3000))
}

func TestJournalStaysNearTheNumberOfInstances(t *testing.T) {
	s, _ := testState()
	for sequence := range uint64(10000) {
		s.Upsert(instance("a", sequence, ready))
		s.Upsert(instance("b", sequence, ready))
	}
	assert.Assert(t, len(s.heartbeats.events) <= 2*2+compactionSlack)
	assert.Equal(t, len(ask(t, s, &tierpb.WatchRequest{}).Instances), 2)
}

func TestSinceFoldsIncrementally(t *testing.T) {
	s, _ := testState()
	s.Upsert(instance("a", 1, ready))
	all, version := s.ChangedSince(0)
	assert.Equal(t, len(all), 1)
	s.Upsert(instance("b", 1, ready))
	news, _ := s.ChangedSince(version)
	assert.Equal(t, len(news), 1)
	assert.Equal(t, news[0].Id, "b")
}

func TestTurnStoresAreToldOfMembersOnly(t *testing.T) {
	s, clock := testState()
	s.SetControl(&tierpb.ControlState{
		Version: 1, Configuration: &tierpb.Configuration{Generation: 4}, Stores: &tierpb.StoreMembership{Epoch: 2},
	})
	s.Upsert(instance("a", 1, ready))
	store := &tierpb.Node{Role: tierpb.Role_ROLE_TURN_STORE}
	first := ask(t, s, &tierpb.WatchRequest{Follower: store})
	assert.Equal(t, len(first.Instances), 0)
	assert.Equal(t, first.Control.Stores.Epoch, uint64(2))
	assert.Assert(t, first.Control.Configuration == nil)
	clock.advance(time.Second)
	s.Upsert(instance("b", 1, ready))
	clock.advance(time.Second)
	request := &tierpb.WatchRequest{Follower: store, Incarnation: first.Incarnation, Cursor: first.Cursor, ControlVersion: 1}
	reply, _, _ := s.poll(request)
	assert.Assert(t, reply == nil)
	request.Follower = nil
	reply, _, _ = s.poll(request)
	assert.Equal(t, len(reply.Instances), 1)
}

func TestHeartbeatCarriesASilentInstanceBack(t *testing.T) {
	s, _ := testState()
	whole := instance("a", 1, ready)
	whole.Backend, whole.Slots = "b", 8
	s.Upsert(whole)
	s.Upsert(instance("a", 1, silent))
	assert.Assert(t, s.Merge(&tierpb.WatchReply{Statuses: []*tierpb.InstanceStatus{{Id: "a", Sequence: 2}, {Id: "unknown", Sequence: 9}}}))
	assert.Equal(t, s.Instance("a").State, ready)
	assert.Equal(t, s.Instance("a").Sequence, uint64(2))
	assert.Equal(t, s.Instance("a").Address, whole.Address)
	assert.Assert(t, s.Instance("unknown") == nil)
}

func TestHeartbeatsThatAFollowerHearsElsewhereAreLeftOut(t *testing.T) {
	s, clock := testState()
	for _, id := range []string{"own", "from-c", "from-d", "from-follower"} {
		s.Upsert(instance(id, 1, ready))
	}
	place := ask(t, s, &tierpb.WatchRequest{})
	clock.advance(time.Second)
	s.Upsert(instance("own", 2, ready))
	for _, source := range []string{"c", "d", "follower"} {
		s.mergeFrom(&tierpb.WatchReply{Statuses: []*tierpb.InstanceStatus{{Id: "from-" + source, Sequence: 2}}}, source)
	}
	request := &tierpb.WatchRequest{
		Incarnation: place.Incarnation, Cursor: place.Cursor, Heartbeats: true, OtherSources: []string{"c"},
		Follower: &tierpb.Node{Role: tierpb.Role_ROLE_COORDINATOR, Address: "follower"},
	}
	told := ask(t, s, request).Statuses
	assert.Equal(t, len(told), 2)
	assert.Equal(t, told[0].Id, "own")
	assert.Equal(t, told[1].Id, "from-d")
}

func TestFollowerOfAnotherFeedGetsOnlyWhatItLacks(t *testing.T) {
	known, _ := testState()
	fresh, _ := testState()
	for i := range 300 {
		one := instance(fmt.Sprint("i-", i), 1, ready)
		known.Upsert(one)
		fresh.Upsert(one)
	}
	fresh.Upsert(instance("new", 1, ready))
	known.Upsert(instance("i-7", 2, draining))
	fresh.Upsert(instance("i-8", 2, draining))
	fresh.Upsert(&tierpb.Instance{Id: "left", State: gone})
	request := &tierpb.WatchRequest{Incarnation: 3, Cursor: 9}
	first := ask(t, fresh, request)
	assert.Assert(t, first.More && first.Cursor == 0 && len(first.Instances) == 0)
	request.Incarnation, request.Cursor, request.Summary = first.Incarnation, first.Cursor, known.digests()
	second := ask(t, fresh, request)
	assert.Assert(t, !second.More)
	assert.Assert(t, len(second.Instances) < 300/8, "%d instances told", len(second.Instances))
	known.Merge(second)
	assert.Equal(t, known.Instance("i-7").State, draining)
	assert.Equal(t, known.Instance("i-8").State, draining)
	assert.Equal(t, known.Instance("left").State, gone)
	assert.Assert(t, known.Instance("new") != nil)
}

func TestSummaryFollowsFromTheInstancesAlone(t *testing.T) {
	one, _ := testState()
	other, _ := testState()
	one.Upsert(instance("a", 1, ready))
	one.Upsert(instance("b", 4, ready))
	one.Upsert(instance("a", 2, draining))
	one.Upsert(instance("c", 2, ready))
	one.Upsert(instance("c", 3, gone))
	other.Upsert(instance("b", 9, ready))
	other.Upsert(instance("a", 1, draining))
	assert.DeepEqual(t, one.digests(), other.digests())
	other.Upsert(instance("b", 9, silent))
	assert.Assert(t, !slices.Equal(one.digests(), other.digests()))
}

func TestLongListComesInParts(t *testing.T) {
	s, _ := testState()
	for i := range 3*wholeMost + 1 {
		s.Upsert(instance(fmt.Sprint(i), 1, ready))
	}
	follower, _ := testState()
	request, replies := &tierpb.WatchRequest{}, 0
	for more := true; more; replies++ {
		request.Summary = follower.digests()
		reply := ask(t, s, request)
		assert.Assert(t, len(reply.Instances) <= wholeMost)
		follower.Merge(reply)
		request.Incarnation, request.Cursor, more = reply.Incarnation, reply.Cursor, reply.More
	}
	assert.Equal(t, replies, 4)
	assert.Equal(t, len(follower.Instances()), 3*wholeMost+1)
	assert.DeepEqual(t, follower.digests(), s.digests())
}

func TestBriefReplyTellsWhatIsLacking(t *testing.T) {
	s, clock := testState()
	s.SetControl(&tierpb.ControlState{Version: 3})
	s.Upsert(instance("a", 1, ready))
	request := &tierpb.WatchRequest{DigestsOnly: true}
	reply := ask(t, s, request)
	assert.Assert(t, reply.Control == nil && len(reply.Instances) == 0)
	follower, _ := testState()
	follower.Merge(reply)
	assert.Assert(t, follower.lacks(reply))
	follower.SetControl(&tierpb.ControlState{Version: 3})
	assert.Assert(t, follower.lacks(reply))
	follower.Upsert(instance("a", 1, ready))
	assert.Assert(t, !follower.lacks(reply))

	clock.advance(time.Second)
	moved := instance("a", 2, draining)
	moved.Slots = 9
	s.Upsert(moved)
	request.Incarnation, request.Cursor, request.ControlVersion = reply.Incarnation, reply.Cursor, 3
	reply = ask(t, s, request)
	follower.Merge(reply)
	assert.Equal(t, follower.Instance("a").State, draining)
	assert.Assert(t, follower.lacks(reply), "the new description did not come")
	follower.Upsert(moved)
	assert.Assert(t, !follower.lacks(reply))
}
