package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// This file holds outlier detection: when a store becomes unhealthy or stalled or enters backoff, and when that ends. The
// package comment gives an overview; store.tierFor turns these conditions into tiers.

// recordOutcome updates the store's health with the outcome of an attempt. The response time of a successful attempt has
// already been recorded by recordLatency.
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

// backOff puts the store in backoff. A reason other than notEjected makes it an ejection.
func (s *store) backOff(now, duration time.Duration, reason EjectionReason) {
	s.backoffUntil, s.backoffReason = now+duration, reason
}

// recordCancelled counts an attempt that was cancelled before its first byte as a failure if it waited for longer than the
// stall timeout, and as a lost response too if it waited for hangTimeoutMultiple times as long.
func (s *store) recordCancelled(g *Grant, now time.Duration) {
	age := (now - g.sentAt).Seconds()
	timeout := s.stallTimeout(g.class, now)
	if g.firstByte || age <= timeout {
		return
	}
	s.recordResult(now, false, min(cancelWeight*age/timeout, 1))
	s.recordLoss(now, age > hangTimeoutMultiple*timeout)
	s.service.recordFailedStore(g.affinity, s, now)
}

// recordResult updates the failure rate with a success or a failure. Weight, up to 1, scales a failure.
func (s *store) recordResult(now time.Duration, ok bool, weight float64) {
	s.failureRate, s.failureRateAt = failureRule.Next(s.currentFailureRate(now), ok, weight), now
}

// recordLoss updates the loss rate with a response that was lost or not.
func (s *store) recordLoss(now time.Duration, lost bool) {
	s.lossRate, s.lossRateAt = lossRule.Next(s.currentLossRate(now), !lost, 1), now
}

// recordLatency records a response time in the latency ratios and distributions, and adapts the concurrency limit. Unloaded
// says that the store was unloaded when the request was sent.
func (s *store) recordLatency(c *latencyClass, now time.Duration, seconds float64, unloaded bool) {
	c.refresh(now)
	ratio := seconds / c.baseline
	if s.latencyRatio == 0 {
		s.latencyRatio = ratio
	}
	smoothing := latencySmoothing
	if ratio < limitRule.RiseBelow {
		smoothing = recoverySmoothing
	}
	s.latencyRatio, s.latencyRatioAt = s.latencyRatio+smoothing*(ratio-s.latencyRatio), now
	s.service.latencyRatio += serviceLatencySmoothing * (ratio - s.service.latencyRatio)
	c.recordRecent(now, seconds)
	if unloaded {
		s.recordUnloaded(c, now, seconds)
	}
	s.adjustLimit(c, now)
}

// currentFailureRate returns the failure rate, decayed to now.
func (s *store) currentFailureRate(now time.Duration) float64 {
	return curve.Decay(s.failureRate, now-s.failureRateAt, failureHalfLife)
}

// currentLossRate returns the loss rate, decayed to now.
func (s *store) currentLossRate(now time.Duration) float64 {
	return curve.Decay(s.lossRate, now-s.lossRateAt, lossHalfLife)
}

// weight returns the store's weight in the round-robin: normally 1, and less while the store fails, is slower than the other
// stores, is in slow start or is Suspect. A slowdown of all stores does not reduce it.
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

// healthy reports whether the store's weight, apart from slow start, is at least healthyWeight.
func (s *store) healthy(now time.Duration) bool {
	return s.weight(now) >= healthyWeight*s.slowStartShare(now)
}

// stalled reports whether the store may hang: its oldest request without a first byte has waited for longer than the stall
// timeout.
func (s *store) stalled(now time.Duration) bool { return s.stalledBeyond(now, 1) }

// stalledBeyond reports whether the oldest request without a first byte has waited for longer than a multiple of the stall
// timeout.
func (s *store) stalledBeyond(now time.Duration, multiple float64) bool {
	if len(s.awaitingFirstByte) == 0 || ablation.Disabled(ablation.StallDetection) {
		return false
	}
	oldest := s.awaitingFirstByte[0]
	return (now - oldest.sentAt).Seconds() > multiple*s.stallTimeout(oldest.class, now)
}

// inBackoff reports whether the store recently rejected a request or could not be reached.
func (s *store) inBackoff(now time.Duration) bool {
	return now < s.backoffUntil && !ablation.Disabled(ablation.Backoff)
}

// avoidedFor reports whether the request avoids the store because of its health. Requests avoid an unhealthy store, except
// for first attempts of idempotent requests while no other attempt is in flight there, which test it as by a half-open
// circuit breaker. Requests that are neither idempotent nor streams also avoid a store that recently lost responses.
func (s *store) avoidedFor(p *pendingRequest, now time.Duration) bool {
	if !p.Idempotent && !p.Streaming && s.currentLossRate(now) > maxLossRate && !ablation.Disabled(ablation.LossAvoidance) {
		return true
	}
	trial := p.Idempotent && p.ExecutedAttempts == 0 && s.inFlight == 0 && !ablation.Disabled(ablation.HalfOpenTrials)
	return !trial && !s.healthy(now)
}
