package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

var start = time.Unix(1000, 0)

// scenario is a control state and the view of the lease holder.
type scenario struct {
	state *tierpb.ControlState
	view  *View
}

func newScenario(members ...int) *scenario {
	s := &scenario{
		state: &tierpb.ControlState{Stores: &tierpb.StoreMembership{}},
		view:  &View{Now: start, ListeningSince: start.Add(-time.Hour), Tolerance: 1, MembershipSeen: start},
	}
	for _, number := range members {
		s.state.Stores.Current = append(s.state.Stores.Current, store(number))
		s.state.Stores.Epoch = 1
		s.join(number, 0)
	}
	return s
}

func store(number int) *tierpb.Node {
	return &tierpb.Node{
		Name: fmt.Sprint("store-", number), Address: fmt.Sprint("10.0.0.", number), Identity: uint64(number),
		Role: tierpb.Role_ROLE_TURN_STORE,
	}
}

// join adds the first join request of a turn store, which it sent some time ago.
func (s *scenario) join(number int, ago time.Duration) { s.joinAs(store(number), ago) }

func (s *scenario) joinAs(node *tierpb.Node, ago time.Duration) {
	request := &tierpb.JoinRequest{Node: node}
	at := s.view.Now.Add(-ago)
	s.view.Joins = append(s.view.Joins, Join{Request: request, FirstSeen: at, LastSeen: at})
}

// advance advances the time. The nodes with these numbers have repeated their join requests in the meantime.
func (s *scenario) advance(duration time.Duration, numbers ...int) {
	s.view.Now = s.view.Now.Add(duration)
	for i := range s.view.Joins {
		for _, number := range numbers {
			if s.view.Joins[i].Request.Node.Identity == uint64(number) {
				s.view.Joins[i].LastSeen = s.view.Now
			}
		}
	}
}

// reportCopied lets members report that their records have been copied to the current members.
func (s *scenario) reportCopied(numbers ...int) {
	for i := range s.view.Joins {
		for _, number := range numbers {
			if s.view.Joins[i].Request.Node.Identity == uint64(number) {
				s.view.Joins[i].Request.RebalancedEpoch = s.state.Stores.Epoch
			}
		}
	}
}

// step applies the next change of the turn stores and returns its reason, empty if there is none.
func (s *scenario) step() string {
	next, reason := NextStores(s.state.CloneVT(), s.view)
	if reason != "" {
		s.state = next
		s.view.MembershipSeen = s.view.Now
	}
	return reason
}

func identities(nodes []*tierpb.Node) []uint64 {
	found := []uint64{}
	for _, node := range nodes {
		found = append(found, node.Identity)
	}
	return found
}

func (s *scenario) expectMembers(t *testing.T, current, previous []uint64) {
	t.Helper()
	assert.DeepEqual(t, identities(s.state.Stores.Current), current)
	assert.DeepEqual(t, identities(s.state.Stores.Previous), previous)
}

// wipe lets a store lose its disk and send a join request under another identity. The last join request of the earlier
// identity has expired, but remains in the view with what it reported.
func (s *scenario) wipe(number, identity int) {
	for i := range s.view.Joins {
		if s.view.Joins[i].Request.Node.Identity == uint64(number) {
			s.view.Joins[i].FirstSeen = s.view.ListeningSince
			s.view.Joins[i].LastSeen = s.view.Now.Add(-2 * JoinTTL)
		}
	}
	node := store(number)
	node.Identity = uint64(identity)
	s.joinAs(node, joinQuietPeriod)
}

// newColocatedScenario returns a scenario with four machines that run a turn store and a coordinator each. The first three
// coordinators are voters. Machine 1 is draining and no longer has any records.
func newColocatedScenario() *scenario {
	s := newScenario()
	voters := &tierpb.VoterSet{}
	for number := 1; number <= 4; number++ {
		stored, coordinating := store(number), coordinator(number+10)
		stored.Address = fmt.Sprintf("10.0.0.%d:701", number)
		coordinating.Address = fmt.Sprintf("10.0.0.%d:700", number)
		s.joinAs(stored, 0)
		s.joinAs(coordinating, 0)
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

func coordinator(number int) *tierpb.Node {
	node := store(number)
	node.Role = tierpb.Role_ROLE_COORDINATOR
	return node
}

// newVotersScenario returns a state with the voters 1 to count, and a view with join requests of standbys. The returned map
// sets how long an address has been unreachable.
func newVotersScenario(count, tolerance int, standbys ...int) (*tierpb.ControlState, *View, map[string]time.Duration) {
	s := newScenario()
	s.view.Tolerance = tolerance
	unreachableFor := make(map[string]time.Duration)
	s.view.VoterUnreachableFor = func(address string) time.Duration { return unreachableFor[address] }
	set := &tierpb.VoterSet{}
	for number := 1; number <= count; number++ {
		set.Nodes = append(set.Nodes, coordinator(number))
	}
	for _, number := range standbys {
		s.joinAs(coordinator(number), 0)
	}
	return &tierpb.ControlState{Voters: []*tierpb.VoterSet{set}}, s.view, unreachableFor
}
