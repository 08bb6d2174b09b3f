package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func coordinator(number int) *tierpb.Node {
	node := store(number)
	node.Role = tierpb.Role_ROLE_COORDINATOR
	return node
}

// votersScene has voters 1 to count, and standbys that call.
func votersScene(count, tolerance int, standbys ...int) (*tierpb.ControlState, *View, map[string]time.Duration) {
	s := newScene()
	s.view.Tolerance = tolerance
	silence := make(map[string]time.Duration)
	s.view.VoterUnreachableFor = func(address string) time.Duration { return silence[address] }
	set := &tierpb.VoterSet{}
	for number := 1; number <= count; number++ {
		set.Nodes = append(set.Nodes, coordinator(number))
	}
	for _, number := range standbys {
		s.callAs(coordinator(number), 0)
	}
	return &tierpb.ControlState{Voters: []*tierpb.VoterSet{set}}, s.view, silence
}

func TestStandbysWaitWhileAllVotersAnswer(t *testing.T) {
	state, view, _ := votersScene(3, 1, 4, 5)
	assert.Assert(t, NextVoters(state, view) == nil)
}

func TestVotersGrowToWhatTheToleranceNeeds(t *testing.T) {
	state, view, _ := votersScene(3, 2, 4, 5, 6)
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{1, 2, 3, 4, 5})
}

func TestStandbyTakesTheLongestSilentOnesPlace(t *testing.T) {
	state, view, silence := votersScene(3, 1, 4)
	silence["10.0.0.1"], silence["10.0.0.3"] = 2*time.Second, 5*time.Second
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{1, 2, 4})
	silence["10.0.0.1"], silence["10.0.0.3"] = 0, time.Second
	assert.Assert(t, NextVoters(state, view) == nil, "silent for a moment only")
}

func TestStandbyThatFellSilentIsNoReplacement(t *testing.T) {
	state, view, silence := votersScene(3, 1, 4)
	silence["10.0.0.1"] = 5 * time.Second
	view.Now = view.Now.Add(2 * time.Second)
	assert.Assert(t, NextVoters(state, view) == nil)
}

func TestStandbyThatDoesNotAnswerIsNoReplacement(t *testing.T) {
	state, view, silence := votersScene(3, 2, 4)
	silence["10.0.0.1"], silence["10.0.0.4"] = 5*time.Second, time.Millisecond
	assert.Assert(t, NextVoters(state, view) == nil, "its calls arrive, those to it do not")
}

func TestWipedVoterTakesItsOwnPlace(t *testing.T) {
	state, view, _ := votersScene(3, 1)
	wiped := coordinator(2)
	wiped.Identity, wiped.Name = 20, "" // the first voters are known by address only
	view.Joins = append(view.Joins, Join{Request: &tierpb.JoinRequest{Node: wiped}, FirstSeen: start, LastSeen: start})
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{1, 20, 3})
}

func TestHalfDoneChangeIsFinishedFirst(t *testing.T) {
	state, view, _ := votersScene(3, 1, 4)
	joint := &tierpb.VoterSet{Nodes: []*tierpb.Node{coordinator(1), coordinator(2), coordinator(5)}}
	state.Voters = append(state.Voters, joint)
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{1, 2, 5})
}

func TestVotersStayAnOddNumber(t *testing.T) {
	state, view, _ := votersScene(3, 2, 4)
	assert.Assert(t, NextVoters(state, view) == nil, "four bear no more losses than three")
	state, view, _ = votersScene(1, 1, 2, 3)
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{1, 2, 3})
}

func TestMostVotersStayInOneChange(t *testing.T) {
	state, view, silence := votersScene(3, 1, 4, 5)
	silence["10.0.0.1"], silence["10.0.0.3"] = 5*time.Second, 5*time.Second
	assert.Equal(t, len(NextVoters(state, view)), 3)
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{4, 2, 3})
	state, view, silence = votersScene(5, 2, 6, 7, 8)
	for _, address := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
		silence[address] = 5 * time.Second
	}
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{6, 7, 3, 4, 5})
}

func TestVotersAreSpreadOverWhatMayBeLostAsAWhole(t *testing.T) {
	state, view, silence := votersScene(3, 1, 4, 5)
	domains := map[uint64]string{1: "a", 2: "a", 3: "b", 4: "a", 5: "c"}
	assert.Assert(t, NextVoters(state, view) == nil, "only machines are lost at once")
	view.FailureDomain = func(node *tierpb.Node) string { return domains[node.Identity] }
	next := NextVoters(state, view)
	assert.DeepEqual(t, identities(next), []uint64{5, 2, 3})
	state.Voters[0].Nodes = next
	assert.Assert(t, NextVoters(state, view) == nil)
	silence["10.0.0.3"] = 5 * time.Second
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{5, 2, 4})
}

// A wiped voter is lost for certain, a silent one may come back: the one place that may change is the wiped one's.
func TestWipedVoterIsReplacedBeforeASilentOne(t *testing.T) {
	state, view, silence := votersScene(3, 1, 4)
	wiped := coordinator(3)
	wiped.Identity = 30
	view.Joins = append(view.Joins, Join{Request: &tierpb.JoinRequest{Node: wiped}, FirstSeen: start, LastSeen: start})
	silence["10.0.0.1"] = 5 * time.Second
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{1, 2, 30})
}

// A disk is wiped twice in a moment: the identity in between called lately and runs no more.
func TestVoterWipedTwiceIsReplacedByTheLastOne(t *testing.T) {
	for _, order := range [][]uint64{{20, 21}, {21, 20}} {
		state, view, _ := votersScene(3, 1)
		for _, identity := range order {
			wiped := coordinator(2)
			wiped.Identity = identity
			first := start.Add(time.Duration(identity) * time.Millisecond).Add(-time.Second)
			view.Joins = append(view.Joins, Join{Request: &tierpb.JoinRequest{Node: wiped}, FirstSeen: first, LastSeen: first})
		}
		next := NextVoters(state, view)
		assert.DeepEqual(t, identities(next), []uint64{1, 21, 3})
		state.Voters[0].Nodes = next
		assert.Assert(t, NextVoters(state, view) == nil, "the one in between is not taken back")
	}
}

// A planned replacement of the same name comes up while the old machine runs: they do not take turns as voters.
func TestReplacementOfTheSameNameWaitsForTheOldOneToStop(t *testing.T) {
	state, view, silence := votersScene(3, 1, 4)
	for _, join := range view.Joins {
		join.Request.Node.Name = coordinator(2).Name
	}
	assert.Assert(t, NextVoters(state, view) == nil, "both run")
	assert.DeepEqual(t, identities(ReplaceDrainingVoter(state, view, 2)), []uint64{1, 4, 3})
	silence["10.0.0.2"] = time.Millisecond
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{1, 4, 3})
}

func TestHandOverGivesAwayOneVoteOnly(t *testing.T) {
	state, view, silence := votersScene(5, 2, 6, 7)
	silence["10.0.0.1"] = 5 * time.Second
	assert.DeepEqual(t, identities(ReplaceDrainingVoter(state, view, 3)), []uint64{1, 2, 6, 4, 5})
	assert.Assert(t, ReplaceDrainingVoter(state, view, 6) == nil, "no voter")
	state, view, _ = votersScene(3, 1)
	assert.Assert(t, ReplaceDrainingVoter(state, view, 3) == nil, "nobody stands by")
	state, view, _ = votersScene(3, 1, 4)
	state.Voters = append(state.Voters, state.Voters[0])
	assert.Assert(t, ReplaceDrainingVoter(state, view, 3) == nil, "a change under way is finished first")
}
