package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// capacity returns the number of requests that the store runs concurrently: reported, configured or assumed.
func (s *store) capacity() int {
	switch {
	case s.Slots > 0:
		return s.Slots
	case s.service.defaultSlots > 0:
		return s.service.defaultSlots
	}
	return assumedSlots
}

// hasCapacity reports whether the store can take one more request: this proxy's attempts are below the concurrency limit,
// and the store's estimated load leaves a free slot. During slow start both bounds are scaled down, to no less than one.
func (s *store) hasCapacity(now time.Duration) bool {
	share := s.slowStartShare(now)
	if float64(s.inFlight) >= max(s.limit*share, 1) && !ablation.Disabled(ablation.ConcurrencyLimit) {
		return false
	}
	return s.load(now) < max(float64(s.capacity())*share, 1)
}

// adjustLimit adapts the concurrency limit after a response.
func (s *store) adjustLimit(c *latencyClass, now time.Duration) {
	rule := limitRule
	rule.Min = max(rule.Min, float64(s.capacity())*minLimitShare)
	s.limit, s.limitDecreasedAt = rule.Next(s.limit, s.limitDecreasedAt, now, s.latencyRatio*c.baseline, c.baseline)
}

// load returns the number of requests at the store: this proxy's own, plus an estimate of other callers' requests.
func (s *store) load(now time.Duration) float64 {
	running, waiting := s.otherCallersLoad(now)
	return float64(s.inFlight) + running + waiting
}

// weightedLoad returns the work at the store, in requests. A request whose response has not started counts waitingCost times,
// as it delays others for longer than one that is being answered.
func (s *store) weightedLoad(now time.Duration) float64 {
	running, waiting := s.otherCallersLoad(now)
	awaiting := float64(len(s.awaitingFirstByte))
	return running + float64(s.inFlight) - awaiting + waitingCost*(waiting+awaiting)
}

// otherCallersLoad estimates how many requests of other callers are running and waiting at the store. The last report decays
// to the service's baseline quickly, as other proxies react to a change in load within a few responses.
func (s *store) otherCallersLoad(now time.Duration) (running, waiting float64) {
	if ablation.Disabled(ablation.ReportedLoad) {
		return 0, 0
	}
	running, waiting = s.service.baselineLoad(now)
	if s.hasReport {
		weight := curve.Decay(1, now-s.reportedAt, reportHalfLife)
		running += weight * (s.reportedRunning - running)
		waiting += weight * (s.reportedWaiting - waiting)
	}
	return running, waiting
}

// baselineLoad returns how many requests of other callers are running and waiting at an average store of the service,
// according to recent reports.
func (svc *service) baselineLoad(now time.Duration) (running, waiting float64) {
	if ablation.Disabled(ablation.BaselineLoad) {
		return 0, 0
	}
	weight := curve.Decay(1, now-svc.baselineAt, baselineHalfLife)
	return weight * svc.baselineRunning, weight * svc.baselineWaiting
}

// recordLoadReport records the load report of a response. Reports include this proxy's own requests, among them the one that the
// response belongs to; they are subtracted.
func (s *store) recordLoadReport(now time.Duration, running, waiting, slots int) {
	if slots > 0 {
		s.Slots = slots
	}
	awaiting := len(s.awaitingFirstByte)
	s.reportedRunning = float64(max(running-(s.inFlight-awaiting), 0))
	s.reportedWaiting = float64(max(waiting-awaiting, 0))
	s.reportedAt, s.hasReport = now, true
	svc := s.service
	svc.baselineAt, svc.reportsLoad = now, true
	svc.baselineRunning += baselineSmoothing * (s.reportedRunning - svc.baselineRunning)
	svc.baselineWaiting += baselineSmoothing * (s.reportedWaiting - svc.baselineWaiting)
}

// recordSaturated records a rejection for lack of capacity as a report that all slots are in use.
func (s *store) recordSaturated(now time.Duration) {
	s.reportedRunning = max(s.reportedRunning, float64(s.capacity()-s.inFlight+1))
	s.reportedAt, s.hasReport = now, true
}
