package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnreachabilityStartsNoEarlierThanListening: a process that was suspended has heard nobody in that time, which does not
// make anybody unreachable.
func TestUnreachabilityStartsNoEarlierThanListening(t *testing.T) {
	s := newScenario(1, 2, 3, 4)
	s.advance(20*time.Second, 1, 2, 3)
	s.view.ListeningSince = s.view.Now.Add(-time.Second)
	_, reason := NextStores(s.state, s.view)
	assert.Equal(t, reason, "", "removed because this process was suspended")
	s.advance(3*time.Second, 1, 2, 3)
	_, reason = NextStores(s.state, s.view)
	assert.Equal(t, reason, ReasonStoreRemoved)
}

// TestLateJoinOfAnEarlierIdentityDoesNotHideTheLaterOne: a coordinator that resumes reads the backlog of two connections in
// any order. The join of an earlier incarnation may seem to be newer than that of the later one, which goes on joining.
func TestLateJoinOfAnEarlierIdentityDoesNotHideTheLaterOne(t *testing.T) {
	s := newScenario(1, 2)
	s.advance(time.Second, 1, 2)
	s.join(3, 0)
	wiped := store(3)
	wiped.Identity = 30
	s.joinAs(wiped, time.Millisecond) // first seen before the join of its earlier incarnation
	s.advance(joinQuietPeriod, 1, 2, 30)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.expectMembers(t, []uint64{1, 2, 30}, []uint64{1, 2})
}
