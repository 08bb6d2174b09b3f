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
	assert.Equal(t, s.step(), "", "the third one runs and has not reported")
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
	assert.Equal(t, s.step(), "", "the third one runs and has not reported")
	s.advance(time.Second, 1, 2, 3, 4)
	assert.Equal(t, s.step(), ReasonMigrationCompleted)
}

func TestAdditionalMembersWaitForTheMigration(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.wipe(3, 30)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.join(4, joinQuietPeriod)
	assert.Equal(t, s.step(), "", "copying would start again")
	s.wipe(2, 20)
	assert.Equal(t, s.step(), ReasonStoresJoined, "replaces a lost one")
	s.expectMembers(t, []uint64{1, 20, 30}, []uint64{1, 2, 3})
	s.advance(maxReportTimeout, 1, 20, 30, 4)
	assert.Equal(t, s.step(), ReasonStoresJoined, "it does not wait forever")
	s.expectMembers(t, []uint64{1, 20, 30, 4}, []uint64{1, 2, 3})
}

func TestMigrationEndsIfMoreDisksAreLostThanTolerated(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.wipe(3, 30)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.wipe(2, 20) // before anything was copied
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.advance(time.Minute, 1, 20, 30)
	assert.Equal(t, s.step(), "", "the last one may still copy its records")
	s.reportCopied(1)
	assert.Equal(t, s.step(), ReasonDisksLost)
	s.expectMembers(t, []uint64{1, 20, 30}, []uint64{})
}

func TestUnreachableStoreIsNoLostDisk(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.wipe(3, 30)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.advance(2*time.Second, 1, 30)
	s.join(4, joinQuietPeriod)
	assert.Equal(t, s.step(), ReasonStoresJoined, "replaces the unreachable one")
	s.expectMembers(t, []uint64{1, 4, 30}, []uint64{1, 2, 3})
	s.reportCopied(1)
	s.advance(time.Minute, 1, 30, 4)
	assert.Equal(t, s.step(), "", "the unreachable one may come back with records that only it holds")
}

// TestWipedStoreIsNotReplacedByItsEarlierIdentity: the join of the earlier identity has not expired, so that it seems to run.
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
	assert.Equal(t, s.step(), ReasonMigrationCompleted, "no report of the earlier identity is awaited")
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

// TestStoresAreNotRemovedIfTooManyAreUnreachable: more unreachable stores than may be lost at once are a sign that the
// coordinator is partitioned from them.
func TestStoresAreNotRemovedIfTooManyAreUnreachable(t *testing.T) {
	s := newScenario(1, 2, 3, 4, 5, 6)
	s.advance(time.Minute, 1, 2, 3, 4)
	assert.Equal(t, s.step(), "")
}

// TestResumedStoreDoesNotReplaceItsSuccessor: a machine that was replaced under its name at another address resumes, and both
// send join requests from then on.
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
	assert.Equal(t, s.step(), "", "enough have reported, and a third one is awaited")
	s.reportCopied(3)
	assert.Equal(t, s.step(), ReasonMigrationCompleted)
	s.expectMembers(t, []uint64{1, 2, 3, 4}, []uint64{})
	assert.Equal(t, s.state.Stores.Epoch, uint64(2), "stores need not copy again")
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
	s.advance(maxReportTimeout, 1, 2, 3, 4) // the disk of the third one is stalled
	assert.Equal(t, s.step(), ReasonMigrationCompleted)
}

func TestReportsOfAnEarlierEpochDoNotCount(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.join(4, joinQuietPeriod)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.reportCopied(1, 2, 3)
	s.state.Stores.Epoch++ // another change while records migrate
	assert.Equal(t, s.step(), "")
}
