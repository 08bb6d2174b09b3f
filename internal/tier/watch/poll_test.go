package watch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestCommittedChangesAreSentToCoordinatorsOnly(t *testing.T) {
	s, _ := newTestState()
	s.SetControl(&tierpb.ControlState{Version: 1, CommittedChanges: []*tierpb.CommittedChange{{Generation: 1}}})
	agent := pollState(t, s, &tierpb.WatchRequest{Watcher: &tierpb.Node{Role: tierpb.Role_ROLE_AGENT}})
	assert.Equal(t, len(agent.Control.CommittedChanges), 0)
	coordinator := pollState(t, s, &tierpb.WatchRequest{Watcher: &tierpb.Node{Role: tierpb.Role_ROLE_COORDINATOR}})
	assert.Equal(t, len(coordinator.Control.CommittedChanges), 1)
}

func TestPollReturnsOnlyChanges(t *testing.T) {
	s, clock := newTestState()
	s.Upsert(instance("a", 1, ready))
	s.Upsert(instance("b", 1, ready))
	first := pollState(t, s, &tierpb.WatchRequest{})
	assert.Equal(t, len(first.Instances), 2)
	clock.advance(time.Second)
	s.Upsert(instance("b", 2, draining))
	next := pollState(t, s, &tierpb.WatchRequest{Incarnation: first.Incarnation, Cursor: first.Cursor})
	assert.Equal(t, len(next.Instances), 0)
	assert.Equal(t, len(next.Statuses), 1)
	assert.Equal(t, next.Statuses[0].State, draining)
	other := pollState(t, s, &tierpb.WatchRequest{Incarnation: first.Incarnation + 2})
	assert.Equal(t, len(other.Instances), 2)
}

func TestHeartbeatsAreSentOnRequestOnly(t *testing.T) {
	s, clock := newTestState()
	s.Upsert(instance("a", 1, ready))
	first := pollState(t, s, &tierpb.WatchRequest{})
	clock.advance(time.Second)
	s.Upsert(instance("a", 2, ready))
	request := &tierpb.WatchRequest{Incarnation: first.Incarnation, Cursor: first.Cursor}
	reply, changed, heartbeat := s.tryReply(request)
	assert.Assert(t, reply == nil && changed != nil && heartbeat == nil)
	request.Heartbeats = true
	reply, _, _ = s.tryReply(request)
	assert.Equal(t, len(reply.Instances), 0)
	assert.Equal(t, reply.Statuses[0].Sequence, uint64(2))
}

func TestHeldPollIsAnsweredAtChange(t *testing.T) {
	s := NewState()
	s.Upsert(instance("a", 1, ready))
	position := pollState(t, s, &tierpb.WatchRequest{})
	replies := make(chan *tierpb.WatchReply)
	go func() {
		reply, _ := s.Watch(context.Background(), &tierpb.WatchRequest{Incarnation: position.Incarnation, Cursor: position.Cursor, WaitMs: 5000})
		replies <- reply
	}()
	s.Upsert(instance("a", 2, draining))
	assert.Equal(t, (<-replies).Statuses[0].State, draining)
}

func TestEmptyStateHoldsPoll(t *testing.T) {
	s, _ := newTestState()
	reply, _, _ := s.tryReply(&tierpb.WatchRequest{Incarnation: 3, Cursor: 9, ControlVersion: 4})
	assert.Assert(t, reply == nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := s.Watch(ctx, &tierpb.WatchRequest{Incarnation: 3, WaitMs: 5000})
	assert.ErrorIs(t, err, context.Canceled)
}

func TestTurnStoresGetMembershipOnly(t *testing.T) {
	s, clock := newTestState()
	s.SetControl(&tierpb.ControlState{
		Version: 1, Configuration: &tierpb.Configuration{Generation: 4}, Stores: &tierpb.StoreMembership{Epoch: 2},
	})
	s.Upsert(instance("a", 1, ready))
	store := &tierpb.Node{Role: tierpb.Role_ROLE_TURN_STORE}
	first := pollState(t, s, &tierpb.WatchRequest{Watcher: store})
	assert.Equal(t, len(first.Instances), 0)
	assert.Equal(t, first.Control.Stores.Epoch, uint64(2))
	assert.Assert(t, first.Control.Configuration == nil)
	clock.advance(time.Second)
	s.Upsert(instance("b", 1, ready))
	clock.advance(time.Second)
	request := &tierpb.WatchRequest{Watcher: store, Incarnation: first.Incarnation, Cursor: first.Cursor, ControlVersion: 1}
	reply, _, _ := s.tryReply(request)
	assert.Assert(t, reply == nil)
	request.Watcher = nil
	reply, _, _ = s.tryReply(request)
	assert.Equal(t, len(reply.Instances), 1)
}

func TestHeartbeatsFromOtherSourcesAreOmitted(t *testing.T) {
	s, clock := newTestState()
	for _, id := range []string{"own", "from-c", "from-d", "from-watcher"} {
		s.Upsert(instance(id, 1, ready))
	}
	position := pollState(t, s, &tierpb.WatchRequest{})
	clock.advance(time.Second)
	s.Upsert(instance("own", 2, ready))
	for _, source := range []string{"c", "d", "watcher"} {
		s.mergeFrom(&tierpb.WatchReply{Statuses: []*tierpb.InstanceStatus{{Id: "from-" + source, Sequence: 2}}}, source)
	}
	request := &tierpb.WatchRequest{
		Incarnation: position.Incarnation, Cursor: position.Cursor, Heartbeats: true, OtherSources: []string{"c"},
		Watcher: &tierpb.Node{Role: tierpb.Role_ROLE_COORDINATOR, Address: "watcher"},
	}
	statuses := pollState(t, s, request).Statuses
	assert.Equal(t, len(statuses), 2)
	assert.Equal(t, statuses[0].Id, "own")
	assert.Equal(t, statuses[1].Id, "from-d")
}

func TestWatcherOfAnotherIncarnationGetsDifferencesOnly(t *testing.T) {
	watcher, _ := newTestState()
	source, _ := newTestState()
	for i := range 300 {
		shared := instance(fmt.Sprint("i-", i), 1, ready)
		watcher.Upsert(shared)
		source.Upsert(shared)
	}
	source.Upsert(instance("new", 1, ready))
	watcher.Upsert(instance("i-7", 2, draining))
	source.Upsert(instance("i-8", 2, draining))
	source.Upsert(&tierpb.Instance{Id: "left", State: deregistered})
	request := &tierpb.WatchRequest{Incarnation: 3, Cursor: 9}
	first := pollState(t, source, request)
	assert.Assert(t, first.More && first.Cursor == 0 && len(first.Instances) == 0)
	request.Incarnation, request.Cursor, request.Summary = first.Incarnation, first.Cursor, watcher.digests()
	second := pollState(t, source, request)
	assert.Assert(t, !second.More)
	assert.Assert(t, len(second.Instances) < 300/8, "%d instances in the reply", len(second.Instances))
	watcher.Merge(second)
	assert.Equal(t, watcher.Instance("i-7").State, draining)
	assert.Equal(t, watcher.Instance("i-8").State, draining)
	assert.Equal(t, watcher.Instance("left").State, deregistered)
	assert.Assert(t, watcher.Instance("new") != nil)
}

func TestSnapshotIsSplitIntoReplies(t *testing.T) {
	s, _ := newTestState()
	for i := range 3*maxInstancesPerReply + 1 {
		s.Upsert(instance(fmt.Sprint(i), 1, ready))
	}
	watcher, _ := newTestState()
	request, replies := &tierpb.WatchRequest{}, 0
	for more := true; more; replies++ {
		request.Summary = watcher.digests()
		reply := pollState(t, s, request)
		assert.Assert(t, len(reply.Instances) <= maxInstancesPerReply)
		watcher.Merge(reply)
		request.Incarnation, request.Cursor, more = reply.Incarnation, reply.Cursor, reply.More
	}
	assert.Equal(t, replies, 4)
	assert.Equal(t, len(watcher.Instances()), 3*maxInstancesPerReply+1)
	assert.DeepEqual(t, watcher.digests(), s.digests())
}

func TestDigestsOnlyReplyShowsWhatIsMissing(t *testing.T) {
	s, clock := newTestState()
	s.SetControl(&tierpb.ControlState{Version: 3})
	s.Upsert(instance("a", 1, ready))
	request := &tierpb.WatchRequest{DigestsOnly: true}
	reply := pollState(t, s, request)
	assert.Assert(t, reply.Control == nil && len(reply.Instances) == 0)
	watcher, _ := newTestState()
	watcher.Merge(reply)
	assert.Assert(t, watcher.isBehind(reply))
	watcher.SetControl(&tierpb.ControlState{Version: 3})
	assert.Assert(t, watcher.isBehind(reply))
	watcher.Upsert(instance("a", 1, ready))
	assert.Assert(t, !watcher.isBehind(reply))

	clock.advance(time.Second)
	changed := instance("a", 2, draining)
	changed.Slots = 9
	s.Upsert(changed)
	request.Incarnation, request.Cursor, request.ControlVersion = reply.Incarnation, reply.Cursor, 3
	reply = pollState(t, s, request)
	watcher.Merge(reply)
	assert.Equal(t, watcher.Instance("a").State, draining)
	assert.Assert(t, watcher.isBehind(reply), "missing description not noticed")
	watcher.Upsert(changed)
	assert.Assert(t, !watcher.isBehind(reply))
}
