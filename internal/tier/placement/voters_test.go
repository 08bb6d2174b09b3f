package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestStandbysWaitWhileAllVotersReply(t *testing.T) {
	state, view, _ := newVotersScenario(3, 1, 4, 5)
	assert.Assert(t, NextVoters(state, view) == nil)
}

func TestVotersGrowToTheToleranceRequired(t *testing.T) {
	state, view, _ := newVotersScenario(3, 2, 4, 5, 6)
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{1, 2, 3, 4, 5})
}

func TestStandbyReplacesTheLongestUnreachableVoter(t *testing.T) {
	state, view, unreachableFor := newVotersScenario(3, 1, 4)
	unreachableFor["10.0.0.1"], unreachableFor["10.0.0.3"] = 2*time.Second, 5*time.Second
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{1, 2, 4})
	unreachableFor["10.0.0.1"], unreachableFor["10.0.0.3"] = 0, time.Second
	assert.Assert(t, NextVoters(state, view) == nil, "unreachable for less than the timeout")
}

func TestStandbyWithExpiredJoinIsNotUsed(t *testing.T) {
	state, view, unreachableFor := newVotersScenario(3, 1, 4)
	unreachableFor["10.0.0.1"] = 5 * time.Second
	view.Now = view.Now.Add(2 * time.Second)
	assert.Assert(t, NextVoters(state, view) == nil)
}

func TestStandbyThatDoesNotReplyIsNotUsed(t *testing.T) {
	state, view, unreachableFor := newVotersScenario(3, 2, 4)
	unreachableFor["10.0.0.1"], unreachableFor["10.0.0.4"] = 5*time.Second, time.Millisecond
	assert.Assert(t, NextVoters(state, view) == nil, "the standby sends join requests, but does not reply to requests")
}

func TestWipedVoterReplacesItself(t *testing.T) {
	state, view, _ := newVotersScenario(3, 1)
	wiped := coordinator(2)
	wiped.Identity, wiped.Name = 20, "" // only the addresses of the first voters are known
	view.Joins = append(view.Joins, Join{Request: &tierpb.JoinRequest{Node: wiped}, FirstSeen: start, LastSeen: start})
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{1, 20, 3})
}

func TestIncompleteChangeOfVotersIsCompletedFirst(t *testing.T) {
	state, view, _ := newVotersScenario(3, 1, 4)
	joint := &tierpb.VoterSet{Nodes: []*tierpb.Node{coordinator(1), coordinator(2), coordinator(5)}}
	state.Voters = append(state.Voters, joint)
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{1, 2, 5})
}

func TestNumberOfVotersStaysOdd(t *testing.T) {
	state, view, _ := newVotersScenario(3, 2, 4)
	assert.Assert(t, NextVoters(state, view) == nil, "four voters tolerate no more losses than three")
	state, view, _ = newVotersScenario(1, 1, 2, 3)
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{1, 2, 3})
}

func TestMajorityOfVotersStaysInOneChange(t *testing.T) {
	state, view, unreachableFor := newVotersScenario(3, 1, 4, 5)
	unreachableFor["10.0.0.1"], unreachableFor["10.0.0.3"] = 5*time.Second, 5*time.Second
	assert.Equal(t, len(NextVoters(state, view)), 3)
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{4, 2, 3})
	state, view, unreachableFor = newVotersScenario(5, 2, 6, 7, 8)
	for _, address := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
		unreachableFor[address] = 5 * time.Second
	}
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{6, 7, 3, 4, 5})
}

func TestVotersAreSpreadOverFailureDomains(t *testing.T) {
	state, view, unreachableFor := newVotersScenario(3, 1, 4, 5)
	domains := map[uint64]string{1: "a", 2: "a", 3: "b", 4: "a", 5: "c"}
	assert.Assert(t, NextVoters(state, view) == nil, "without failure domains")
	view.FailureDomain = func(node *tierpb.Node) string { return domains[node.Identity] }
	next := NextVoters(state, view)
	assert.DeepEqual(t, identities(next), []uint64{5, 2, 3})
	state.Voters[0].Nodes = next
	assert.Assert(t, NextVoters(state, view) == nil)
	unreachableFor["10.0.0.3"] = 5 * time.Second
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{5, 2, 4})
}

// TestWipedVoterIsReplacedBeforeAnUnreachableOne: only one voter may be replaced in a step. A wiped voter is certainly lost,
// whereas an unreachable one may come back.
func TestWipedVoterIsReplacedBeforeAnUnreachableOne(t *testing.T) {
	state, view, unreachableFor := newVotersScenario(3, 1, 4)
	wiped := coordinator(3)
	wiped.Identity = 30
	view.Joins = append(view.Joins, Join{Request: &tierpb.JoinRequest{Node: wiped}, FirstSeen: start, LastSeen: start})
	unreachableFor["10.0.0.1"] = 5 * time.Second
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{1, 2, 30})
}

// TestVoterWipedTwiceIsReplacedByItsLastIdentity: a disk is wiped twice within JoinTTL, so the join request of the second of
// its three identities has not expired.
func TestVoterWipedTwiceIsReplacedByItsLastIdentity(t *testing.T) {
	for _, order := range [][]uint64{{20, 21}, {21, 20}} {
		state, view, _ := newVotersScenario(3, 1)
		for _, identity := range order {
			wiped := coordinator(2)
			wiped.Identity = identity
			first := start.Add(time.Duration(identity) * time.Millisecond).Add(-time.Second)
			view.Joins = append(view.Joins, Join{Request: &tierpb.JoinRequest{Node: wiped}, FirstSeen: first, LastSeen: first})
		}
		next := NextVoters(state, view)
		assert.DeepEqual(t, identities(next), []uint64{1, 21, 3})
		state.Voters[0].Nodes = next
		assert.Assert(t, NextVoters(state, view) == nil, "the second identity must not become a voter")
	}
}

// TestReplacementOfTheSameNameWaitsUntilTheOldOneStops: in a planned replacement, a coordinator of the same name starts while
// the old one is still running. The two must not replace each other in turn.
func TestReplacementOfTheSameNameWaitsUntilTheOldOneStops(t *testing.T) {
	state, view, unreachableFor := newVotersScenario(3, 1, 4)
	for _, join := range view.Joins {
		join.Request.Node.Name = coordinator(2).Name
	}
	assert.Assert(t, NextVoters(state, view) == nil, "both are running")
	assert.DeepEqual(t, identities(ReplaceDrainingVoter(state, view, 2)), []uint64{1, 4, 3})
	unreachableFor["10.0.0.2"] = time.Millisecond
	assert.DeepEqual(t, identities(NextVoters(state, view)), []uint64{1, 4, 3})
}

func TestReplaceDrainingVoterReplacesNoOtherVoter(t *testing.T) {
	state, view, unreachableFor := newVotersScenario(5, 2, 6, 7)
	unreachableFor["10.0.0.1"] = 5 * time.Second
	assert.DeepEqual(t, identities(ReplaceDrainingVoter(state, view, 3)), []uint64{1, 2, 6, 4, 5})
	assert.Assert(t, ReplaceDrainingVoter(state, view, 6) == nil, "not a voter")
	state, view, _ = newVotersScenario(3, 1)
	assert.Assert(t, ReplaceDrainingVoter(state, view, 3) == nil, "no standby")
	state, view, _ = newVotersScenario(3, 1, 4)
	state.Voters = append(state.Voters, state.Voters[0])
	assert.Assert(t, ReplaceDrainingVoter(state, view, 3) == nil, "an incomplete change is completed first")
}
