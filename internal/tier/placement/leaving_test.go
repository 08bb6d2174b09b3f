package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// sharedScene has machines that run a turn store and a coordinator each; the first three vote, and machine 1 is to be
// emptied and holds records no more.
func sharedScene() *scene {
	s := newScene()
	voters := &tierpb.VoterSet{}
	for number := 1; number <= 4; number++ {
		stored, coordinating := store(number), coordinator(number+10)
		stored.Address = fmt.Sprintf("10.0.0.%d:701", number)
		coordinating.Address = fmt.Sprintf("10.0.0.%d:700", number)
		s.callAs(stored, 0)
		s.callAs(coordinating, 0)
		if number > 1 {
			s.state.Stores.Current = append(s.state.Stores.Current, stored)
		}
		if number <= 3 {
			voters.Nodes = append(voters.Nodes, coordinating)
		}
	}
	s.view.VoterUnreachableFor = func(string) time.Duration { return 0 }
	s.state.Voters = []*tierpb.VoterSet{voters}
	s.state.Retirements = []*tierpb.Retirement{{Node: "store-1", Identity: 1}}
	return s
}

func TestVoteLeavesAMachineThatIsBeingEmptied(t *testing.T) {
	s := sharedScene()
	assert.DeepEqual(t, identities(NextVoters(s.state, s.view)), []uint64{14, 12, 13})
}

func TestMachineThatIsBeingEmptiedGetsNoVote(t *testing.T) {
	s := sharedScene()
	s.state.Retirements[0] = &tierpb.Retirement{Node: "store-4", Identity: 4}
	silent := s.view.VoterUnreachableFor
	s.view.VoterUnreachableFor = func(address string) time.Duration {
		if address == "10.0.0.2:700" {
			return time.Minute
		}
		return silent(address)
	}
	assert.Assert(t, NextVoters(s.state, s.view) == nil)
}

func TestRetirementIsCompletedWhenTheVoteIsGone(t *testing.T) {
	s := sharedScene()
	_, reason := NextStores(s.state, s.view)
	assert.Equal(t, reason, "")
	assert.Assert(t, !s.state.Retirements[0].Completed)
	s.state.Voters = []*tierpb.VoterSet{{Nodes: NextVoters(s.state, s.view)}}
	_, reason = NextStores(s.state, s.view)
	assert.Equal(t, reason, "retirement completed")
	assert.Assert(t, s.state.Retirements[0].Completed)
}

func TestRetirementWaitsForTheRecords(t *testing.T) {
	s := sharedScene()
	s.state.Voters = nil
	s.state.Stores.Previous = append(s.state.Stores.Previous, s.view.Joins[0].Request.Node)
	assert.Assert(t, !completeRetirements(s.state, s.view))
}
