package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestVoterOnADrainingMachineIsReplaced(t *testing.T) {
	s := newColocatedScenario()
	assert.DeepEqual(t, identities(NextVoters(s.state, s.view)), []uint64{14, 12, 13})
}

func TestCoordinatorOnADrainingMachineDoesNotBecomeAVoter(t *testing.T) {
	s := newColocatedScenario()
	s.state.Retirements[0] = &tierpb.Retirement{Node: "store-4", Identity: 4}
	reachable := s.view.VoterUnreachableFor
	s.view.VoterUnreachableFor = func(address string) time.Duration {
		if address == "10.0.0.2:700" {
			return time.Minute
		}
		return reachable(address)
	}
	assert.Assert(t, NextVoters(s.state, s.view) == nil)
}

func TestRetirementIsCompletedOnceTheVoterIsReplaced(t *testing.T) {
	s := newColocatedScenario()
	_, reason := NextStores(s.state, s.view)
	assert.Equal(t, reason, "")
	assert.Assert(t, !s.state.Retirements[0].Completed)
	s.state.Voters = []*tierpb.VoterSet{{Nodes: NextVoters(s.state, s.view)}}
	_, reason = NextStores(s.state, s.view)
	assert.Equal(t, reason, ReasonRetirementCompleted)
	assert.Assert(t, s.state.Retirements[0].Completed)
}

func TestCompleteRetirementsWaitsForTheMigration(t *testing.T) {
	s := newColocatedScenario()
	s.state.Voters = nil
	s.state.Stores.Previous = append(s.state.Stores.Previous, s.view.Joins[0].Request.Node)
	assert.Assert(t, !completeRetirements(s.state, s.view))
}

func TestRetiredStoreIsNotAddedAgain(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.join(4, time.Second)
	s.state.Stores.Previous = append(s.state.Stores.Current, store(4))
	s.state.Stores.Epoch = 2
	s.state.Retirements = []*tierpb.Retirement{{Node: "store-4", Identity: 4}}
	assert.Equal(t, s.step(), "", "a draining store must not be added, although it sends join requests")
	wiped := store(4)
	wiped.Identity = 40
	s.joinAs(wiped, time.Second)
	assert.Equal(t, s.step(), "", "nor under another identity")
	s.reportCopied(1, 2, 3)
	assert.Equal(t, s.step(), "", "the draining store runs and has not reported")
	s.reportCopied(4)
	assert.Equal(t, s.step(), ReasonMigrationCompleted)
	assert.Assert(t, s.state.Retirements[0].Completed)
	s.view.Joins = s.view.Joins[:4]
	assert.Equal(t, s.step(), "", "a retired store must not be added, although it sends join requests until it stops")
	s.expectMembers(t, []uint64{1, 2, 3}, []uint64{})
}

// TestRetirementIsNotCompletedWhileRecordsMigrate: a store that was added during a migration has no records that others do
// not have, but it may be the replacement of a lost one. That loss is no longer counted once the retirement is completed.
func TestRetirementIsNotCompletedWhileRecordsMigrate(t *testing.T) {
	s := newScenario(1, 2, 3, 4)
	s.wipe(4, 40)
	assert.Equal(t, s.step(), ReasonStoresJoined)
	s.state.Stores.Current = s.state.Stores.Current[:3]
	s.state.Stores.Epoch++
	s.state.Retirements = []*tierpb.Retirement{{Node: "store-4", Identity: 40}}
	assert.Equal(t, s.step(), "")
	s.reportCopied(1, 2, 3)
	assert.Equal(t, s.step(), ReasonMigrationCompleted)
	assert.Assert(t, s.state.Retirements[0].Completed)
}

// TestStoreWipedWhileDrainingIsRetired: a store whose disk is lost while it drains sends join requests under a new identity.
// That identity must be retired as well, because the machine is about to be removed.
func TestStoreWipedWhileDrainingIsRetired(t *testing.T) {
	s := newScenario(1, 2, 3)
	s.state.Stores.Epoch = 2
	s.state.Stores.Previous = append(s.state.Stores.Current, store(4))
	s.state.Retirements = []*tierpb.Retirement{{Node: "store-4", Identity: 4}}
	s.join(4, 0)
	s.wipe(4, 40)
	assert.Equal(t, s.step(), "")
	s.reportCopied(1, 2, 3)
	assert.Equal(t, s.step(), ReasonMigrationCompleted)
	assert.Equal(t, s.step(), "")
	s.expectMembers(t, []uint64{1, 2, 3}, []uint64{})
}
