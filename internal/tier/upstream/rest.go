package upstream

import "time"

// Bounds of what is learned of connections that stores closed without a word.
const (
	restKept   = 10 * time.Second // for which it is believed
	restMargin = 2                // a connection that rested for 1/restMargin of what was too long still serves
)

// restLimits learns, by service, for how long a connection may rest so that its store still has it. A store may drop one
// that rested without a word, or be gone; the next request on it is reset, and whether it ran nobody can tell. What may be
// sent to another store finds that out; what may not keeps to connections that rested for less, or to new ones.
type restLimits map[string]restLimit

// restLimit is the shortest rest after which a connection turned out to be dead, of late.
type restLimit struct {
	shortest time.Duration
	until    time.Time
}

// dead notes a connection that had rested for so long and was reset by the next request.
func (l restLimits) dead(service string, rested time.Duration, now time.Time) {
	known, is := l[service]
	if !is || !now.Before(known.until) || rested < known.shortest {
		known.shortest = rested
	}
	known.until = now.Add(restKept)
	l[service] = known
}

// most is how long a connection may have rested to take a request that goes to no other store; false where nothing speaks
// against any.
func (l restLimits) most(service string, now time.Time) (time.Duration, bool) {
	known, is := l[service]
	if !is {
		return 0, false
	}
	if !now.Before(known.until) {
		delete(l, service)
		return 0, false
	}
	return known.shortest / restMargin, true
}
