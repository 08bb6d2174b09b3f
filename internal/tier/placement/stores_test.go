package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

var start = time.Unix(1000, 0)

// scene is a control state and what the holder of the lease knows.
type scene struct {
	state *tierpb.ControlState
	view  *View
}

func newScene(members ...int) *scene {
	s := &scene{
		state: &tierpb.ControlState{Stores: &tierpb.StoreMembership{}},
		view:  &View{Now: start, ListeningSince: start.Add(-time.Hour), Tolerance: 1, MembershipSeen: start},
	}
	for _, number := range members {
		s.state.Stores.Current = append(s.state.Stores.Current, store(number))
		s.state.Stores.Epoch = 1
		s.call(number, 0)
	}
	return s
}

func store(number int) *tierpb.Node {
	return &tierpb.Node{
		Name: fmt.Sprint("store-", number), Address: fmt.Sprint("10.0.0.", number), Identity: uint64(number),
		Role: tierpb.Role_ROLE_TURN_STORE,
	}
}

// call notes that a turn store called so long ago, and was heard of first then.
func (s *scene) call(number int, ago time.Duration) *tierpb.JoinRequest {
	return s.callAs(store(number), ago)
}

func (s *scene) callAs(node *tierpb.Node, ago time.Duration) *tierpb.JoinRequest {
	request := &tierpb.JoinRequest{Node: node}
	at := s.view.Now.Add(-ago)
	s.view.Joins = append(s.view.Joins, Join{Request: request, FirstSeen: at, LastSeen: at})
	return request
}

// lapse lets time go by, in which the nodes with these numbers go on calling.
func (s *scene) lapse(duration time.Duration, numbers ...int) {
	s.view.Now = s.view.Now.Add(duration)
	for i := range s.view.Joins {
		for _, number := range numbers {
			if s.view.Joins[i].Request.Node.Identity == uint64(number) {
				s.view.Joins[i].LastSeen = s.view.Now
			}
		}
	}
}

// copied lets members report that they have handed on what they held.
func (s *scene) copied(numbers ...int) {
	for i := range s.view.Joins {
		for _, number := range numbers {
			if s.view.Joins[i].Request.Node.Identity == uint64(number) {
				s.view.Joins[i].Request.CopiedEpoch = s.state.Stores.Epoch
			}
		}
	}
}

// step takes the next step and says which.
func (s *scene) step() string {
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

func (s *scene) expect(t *testing.T, current, previous []uint64) {
	t.Helper()
	assert.DeepEqual(t, identities(s.state.Stores.Current), current)
	assert.DeepEqual(t, identities(s.state.Stores.Previous), previous)
}

// A deployment may have fewer turn stores than bear the losses that are tolerated: it waits for more, and then begins.
func TestFewTurnStoresBeginLate(t *testing.T) {
	for _, c := range []struct {
		stores, tolerance int
		begin             time.Duration
	}{{3, 2, fewWait}, {4, 2, fewWait}, {2, 2, fewerWait}, {1, 1, fewerWait}, {2, 1, fewWait}} {
		s := newScene()
		s.view.Tolerance = c.tolerance
		var numbers []int
		for number := 1; number <= c.stores; number++ {
			s.call(number, 0)
			numbers = append(numbers, number)
		}
		s.lapse(c.begin-time.Millisecond, numbers...)
		assert.Equal(t, s.step(), "", "%+v", c)
		s.lapse(time.Millisecond, numbers...)
		assert.Equal(t, s.step(), "first turn stores, too few to bear all losses that are tolerated", "%+v", c)
		assert.Equal(t, len(s.state.Stores.Current), c.stores)
		s.call(9, batchQuiet)
		assert.Equal(t, s.step(), "turn stores joined", "one that comes later")
		assert.Equal(t, len(s.state.Stores.Previous), c.stores, "what they hold moves")
	}
}

func TestFirstMembersWaitForEachOther(t *testing.T) {
	s := newScene()
	s.call(1, 0)
	s.call(2, 0)
	s.lapse(2*time.Second, 1, 2)
	assert.Equal(t, s.step(), "", "too few")
	s.call(3, 0)
	assert.Equal(t, s.step(), "first turn stores", "the first came long ago")
	s.expect(t, []uint64{1, 2, 3}, []uint64{})

	s = newScene()
	s.call(1, 0)
	s.call(2, 0)
	s.call(3, 0)
	s.lapse(500*time.Millisecond, 1, 2, 3)
	assert.Equal(t, s.step(), "", "another may come")
	s.call(4, 0)
	s.lapse(firstQuiet, 1, 2, 3, 4)
	assert.Equal(t, s.step(), "first turn stores")
	s.expect(t, []uint64{1, 2, 3, 4}, []uint64{})
	assert.Equal(t, s.step(), "")
}

func TestJoinersAreTakenInTogether(t *testing.T) {
	s := newScene(1, 2, 3)
	s.call(4, 0)
	assert.Equal(t, s.step(), "")
	s.call(5, 0)
	s.lapse(batchQuiet, 1, 2, 3, 4, 5)
	assert.Equal(t, s.step(), "turn stores joined")
	s.expect(t, []uint64{1, 2, 3, 4, 5}, []uint64{1, 2, 3})
	assert.Equal(t, s.state.Stores.Epoch, uint64(2))
}

func TestWipedStoreTakesItsOwnPlace(t *testing.T) {
	s := newScene(1, 2, 3)
	wiped := store(2)
	wiped.Identity = 20
	s.callAs(wiped, 0)
	s.lapse(batchQuiet, 1, 3, 20)
	assert.Equal(t, s.step(), "turn stores joined")
	s.expect(t, []uint64{1, 20, 3}, []uint64{1, 2, 3})
}

func TestJoinerTakesThePlaceOfASilentStore(t *testing.T) {
	s := newScene(1, 2, 3)
	s.lapse(2*time.Second, 1, 3)
	s.call(4, 0)
	s.lapse(batchQuiet, 1, 3, 4)
	assert.Equal(t, s.step(), "turn stores joined")
	s.expect(t, []uint64{1, 4, 3}, []uint64{1, 2, 3})
	s.lapse(time.Second, 1, 2, 3, 4) // the silent one wakes with its old identity
	assert.Equal(t, s.step(), "", "records move, and nobody needs its place")
	s.copied(1, 2, 3)
	assert.Equal(t, s.step(), "records moved")
	assert.Equal(t, s.step(), "turn stores joined")
	s.expect(t, []uint64{1, 4, 3, 2}, []uint64{1, 4, 3})
	assert.Equal(t, s.state.Stores.Epoch, uint64(3))
}

func TestSilentStoreIsAbandonedWhereEnoughStay(t *testing.T) {
	s := newScene(1, 2, 3, 4)
	s.lapse(2*time.Second, 1, 2, 3)
	assert.Equal(t, s.step(), "")
	s.lapse(2*time.Second, 1, 2)
	assert.Equal(t, s.step(), "", "one of the others is silent too")
	s.lapse(time.Millisecond, 1, 2, 3)
	assert.Equal(t, s.step(), "turn store abandoned")
	s.expect(t, []uint64{1, 2, 3}, []uint64{1, 2, 3, 4})

	s = newScene(1, 2, 3, 4)
	s.view.CatchUpTimeout = 3 * time.Second
	s.lapse(2*time.Second, 1, 2, 3)
	assert.Equal(t, s.step(), "turn store abandoned", "sooner where successors have to catch up sooner")

	s = newScene(1, 2, 3)
	s.lapse(time.Hour, 1, 2)
	assert.Equal(t, s.step(), "", "too few would stay")
}

func TestMoveEndsWhenAllThatRunHaveReported(t *testing.T) {
	s := newScene(1, 2, 3)
	s.call(4, batchQuiet)
	assert.Equal(t, s.step(), "turn stores joined")
	assert.Equal(t, s.step(), "")
	s.copied(1, 2)
	assert.Equal(t, s.step(), "", "enough have reported, and a third is about to")
	s.copied(3)
	assert.Equal(t, s.step(), "records moved")
	s.expect(t, []uint64{1, 2, 3, 4}, []uint64{})
	assert.Equal(t, s.state.Stores.Epoch, uint64(2), "stores need not copy again")
}

func TestMoveEndsWithoutAStoreThatIsSilent(t *testing.T) {
	s := newScene(1, 2, 3)
	s.call(4, batchQuiet)
	assert.Equal(t, s.step(), "turn stores joined")
	s.copied(1)
	s.lapse(2*time.Second, 1, 2, 4)
	assert.Equal(t, s.step(), "", "two are missing")
	s.copied(2)
	assert.Equal(t, s.step(), "records moved")
}

func TestMoveDoesNotWaitForeverForAStoreThatRuns(t *testing.T) {
	s := newScene(1, 2, 3)
	s.call(4, batchQuiet)
	assert.Equal(t, s.step(), "turn stores joined")
	s.copied(1, 2)
	s.lapse(reportPatience, 1, 2, 3, 4) // the disk of the third stands still
	assert.Equal(t, s.step(), "records moved")
}

func TestReportsOfAnEarlierEpochDoNotCount(t *testing.T) {
	s := newScene(1, 2, 3)
	s.call(4, batchQuiet)
	assert.Equal(t, s.step(), "turn stores joined")
	s.copied(1, 2, 3)
	s.state.Stores.Epoch++ // another change while records move
	assert.Equal(t, s.step(), "")
}

func TestRetiredStoreStaysOut(t *testing.T) {
	s := newScene(1, 2, 3)
	s.call(4, time.Second)
	s.state.Stores.Previous = append(s.state.Stores.Current, store(4))
	s.state.Stores.Epoch = 2
	s.state.Retirements = []*tierpb.Retirement{{Node: "store-4", Identity: 4}}
	assert.Equal(t, s.step(), "", "it calls on")
	wiped := store(4)
	wiped.Identity = 40
	s.callAs(wiped, time.Second)
	assert.Equal(t, s.step(), "", "its machine is to be emptied, under any identity")
	s.copied(1, 2, 3)
	assert.Equal(t, s.step(), "", "the one that leaves runs and has not reported")
	s.copied(4)
	assert.Equal(t, s.step(), "records moved")
	assert.Assert(t, s.state.Retirements[0].Completed)
	s.view.Joins = s.view.Joins[:4]
	assert.Equal(t, s.step(), "", "it calls on until it is stopped")
	s.expect(t, []uint64{1, 2, 3}, []uint64{})
}
