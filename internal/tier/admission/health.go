package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// This file holds outlier detection: what makes a store unhealthy, stalled or backed off from, and how that ends. The package
// comment gives an overview. Which tier a store is in for a request is decided by store.tierFor.

// recordOutcome records how an attempt ended, for the store's health. A successful attempt's response time has been recorded
// before, by recordLatency.
func (s *store) recordOutcome(g *Grant, now time.Duration, outcome Outcome) {
	svc := s.service
	switch outcome {
	case Success:
		s.recordResult(now, true, 1)
		s.recordLoss(now, false)
	case Saturated:
		s.backOff(now, min(max(curve.Duration(g.class.median), minBackoff), maxBackoff), notEjected)
		s.recordSaturated(now)
	case ConnectFailed:
		s.backOff(now, connectBackoff, EjectedUnreachable)
		s.recordResult(now, false, 1)
	case NotExecuted:
		s.backOff(now, connectBackoff, EjectedNotExecuting)
		s.recordResult(now, false, 1)
	case StoreError:
		s.recordResult(now, false, 1)
		svc.recordFailedStore(g.affinity, s, now)
	case ResponseLost:
		s.recordResult(now, false, 1)
		s.recordLoss(now, true)
		svc.recordFailedStore(g.affinity, s, now)
	case Cancelled:
		s.recordCancelled(g, now)
	}
}

// backOff keeps requests away from the store for a time. Reason says whether that is an ejection.
func (s *store) backOff(now, span time.Duration, reason EjectionReason) {
	s.backoffUntil, s.backoffReason = now+span, reason
}

// recordCancelled counts an attempt that was cancelled before its first byte as a failure, where it waited for longer than
// the stall time-out, and as a lost response where it waited for several times as long.
func (s *store) recordCancelled(g *Grant, now time.Duration) {
	age := (now - g.sentAt).Seconds()
	timeout := s.stallTimeout(g.class, now)
	if g.firstByte || age <= timeout {
		return
	}
	s.recordResult(now, false, min(cancelWeight*age/timeout, 1))
	s.recordLoss(now, age > hungTailMultiple*timeout)
	s.service.recordFailedStore(g.affinity, s, now)
}

// recordResult records a success, or a failure that counts with a weight of up to 1, in the failure rate.
func (s *store) recordResult(now time.Duration, ok bool, weight float64) {
	s.failureRate, s.failureRateAt = failureRule.Next(s.currentFailureRate(now), ok, weight), now
}

// recordLoss records whether a response was lost in the loss rate.
func (s *store) recordLoss(now time.Duration, lost bool) {
	s.lossRate, s.lossRateAt = lossRule.Next(s.currentLossRate(now), !lost, 1), now
}

// recordLatency records a response time in the latency ratios and distributions, and adapts the concurrency limit. Unloaded
// says that the request was sent while the store was unloaded.
func (s *store) recordLatency(c *latencyClass, now time.Duration, seconds float64, unloaded bool) {
	c.refresh(now)
	ratio := seconds / c.baseline
	if s.latencyRatio == 0 {
		s.latencyRatio = ratio
	}
	smoothing := latencySmoothing
	if ratio < limitRule.Near {
		smoothing = recoverySmoothing
	}
	s.latencyRatio, s.latencyRatioAt = s.latencyRatio+smoothing*(ratio-s.latencyRatio), now
	s.service.latencyRatio += fleetLatencySmoothing * (ratio - s.service.latencyRatio)
	c.recordRecent(now, seconds)
	if unloaded {
		s.recordUnloaded(c, now, seconds)
	}
	s.adjustLimit(c, now)
}

// currentFailureRate returns the failure rate with its decay.
func (s *store) currentFailureRate(now time.Duration) float64 {
	return curve.Decay(s.failureRate, now-s.failureRateAt, failureHalfLife)
}

// currentLossRate returns the loss rate with its decay.
func (s *store) currentLossRate(now time.Duration) float64 {
	return curve.Decay(s.lossRate, now-s.lossRateAt, lossHalfLife)
}

// weight returns the store's weight in the round-robin: 1 ordinarily, and less while it fails, is slower than the other
// stores, is in slow start, or misses heartbeats. A slowdown that all stores have does not reduce it.
func (s *store) weight(now time.Duration) float64 {
	if ablation.Disabled(ablation.HealthWeights) {
		return s.slowStartShare(now)
	}
	excess := max(s.latencyRatio/max(s.service.latencyRatio, 1), 1) - 1
	ratio := 1 + curve.Decay(excess, now-s.latencyRatioAt, latencyHalfLife)
	weight := tailguard.Weight(s.currentFailureRate(now), ratio/toleratedLatencyRatio, s.slowStartShare(now))
	if s.State == Suspect {
		weight *= healthyWeight
	}
	return weight
}

// healthy reports whether the store has enough of its weight. Slow start is no fault.
func (s *store) healthy(now time.Duration) bool {
	return s.weight(now) >= healthyWeight*s.slowStartShare(now)
}

// stalled reports whether the oldest request without a first byte has waited for longer than the stall time-out: the store
// may hang.
func (s *store) stalled(now time.Duration) bool { return s.stalledFor(now, 1) }

// stalledFor reports whether that request has waited for longer than a multiple of the stall time-out.
func (s *store) stalledFor(now time.Duration, multiple float64) bool {
	if len(s.awaitingFirstByte) == 0 || ablation.Disabled(ablation.StallDetection) {
		return false
	}
	oldest := s.awaitingFirstByte[0]
	return (now - oldest.sentAt).Seconds() > multiple*s.stallTimeout(oldest.class, now)
}

// inBackoff reports whether the store rejected a request, or could not be reached, a moment ago.
func (s *store) inBackoff(now time.Duration) bool {
	return now < s.backoffUntil && !ablation.Disabled(ablation.Backoff)
}

// avoidedFor reports whether the store's health keeps the request away from it. An unhealthy store is tested by idempotent
// requests in their first attempt, while no other attempt is in flight there, as by a half-open circuit breaker. A
// request that is neither idempotent nor a stream also keeps away from a store that has recently lost responses.
func (s *store) avoidedFor(p *pendingRequest, now time.Duration) bool {
	if !p.Idempotent && !p.Streaming && s.currentLossRate(now) > maxLossRate && !ablation.Disabled(ablation.LossAvoidance) {
		return true
	}
	trial := p.Idempotent && p.ExecutedAttempts == 0 && s.inFlight == 0 && !ablation.Disabled(ablation.HalfOpenTrials)
	return !trial && !s.healthy(now)
}
