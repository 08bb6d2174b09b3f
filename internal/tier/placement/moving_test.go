package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// wipe lets a store lose its disk and ask to join under another identity. What it had reported stays known.
func (s *scene) wipe(number, identity int) {
	for i := range s.view.Joins {
		if s.view.Joins[i].Request.Node.Identity == uint64(number) {
			s.view.Joins[i].FirstSeen = s.view.ListeningSince
			s.view.Joins[i].LastSeen = s.view.Now.Add(-2 * JoinTTL)
		}
	}
	node := store(number)
	node.Identity = uint64(identity)
	s.callAs(node, batchQuiet)
}

func TestMoveThatMayEndEndsBeforeAnotherChange(t *testing.T) {
	s := newScene(1, 2, 3)
	s.call(4, batchQuiet)
	assert.Equal(t, s.step(), "turn stores joined")
	s.copied(1, 2)
	assert.Equal(t, s.step(), "", "the third runs and has not reported")
	s.wipe(2, 20)
	assert.Equal(t, s.step(), "records moved")
	assert.Equal(t, s.step(), "turn stores joined")
	s.expect(t, []uint64{1, 20, 3, 4}, []uint64{1, 2, 3, 4})
}

func TestMoveDoesNotWaitBeyondTheCatchUpOfANewStore(t *testing.T) {
	s := newScene(1, 2, 3)
	s.view.CatchUpTimeout = 4 * time.Second
	s.call(4, batchQuiet)
	assert.Equal(t, s.step(), "turn stores joined")
	s.copied(1, 2)
	s.lapse(time.Second, 1, 2, 3, 4)
	assert.Equal(t, s.step(), "", "the third runs and has not reported")
	s.lapse(time.Second, 1, 2, 3, 4)
	assert.Equal(t, s.step(), "records moved")
}

func TestGrowthWaitsWhileRecordsMove(t *testing.T) {
	s := newScene(1, 2, 3)
	s.wipe(3, 30)
	assert.Equal(t, s.step(), "turn stores joined")
	s.call(4, batchQuiet)
	assert.Equal(t, s.step(), "", "the copying would begin anew")
	s.wipe(2, 20)
	assert.Equal(t, s.step(), "turn stores joined", "in the place of a lost one")
	s.expect(t, []uint64{1, 20, 30}, []uint64{1, 2, 3})
	s.lapse(reportPatience, 1, 20, 30, 4)
	assert.Equal(t, s.step(), "turn stores joined", "it does not wait for ever")
	s.expect(t, []uint64{1, 20, 30, 4}, []uint64{1, 2, 3})
}

func TestMoveEndsWhereMoreDisksAreLostThanTolerated(t *testing.T) {
	s := newScene(1, 2, 3)
	s.wipe(3, 30)
	assert.Equal(t, s.step(), "turn stores joined")
	s.wipe(2, 20) // before anything was copied
	assert.Equal(t, s.step(), "turn stores joined")
	s.lapse(time.Minute, 1, 20, 30)
	assert.Equal(t, s.step(), "", "the last one may still hand on what it holds")
	s.copied(1)
	assert.Equal(t, s.step(), "records moved, but more disks were lost than are tolerated")
	s.expect(t, []uint64{1, 20, 30}, []uint64{})
}

func TestSilentStoreIsNoLostDisk(t *testing.T) {
	s := newScene(1, 2, 3)
	s.wipe(3, 30)
	assert.Equal(t, s.step(), "turn stores joined")
	s.lapse(2*time.Second, 1, 30)
	s.call(4, batchQuiet)
	assert.Equal(t, s.step(), "turn stores joined", "in the place of the silent one")
	s.expect(t, []uint64{1, 4, 30}, []uint64{1, 2, 3})
	s.copied(1)
	s.lapse(time.Minute, 1, 30, 4)
	assert.Equal(t, s.step(), "", "the silent one may come back with what only it holds")
}

// A store that was taken in during a move holds nothing that others lack, but its machine may stand in for a lost one:
// once the order is completed, nobody counts that loss any more.
func TestRetirementIsNotCompletedWhileRecordsMove(t *testing.T) {
	s := newScene(1, 2, 3, 4)
	s.wipe(4, 40)
	assert.Equal(t, s.step(), "turn stores joined")
	s.state.Stores.Current = s.state.Stores.Current[:3]
	s.state.Stores.Epoch++
	s.state.Retirements = []*tierpb.Retirement{{Node: "store-4", Identity: 40}}
	assert.Equal(t, s.step(), "")
	s.copied(1, 2, 3)
	assert.Equal(t, s.step(), "records moved")
	assert.Assert(t, s.state.Retirements[0].Completed)
}

// The coordinators have heard of the store that was before a moment ago, and take it for running.
func TestWipedStoreDoesNotLoseItsPlaceToTheOneItWas(t *testing.T) {
	s := newScene(1, 2, 3)
	s.lapse(time.Minute, 1, 2, 3)
	node := store(3)
	node.Identity = 30
	s.callAs(node, 0)
	s.lapse(batchQuiet, 1, 2, 30)
	assert.Equal(t, s.step(), "turn stores joined")
	s.expect(t, []uint64{1, 2, 30}, []uint64{1, 2, 3})
	s.copied(1, 2)
	assert.Equal(t, s.step(), "records moved", "nobody waits for a report of the one that was")
	s.lapse(100*time.Millisecond, 1, 2, 30)
	assert.Equal(t, s.step(), "")
	s.expect(t, []uint64{1, 2, 30}, []uint64{})
}

// A machine whose disk is lost while it is being emptied waits under another identity, and is to be taken away.
func TestLeaverThatWasWipedStaysOutWhenTheOrderIsCompleted(t *testing.T) {
	s := newScene(1, 2, 3)
	s.state.Stores.Epoch = 2
	s.state.Stores.Previous = append(s.state.Stores.Current, store(4))
	s.state.Retirements = []*tierpb.Retirement{{Node: "store-4", Identity: 4}}
	s.call(4, 0)
	s.wipe(4, 40)
	assert.Equal(t, s.step(), "")
	s.copied(1, 2, 3)
	assert.Equal(t, s.step(), "records moved")
	assert.Equal(t, s.step(), "")
	s.expect(t, []uint64{1, 2, 3}, []uint64{})
}

func TestSilentStoresAreAbandonedTogether(t *testing.T) {
	s := newScene(1, 2, 3, 4, 5, 6, 7)
	s.view.Tolerance = 2
	s.lapse(time.Minute, 1, 2, 3, 4, 5)
	assert.Equal(t, s.step(), "turn store abandoned")
	s.expect(t, []uint64{1, 2, 3, 4, 5}, []uint64{1, 2, 3, 4, 5, 6, 7})
}

// More silent stores than may be lost at once are a sign that the coordinator is cut off from them.
func TestStoresAreNotAbandonedWhereTooManyAreSilent(t *testing.T) {
	s := newScene(1, 2, 3, 4, 5, 6)
	s.lapse(time.Minute, 1, 2, 3, 4)
	assert.Equal(t, s.step(), "")
}

// A machine that was replaced at another address under its name wakes, and both call from then on.
func TestStoreThatWakesDoesNotTakeItsSuccessorsPlace(t *testing.T) {
	s := newScene(1, 2, 3)
	s.lapse(2*time.Second, 1, 2)
	successor := store(3)
	successor.Address, successor.Identity = "10.0.1.3", 30
	s.callAs(successor, batchQuiet)
	assert.Equal(t, s.step(), "turn stores joined")
	s.lapse(time.Second, 1, 2, 3, 30)
	assert.Equal(t, s.step(), "")
	s.copied(1, 2, 3)
	assert.Equal(t, s.step(), "records moved")
	assert.Equal(t, s.step(), "")
	s.expect(t, []uint64{1, 2, 30}, []uint64{})
}
