package watch

import (
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/tier/metrics"
)

// lastReadyReply is when a source that is ready last replied to any watcher of the process, in nanoseconds since 1970; at first
// the start of the process.
var lastReadyReply atomic.Int64

func init() { lastReadyReply.Store(time.Now().UnixNano()) }

// A source replies within MaxPollDuration whether or not anything is new. While none that is ready does, the process cannot
// know whether its control state is the newest: coordinators are ready while they reach a quorum, agents always.
var _ = metrics.NewGaugeFunc("watch_source_silence_seconds",
	"Seconds since a source that is ready last replied to this agent, proxy or turn store. Above 1.5 its control state may be outdated.",
	func() float64 { return sourceSilence().Seconds() })

// sourceSilence returns how long no source that is ready has replied.
func sourceSilence() time.Duration { return time.Since(time.Unix(0, lastReadyReply.Load())) }

// recordReadyReply records that a source that is ready has replied now.
func recordReadyReply() { lastReadyReply.Store(time.Now().UnixNano()) }
