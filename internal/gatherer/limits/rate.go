package limits

import "time"

// gcra is a rate limiter by the generic cell rate algorithm (ITU-T I.371). Its state is the theoretical arrival time: when the
// next request would arrive if requests came at exactly the configured rate.
type gcra struct{ theoreticalArrival time.Duration }

// allow admits a request and returns 0, or returns how long the client must wait.
func (g *gcra) allow(r Rate, now time.Duration) (wait time.Duration) {
	if r.PerSecond <= 0 {
		return 0
	}
	step := time.Duration(float64(time.Second) / r.PerSecond)
	// Capped at a full burst after now: otherwise a clock that was set back could block clients for hours.
	due := min(max(g.theoreticalArrival, now), now+step*time.Duration(max(r.Burst, 1)))
	if early := due - now - step*time.Duration(max(r.Burst, 1)-1); early > 0 {
		return early
	}
	g.theoreticalArrival = due + step
	return 0
}
