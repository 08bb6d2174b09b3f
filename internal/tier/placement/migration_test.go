package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSufficientMigrationEndsBeforeAnotherChange(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.join(4, joinQuietPeriod)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.reportCopied(1, 2)
	assert.Equal(t, s.step(), "", "the third member runs and has not reported")
	s.wipe(2, 20)
	assert.Equal(t, s.step(), ReasonMigrationCompleted)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.expectMembers(t, []uint64{1, 20, 3, 4}, []uint64{1, 2, 3, 4})
}

func TestMigrationDoesNotWaitBeyondTheCatchUpTimeout(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.view.CatchUpTimeout = 4 * time.Second
	s.join(4, joinQuietPeriod)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.reportCopied(1, 2)
	s.advance(time.Second, 1, 2, 3, 4)
	assert.Equal(t, s.step(), "", "the third member runs and has not reported")
	s.advance(time.Second, 1, 2, 3, 4)
	assert.Equal(t, s.step(), ReasonMigrationCompleted)
}

func TestAdditionalMembersWaitForTheMigration(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.wipe(3, 30)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.join(4, joinQuietPeriod)
	assert.Equal(t, s.step(), "", "copying would have to start again")
	s.wipe(2, 20)
	assert.Equal(t, s.step(), ReasonStoresJoined, "a lost member must be replaced at once")
	s.expectMembers(t, []uint64{1, 20, 30}, []uint64{1, 2, 3})
	s.advance(maxReportTimeout, 1, 20, 30, 4)
	assert.Equal(t, s.step(), ReasonStoresJoined, "the report timeout has passed")
	s.expectMembers(t, []uint64{1, 20, 30, 4}, []uint64{1, 2, 3})
}

func TestMigrationEndsIfMoreDisksAreLostThanTolerated(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.wipe(3, 30)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.wipe(2, 20) // before anything was copied
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.advance(time.Minute, 1, 20, 30)
	assert.Equal(t, s.step(), "", "the last previous member may still copy its records")
	s.reportCopied(1)
	assert.Equal(t, s.step(), ReasonDisksLost)
	s.expectMembers(t, []uint64{1, 20, 30}, []uint64{})
}

func TestUnreachableStoreDoesNotCountAsLostDisk(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.wipe(3, 30)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.advance(2*time.Second, 1, 30)
	s.join(4, joinQuietPeriod)
	assert.Equal(t, s.step(), ReasonStoresJoined, "the unreachable member must be replaced")
	s.expectMembers(t, []uint64{1, 4, 30}, []uint64{1, 2, 3})
	s.reportCopied(1)
	s.advance(time.Minute, 1, 30, 4)
	assert.Equal(t, s.step(), "", "the unreachable member may come back with records that no other member has")
}

// TestWipedStoreIsNotReplacedByItsEarlierIdentity: after a wipe the last join request of the earlier identity has not expired
// yet, so a turn store with that identity still seems to run.
func TestWipedStoreIsNotReplacedByItsEarlierIdentity(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.advance(time.Minute, 1, 2, 3)
	node := store(3)
	node.Identity = 30
	s.joinAs(node, 0)
	s.advance(joinQuietPeriod, 1, 2, 30)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.expectMembers(t, []uint64{1, 2, 30}, []uint64{1, 2, 3})
	s.reportCopied(1, 2)
	assert.Equal(t, s.step(), ReasonMigrationCompleted, "no report of the earlier identity must be awaited")
	s.advance(100*time.Millisecond, 1, 2, 30)
	assert.Equal(t, s.step(), "")
	s.expectMembers(t, []uint64{1, 2, 30}, []uint64{})
}

func TestUnreachableStoresAreRemovedTogether(t *testing.T) {
	s := newScenario(1, 2, 3, 4, 5, 6, 7)
	s.view.Tolerance = 2
	s.advance(time.Minute, 1, 2, 3, 4, 5)
	assert.Equal(t, s.step(), ReasonStoreRemoved)
	s.expectMembers(t, []uint64{1, 2, 3, 4, 5}, []uint64{1, 2, 3, 4, 5, 6, 7})
}

// TestStoresAreNotRemovedIfTooManyAreUnreachable: if more stores are unreachable than may be lost at once, the coordinator is
// probably partitioned from them.
func TestStoresAreNotRemovedIfTooManyAreUnreachable(t *testing.T) {
	s := newScenario(1, 2, 3, 4, 5, 6)
	s.advance(time.Minute, 1, 2, 3, 4)
	assert.Equal(t, s.step(), "")
}

// TestResumedStoreDoesNotReplaceItsSuccessor: a store is replaced by one with the same name at another address. Then the old
// store resumes, and both send join requests.
func TestResumedStoreDoesNotReplaceItsSuccessor(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.advance(2*time.Second, 1, 2)
	successor := store(3)
	successor.Address, successor.Identity = "10.0.1.3", 30
	s.joinAs(successor, joinQuietPeriod)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.advance(time.Second, 1, 2, 3, 30)
	assert.Equal(t, s.step(), "")
	s.reportCopied(1, 2, 3)
	assert.Equal(t, s.step(), ReasonMigrationCompleted)
	assert.Equal(t, s.step(), "")
	s.expectMembers(t, []uint64{1, 2, 30}, []uint64{})
}

func TestMigrationEndsOnceAllRunningMembersReported(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.join(4, joinQuietPeriod)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	assert.Equal(t, s.step(), "")
	s.reportCopied(1, 2)
	assert.Equal(t, s.step(), "", "enough members have reported, but the report of the third one is awaited")
	s.reportCopied(3)
	assert.Equal(t, s.step(), ReasonMigrationCompleted)
	s.expectMembers(t, []uint64{1, 2, 3, 4}, []uint64{})
	assert.Equal(t, s.state.Stores.Epoch, uint64(2), "a new epoch would make the stores copy again")
}

func TestMigrationEndsWithoutAnUnreachableStore(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.join(4, joinQuietPeriod)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.reportCopied(1)
	s.advance(2*time.Second, 1, 2, 4)
	assert.Equal(t, s.step(), "", "two reports are missing")
	s.reportCopied(2)
	assert.Equal(t, s.step(), ReasonMigrationCompleted)
}

func TestMigrationDoesNotWaitForeverForARunningStore(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.join(4, joinQuietPeriod)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.reportCopied(1, 2)
	s.advance(maxReportTimeout, 1, 2, 3, 4) // the third member does not report, because its disk is stalled
	assert.Equal(t, s.step(), ReasonMigrationCompleted)
}

func TestReportsOfAnEarlierEpochDoNotCount(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.join(4, joinQuietPeriod)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.reportCopied(1, 2, 3)
	s.state.Stores.Epoch++ // another change during the migration
	assert.Equal(t, s.step(), "")
}
