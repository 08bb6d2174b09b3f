package placementcontrol

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// redundancyTimer measures for how long the records of the turn stores have been moving to their members. It is not safe for
// concurrent use.
type redundancyTimer struct {
	since time.Time // when the move under way was first seen; zero where none is
}

// observe takes in a membership. Where a move has ended it returns for how long it had been seen.
func (r *redundancyTimer) observe(stores *tierpb.StoreMembership, now time.Time) (took time.Duration, restored bool) {
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
