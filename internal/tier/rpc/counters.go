package rpc

import "sync/atomic"

// Counters tell what a Client or Server has carried since it was made.
type Counters struct {
	Calls         uint64 // begun or taken in
	Failures      uint64 // without a reply, or with one that says so
	Dials         uint64 // connections tried; connections accepted for a Server
	BytesSent     uint64
	BytesReceived uint64
}

type counters struct {
	calls, failures, dials, sent, received atomic.Uint64
}

func (c *counters) read() Counters {
	return Counters{
		Calls: c.calls.Load(), Failures: c.failures.Load(), Dials: c.dials.Load(),
		BytesSent: c.sent.Load(), BytesReceived: c.received.Load(),
	}
}
