package watch

import (
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/tier/metrics"
)

// lastReadyReply is when a source that is ready last replied to any watcher of the process, in nanoseconds since the Unix
// epoch. Its initial value is the start of the process.
var lastReadyReply atomic.Int64

func init() { lastReadyReply.Store(time.Now().UnixNano()) }

// A source replies within MaxPollDuration whether or not there are updates. While no ready source does, the process cannot
// know whether its control state is the newest. Coordinators are ready while they reach a quorum; agents always are.
var _ = metrics.NewGaugeFunc("watch_source_silence_seconds",
	"Seconds since a source that is ready last replied to this agent, proxy or turn store. Above 1.5 its control state may be outdated.",
	func() float64 { return sourceSilence().Seconds() })

// sourceSilence returns the time since the last reply of a source that is ready.
func sourceSilence() time.Duration { return time.Since(time.Unix(0, lastReadyReply.Load())) }

// recordReadyReply sets the time of the last reply of a source that is ready to the current time.
func recordReadyReply() { lastReadyReply.Store(time.Now().UnixNano()) }
