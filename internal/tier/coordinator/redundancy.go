package coordinator

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// redundancy measures for how long the records of the turn stores have been on the way to their places. It is used by
// one goroutine.
type redundancy struct {
	since time.Time // when the move under way was first seen; zero where none is
}

// note takes in a membership. Where a move has ended it returns for how long it had been seen.
func (r *redundancy) note(stores *tierpb.StoreMembership, now time.Time) (took time.Duration, restored bool) {
	moving := len(stores.GetPrevious()) > 0
	switch {
	case moving && r.since.IsZero():
		r.since = now
	case !moving && !r.since.IsZero():
		took, restored = now.Sub(r.since), true
		r.since = time.Time{}
	}
	return took, restored
}

// noteRedundancy logs the moment at which every record stands on as many turn stores as are promised again. Only
// placement calls it.
func (c *coordinator) noteRedundancy(stores *tierpb.StoreMembership) {
	if took, restored := c.redundancy.note(stores, c.now()); restored {
		c.log.Info("redundancy restored", "epoch", stores.GetEpoch(), "seconds", took.Seconds(),
			"members", len(stores.GetCurrent()))
	}
}
