package watch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestMergeIsOrderIndependent(t *testing.T) {
	updates := []*tierpb.Instance{
		instance("i", 1, ready), instance("i", 2, ready), instance("i", 2, suspect), instance("i", 3, draining),
		instance("i", 4, ready), instance("i", 5, ready), {Id: "i", State: deregistered},
	}
	for range 200 {
		rand.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
		s, _ := newTestState()
		for _, update := range updates {
			s.Upsert(update)
		}
		got := s.Instance("i")
		assert.Equal(t, got.State, deregistered)
		assert.Equal(t, got.Sequence, uint64(5))
		assert.Equal(t, got.Address, "10.0.0.1:80")
	}
}

func TestHeartbeatClearsSuspectButNotDraining(t *testing.T) {
	s, _ := newTestState()
	s.Upsert(instance("i", 1, ready))
	assert.Equal(t, s.Upsert(instance("i", 1, suspect)), Material)
	assert.Equal(t, s.Upsert(instance("i", 1, ready)), Unchanged)
	assert.Equal(t, s.Upsert(instance("i", 2, ready)), Material)
	assert.Equal(t, s.Upsert(instance("i", 3, ready)), Heartbeat)
	assert.Equal(t, s.Upsert(instance("i", 4, draining)), Material)
	assert.Equal(t, s.Upsert(instance("i", 9, ready)), Heartbeat)
	assert.Equal(t, s.Instance("i").State, draining)
}

func TestTombstoneRejectsOlderUpdates(t *testing.T) {
	s, clock := newTestState()
	s.Upsert(instance("i", 5, ready))
	s.Upsert(&tierpb.Instance{Id: "i", State: deregistered})
	clock.advance(tombstoneTTL - time.Second)
	s.Upsert(instance("i", 4, ready))
	assert.Equal(t, s.Instance("i").State, deregistered)
	clock.advance(time.Second)
	s.Upsert(instance("other", 1, ready))
	assert.Assert(t, s.Instance("i") == nil)
	reply := pollState(t, s, &tierpb.WatchRequest{})
	assert.Equal(t, len(reply.Instances), 1)
}

func TestControlStateIsMonotonic(t *testing.T) {
	s, _ := newTestState()
	assert.Assert(t, s.Merge(&tierpb.WatchReply{Control: &tierpb.ControlState{Version: 7}}))
	assert.Assert(t, !s.Merge(&tierpb.WatchReply{Control: &tierpb.ControlState{Version: 6}}))
	assert.Equal(t, s.Control().Version, uint64(7))
	assert.Assert(t, pollState(t, s, &tierpb.WatchRequest{ControlVersion: 7}).Control == nil)
	assert.Equal(t, pollState(t, s, &tierpb.WatchRequest{ControlVersion: 6}).Control.Version, uint64(7))
}

func TestStatusWithNewerSequenceClearsSuspect(t *testing.T) {
	s, _ := newTestState()
	full := instance("a", 1, ready)
	full.Backend, full.Slots = "b", 8
	s.Upsert(full)
	s.Upsert(instance("a", 1, suspect))
	assert.Assert(t, s.Merge(&tierpb.WatchReply{Statuses: []*tierpb.InstanceStatus{{Id: "a", Sequence: 2}, {Id: "unknown", Sequence: 9}}}))
	assert.Equal(t, s.Instance("a").State, ready)
	assert.Equal(t, s.Instance("a").Sequence, uint64(2))
	assert.Equal(t, s.Instance("a").Address, full.Address)
	assert.Assert(t, s.Instance("unknown") == nil)
}

func TestRemainingSlowStartIsSent(t *testing.T) {
	s, clock := newTestState()
	starting := instance("a", 1, ready)
	starting.SlowStartRemainingMs = 3000
	s.Upsert(starting)
	clock.advance(2 * time.Second)
	assert.Equal(t, pollState(t, s, &tierpb.WatchRequest{}).Instances[0].SlowStartRemainingMs, uint32(1000))
	clock.advance(2 * time.Second)
	assert.Equal(t, s.Instances()[0].SlowStartRemainingMs, uint32(0))
	assert.Equal(t, starting.SlowStartRemainingMs, uint32(3000))
}
