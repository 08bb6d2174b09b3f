package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestReadyReplyResetsSourceSilence checks the value of the metric watch_source_silence_seconds, which shows that a
// process may have an outdated configuration: it restarts at 0 with a reply of a source that is ready.
func TestReadyReplyResetsSourceSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recordReadyReply()
		time.Sleep(3 * time.Second)
		assert.Equal(t, sourceSilence(), 3*time.Second)
		w := NewWatcher(Options{State: NewState()})
		w.markReadySource()
		assert.Equal(t, sourceSilence(), time.Duration(0))
	})
}
