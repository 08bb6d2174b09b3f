package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A process that did not run for a while has not heard anybody in that time: that is nobody's silence.
func TestSilenceBeginsNoEarlierThanTheListening(t *testing.T) {
	s := newScene(1, 2, 3, 4)
	s.lapse(20*time.Second, 1, 2, 3)
	s.view.ListeningSince = s.view.Now.Add(-time.Second)
	_, reason := NextStores(s.state, s.view)
	assert.Equal(t, reason, "", "abandoned for a silence of the listener's own")
	s.lapse(3*time.Second, 1, 2, 3)
	_, reason = NextStores(s.state, s.view)
	assert.Equal(t, reason, "turn store abandoned")
}

// A coordinator that wakes reads what waited on two connections in any order: the call of an earlier life may seem to
// begin after the later life's, which goes on calling.
func TestCallOfAnEarlierLifeThatIsReadLateHidesNobody(t *testing.T) {
	s := newScene(1, 2)
	s.lapse(time.Second, 1, 2)
	s.call(3, 0)
	wiped := store(3)
	wiped.Identity = 30
	s.callAs(wiped, time.Millisecond) // first heard before the call of its earlier life
	s.lapse(batchQuiet, 1, 2, 30)
	assert.Equal(t, s.step(), "turn stores joined")
	s.expect(t, []uint64{1, 2, 30}, []uint64{1, 2})
}
