package limits

import "time"

// gcra is a rate limit by the generic cell rate algorithm (ITU-T I.371): one time, when the next request would be on
// schedule.
type gcra struct{ nextAt time.Duration }

// allow admits a request and returns 0, or returns how long it is too early.
func (g *gcra) allow(r Rate, now time.Duration) (wait time.Duration) {
	if r.PerSecond <= 0 {
		return 0
	}
	step := time.Duration(float64(time.Second) / r.PerSecond)
	// Never later than a full burst from now: a clock that went back must not keep clients out for hours.
	due := min(max(g.nextAt, now), now+step*time.Duration(max(r.Burst, 1)))
	if early := due - now - step*time.Duration(max(r.Burst, 1)-1); early > 0 {
		return early
	}
	g.nextAt = due + step
	return 0
}
