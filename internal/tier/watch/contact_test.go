package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// The metric tells an edge that cannot know whether its configuration is the newest: only sources that are ready end the
// silence.
func TestSourceSilenceEndsWithAReadySource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recordReadyReply()
		time.Sleep(3 * time.Second)
		assert.Equal(t, sourceSilence(), 3*time.Second)
		w := NewWatcher(Options{State: NewState()})
		w.noteReadySource()
		assert.Equal(t, sourceSilence(), time.Duration(0))
	})
}
