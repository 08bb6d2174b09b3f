// Package retention computes how long records of conversation turns are kept. Proxies and turn stores use the same rules.
//
// A turn can be continued until its retention has passed since its end. The turns before it must be readable as long, so
// their retention is extended when a turn that continues them is saved. All times are in Unix milliseconds.
package retention

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Margins beyond the retention of a turn.
const (
	// ExtensionMargin is how long past the retention of a turn the turns before it are kept at least.
	ExtensionMargin = 20 * time.Second
	// ExpiryGrace is added to the retention of a record, for clock skew and for turns that continue it late.
	ExpiryGrace = time.Minute
	// expiryGraceDivisor divides the retention; the result is added to ExpiryGrace.
	expiryGraceDivisor = 10
)

// End returns when the retention of a turn ends.
func End(turn *tierpb.TurnRecord) int64 { return turn.EndedUnixMs + int64(turn.RetentionMs) }

// ChainEnd returns until when the turns before a turn must be kept, unless a later turn extends it.
func ChainEnd(turn *tierpb.TurnRecord) int64 { return End(turn) + ExtensionMargin.Milliseconds() }

// Expiry returns when the record of a turn expires, unless a later turn extends it.
func Expiry(turn *tierpb.TurnRecord) int64 { return End(turn) + Grace(turn).Milliseconds() }

// Grace returns how long the record of a turn is kept beyond the retention of the turn.
func Grace(turn *tierpb.TurnRecord) time.Duration {
	return time.Duration(turn.RetentionMs)*time.Millisecond/expiryGraceDivisor + ExpiryGrace
}
