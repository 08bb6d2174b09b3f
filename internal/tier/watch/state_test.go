package watch

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestBurstOfChangesWakesOncePerInterval(t *testing.T) {
	s, clock := newTestState()
	first := s.Changed()
	s.Upsert(instance("a", 1, ready))
	assert.Assert(t, isClosed(first))
	second := s.Changed()
	s.Upsert(instance("b", 1, ready))
	s.Upsert(instance("c", 1, ready))
	assert.Assert(t, !isClosed(second))
	clock.advance(minChangeInterval)
	assert.Assert(t, isClosed(second))
	assert.Equal(t, len(clock.timers), 0)
}

func TestJournalIsCompacted(t *testing.T) {
	s, _ := newTestState()
	for sequence := range uint64(10000) {
		s.Upsert(instance("a", sequence, ready))
		s.Upsert(instance("b", sequence, ready))
	}
	assert.Assert(t, len(s.heartbeats.entries) <= 2*2+compactionSlack)
	assert.Equal(t, len(pollState(t, s, &tierpb.WatchRequest{}).Instances), 2)
}

func TestChangedSinceIsIncremental(t *testing.T) {
	s, _ := newTestState()
	s.Upsert(instance("a", 1, ready))
	all, revision := s.ChangedSince(0)
	assert.Equal(t, len(all), 1)
	s.Upsert(instance("b", 1, ready))
	changed, _ := s.ChangedSince(revision)
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, changed[0].Id, "b")
}

func TestSummaryDependsOnInstancesOnly(t *testing.T) {
	one, _ := newTestState()
	other, _ := newTestState()
	one.Upsert(instance("a", 1, ready))
	one.Upsert(instance("b", 4, ready))
	one.Upsert(instance("a", 2, draining))
	one.Upsert(instance("c", 2, ready))
	one.Upsert(instance("c", 3, deregistered))
	other.Upsert(instance("b", 9, ready))
	other.Upsert(instance("a", 1, draining))
	assert.DeepEqual(t, one.digests(), other.digests())
	other.Upsert(instance("b", 9, suspect))
	assert.Assert(t, !slices.Equal(one.digests(), other.digests()))
}
