package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFewTurnStoresStartLate: a deployment may have fewer turn stores than its fault tolerance requires. It starts with
// these, but only after it has waited longer for more.
func TestFewTurnStoresStartLate(t *testing.T) {
	for _, c := range []struct {
		stores, tolerance int
		begin             time.Duration
	}{{3, 2, initialWaitBelowRequired}, {4, 2, initialWaitBelowRequired}, {2, 2, initialWaitBelowQuorum}, {1, 1, initialWaitBelowQuorum}, {2, 1, initialWaitBelowRequired}} {
		s := newScenario()
		s.view.Tolerance = c.tolerance
		var numbers []int
		for number := 1; number <= c.stores; number++ {
			s.join(number, 0)
			numbers = append(numbers, number)
		}
		s.advance(c.begin-time.Millisecond, numbers...)
		assert.Equal(t, s.step(), "", "%+v", c)
		s.advance(time.Millisecond, numbers...)
		assert.Equal(t, s.step(), ReasonFewInitialStores, "%+v", c)
		assert.Equal(t, len(s.state.Stores.Current), c.stores)
		s.join(9, joinQuietPeriod)
		assert.Equal(t, s.step(), ReasonStoresJoined, "another one joins later")
		assert.Equal(t, len(s.state.Stores.Previous), c.stores, "the records of the first members must migrate")
	}
}

func TestInitialMembersAreCollected(t *testing.T) {
	s := newScenario()
	s.join(1, 0)
	s.join(2, 0)
	s.advance(2*time.Second, 1, 2)
	assert.Equal(t, s.step(), "", "too few members")
	s.join(3, 0)
	assert.Equal(t, s.step(), ReasonInitialStores, "the maximum wait since the first one is over")
	s.expectMembers(t, []uint64{1, 2, 3}, []uint64{})

	s = newScenario()
	s.join(1, 0)
	s.join(2, 0)
	s.join(3, 0)
	s.advance(500*time.Millisecond, 1, 2, 3)
	assert.Equal(t, s.step(), "", "the quiet period is not over")
	s.join(4, 0)
	s.advance(initialQuietPeriod, 1, 2, 3, 4)
	assert.Equal(t, s.step(), ReasonInitialStores)
	s.expectMembers(t, []uint64{1, 2, 3, 4}, []uint64{})
	assert.Equal(t, s.step(), "")
}

func TestJoiningStoresAreAddedTogether(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.join(4, 0)
	assert.Equal(t, s.step(), "")
	s.join(5, 0)
	s.advance(joinQuietPeriod, 1, 2, 3, 4, 5)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.expectMembers(t, []uint64{1, 2, 3, 4, 5}, []uint64{1, 2, 3})
	assert.Equal(t, s.state.Stores.Epoch, uint64(2))
}

func TestWipedStoreReplacesItself(t *testing.T) {
	s := newScenario(1, 2, 3)
	wiped := store(2)
	wiped.Identity = 20
	s.joinAs(wiped, 0)
	s.advance(joinQuietPeriod, 1, 3, 20)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.expectMembers(t, []uint64{1, 20, 3}, []uint64{1, 2, 3})
}

func TestJoiningStoreReplacesAnUnreachableOne(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.advance(2*time.Second, 1, 3)
	s.join(4, 0)
	s.advance(joinQuietPeriod, 1, 3, 4)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.expectMembers(t, []uint64{1, 4, 3}, []uint64{1, 2, 3})
	s.advance(time.Second, 1, 2, 3, 4) // the unreachable one resumes with its old identity
	assert.Equal(t, s.step(), "", "no member has to be replaced, so the join waits for the migration")
	s.reportCopied(1, 2, 3)
	assert.Equal(t, s.step(), ReasonMigrationCompleted)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.expectMembers(t, []uint64{1, 4, 3, 2}, []uint64{1, 4, 3})
	assert.Equal(t, s.state.Stores.Epoch, uint64(3))
}

func TestUnreachableStoreIsRemovedIfEnoughStay(t *testing.T) {
	s := newScenario(1, 2, 3, 4)
	s.advance(2*time.Second, 1, 2, 3)
	assert.Equal(t, s.step(), "")
	s.advance(2*time.Second, 1, 2)
	assert.Equal(t, s.step(), "", "a second member is unreachable")
	s.advance(time.Millisecond, 1, 2, 3)
	assert.Equal(t, s.step(), ReasonStoreRemoved)
	s.expectMembers(t, []uint64{1, 2, 3}, []uint64{1, 2, 3, 4})

	s = newScenario(1, 2, 3, 4)
	s.view.CatchUpTimeout = 3 * time.Second
	s.advance(2*time.Second, 1, 2, 3)
	assert.Equal(t, s.step(), ReasonStoreRemoved, "a shorter catch-up timeout removes it earlier")

	s = newScenario(1, 2, 3)
	s.advance(time.Hour, 1, 2)
	assert.Equal(t, s.step(), "", "too few members would remain")
}

// TestReasonTexts pins the texts of the reasons, because operators search the log for them.
func TestReasonTexts(t *testing.T) {
	for reason, text := range map[string]string{
		ReasonInitialStores:       "initial turn stores",
		ReasonFewInitialStores:    "initial turn stores, fewer than the fault tolerance requires",
		ReasonStoresJoined:        "turn stores joined",
		ReasonStoreRemoved:        "unreachable turn store removed",
		ReasonMigrationCompleted:  "migration completed",
		ReasonDisksLost:           "migration completed, more disks lost than tolerated",
		ReasonRetirementCompleted: "retirement completed",
	} {
		assert.Equal(t, reason, text)
	}
}

// TestOnlyTheLastIdentityOfAMachineBecomesAMember: a turn store whose disk is wiped while it waits to become a member must
// not be added under both identities. The model checker found a dead identity among the members, and a later migration that
// waited for its report forever.
func TestOnlyTheLastIdentityOfAMachineBecomesAMember(t *testing.T) {
	s := newScenario(1, 2, 3)
	before, after := store(4), store(4)
	before.Identity, after.Identity = 40, 41
	s.joinAs(before, 750*time.Millisecond)
	s.joinAs(after, 500*time.Millisecond)
	next, reason := NextStores(s.state, s.view)
	assert.Equal(t, reason, ReasonStoresJoined)
	assert.DeepEqual(t, identities(next.Stores.Current), []uint64{1, 2, 3, 41})
}
