// Package decision is the interface of the decision module, package policy: settings, what a host tells of (events), what it
// is to do (actions), and what is handed to a successor. It holds types and the check of settings; it decides nothing.
package decision

import "time"

// QueryID, PartID and ServerID are opaque: nothing is read from their values.
type (
	QueryID  uint64
	PartID   uint64
	ServerID uint32
)

// Record is what a mixer knows of a server, to be handed to a successor. Spans are ages, as clocks differ.
type Record struct {
	Server           ServerID
	Answers          []float64 // answer times by bucket, faded to now
	Latency, Failing float64   // smoothed answer time in seconds, 0 for none, and share of failures
	Cap              float64
	ColdFor          time.Duration // since it was seen to start over, -1 for never
}
