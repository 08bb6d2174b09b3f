package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnreachabilityStartsNoEarlierThanListening: a process that was suspended has received no join requests in that time.
// That must not make the other nodes count as unreachable.
func TestUnreachabilityStartsNoEarlierThanListening(t *testing.T) {
	s := newScenario(1, 2, 3, 4)
	s.advance(20*time.Second, 1, 2, 3)
	s.view.ListeningSince = s.view.Now.Add(-time.Second)
	_, reason := NextStores(s.state, s.view)
	assert.Equal(t, reason, "", "a store was removed because this process was suspended")
	s.advance(3*time.Second, 1, 2, 3)
	_, reason = NextStores(s.state, s.view)
	assert.Equal(t, reason, ReasonStoreRemoved)
}

// TestLateJoinOfAnEarlierIdentityDoesNotHideTheLaterOne: a coordinator that resumes reads the backlog of two connections in
// any order, so the join request of an earlier identity may seem newer than the first one of the later identity. The later
// one must become a member, because it continues to send join requests.
func TestLateJoinOfAnEarlierIdentityDoesNotHideTheLaterOne(t *testing.T) {
	s := newScenario(1, 2)
	s.advance(time.Second, 1, 2)
	s.join(3, 0)
	wiped := store(3)
	wiped.Identity = 30
	s.joinAs(wiped, time.Millisecond) // first seen before the join request of the earlier identity
	s.advance(joinQuietPeriod, 1, 2, 30)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.expectMembers(t, []uint64{1, 2, 30}, []uint64{1, 2})
}
