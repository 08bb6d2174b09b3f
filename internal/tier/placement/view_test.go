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
	s.view.Since = s.view.Now.Add(-time.Second)
	_, reason := Stores(s.state, s.view)
	assert.Equal(t, reason, "", "abandoned for a silence of the listener's own")
	s.lapse(3*time.Second, 1, 2, 3)
	_, reason = Stores(s.state, s.view)
	assert.Equal(t, reason, "turn store abandoned")
}
