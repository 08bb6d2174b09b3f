package rpc

import "sync/atomic"

// Counters are the totals of a Client or Server since it was made.
type Counters struct {
	Calls         uint64 // started by a Client, received by a Server
	Failures      uint64 // without a reply, or with a failure
	Dials         uint64 // attempts of a Client, connections accepted by a Server
	BytesSent     uint64 // frame headers included
	BytesReceived uint64 // likewise
}

type counters struct {
	calls, failures, dials, sent, received atomic.Uint64
}

func (c *counters) read() Counters {
	return Counters{
		Calls:         c.calls.Load(),
		Failures:      c.failures.Load(),
		Dials:         c.dials.Load(),
		BytesSent:     c.sent.Load(),
		BytesReceived: c.received.Load(),
	}
}
