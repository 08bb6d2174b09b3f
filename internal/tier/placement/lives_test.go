package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOnlyTheLastLifeOfAMachineIsTakenIn: a machine that was wiped while it waited is one store, not two. The model that
// explores found the dead one among the members, and a later move that waited for its report for ever.
func TestOnlyTheLastLifeOfAMachineIsTakenIn(t *testing.T) {
	s := newScene(1, 2, 3)
	before, after := store(4), store(4)
	before.Identity, after.Identity = 40, 41
	s.callAs(before, 750*time.Millisecond)
	s.callAs(after, 500*time.Millisecond)
	next, reason := NextStores(s.state, s.view)
	assert.Equal(t, reason, "turn stores joined")
	assert.DeepEqual(t, identities(next.Stores.Current), []uint64{1, 2, 3, 41})
}
