package placementcontrol

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// redundancyTimer measures how long the records of the turn stores take to move to the current members. It is not safe for
// concurrent use.
type redundancyTimer struct {
	since time.Time // when the current move was first observed; zero if no records move
}

// observe processes the newest membership. When a move has ended, it returns how long the move was observed.
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
