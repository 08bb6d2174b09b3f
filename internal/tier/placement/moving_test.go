package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// wipe lets a store lose its disk and ask to join under another identity. What it had reported stays known.
func (s *scene) wipe(number, identity int) {
	for i := range s.view.Joins {
		if s.view.Joins[i].Request.Node.Identity == uint64(number) {
			s.view.Joins[i].Heard = s.view.Now.Add(-2 * FreshJoin)
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
	s.view.CatchUp = 4 * time.Second
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
