package rpc

import "sync/atomic"

// Counters are the totals of a Client or Server since its creation.
type Counters struct {
	Calls         uint64 // calls started by a Client, or received by a Server
	Failures      uint64 // calls that returned an error
	Dials         uint64 // dial attempts of a Client, or connections accepted by a Server
	BytesSent     uint64 // including frame headers
	BytesReceived uint64 // including frame headers
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
