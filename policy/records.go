package policy

import (
	"cmp"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// Records of latency and failures, and the weight of each server.

// survey updates the aggregates that servers and queries are compared with, and the fraction of queries to
// reject. Aggregates that need a pass over all servers are updated once per surveyInterval.
func (sc *Scheduler) survey() {
	sc.StartedAt = min(sc.StartedAt, sc.Now)
	if sc.SurveyedAt < 0 || sc.PoolChanged {
		sc.SurveyPool()
	}
	// The baseline of the concurrency caps follows the median of the pool down at once but up only slowly.
	// Otherwise the latency under congestion would become the baseline.
	since := sc.Now - sc.SurveyedAt
	if sc.SurveyedAt < 0 || since >= surveyInterval && !sc.Stalled {
		sc.SurveyedAt = sc.Now
		sc.Baseline = min(sc.PoolMedian, sc.Baseline*(1+baselineRise*curve.Seconds(since)))
		if sc.Baseline == 0 || sc.Pool.Count(sc.Now) < curve.PriorWeight {
			sc.Baseline = sc.PoolMedian
		}
		sc.surveyServers()
	}
	missed, decided := sc.Missed.SumSince(sc.Now-missWindow), sc.Decided.SumSince(sc.Now-missWindow)
	sc.ShedFraction, sc.ShedFractionAt =
		sheddingRule.Next(sc.ShedFraction, sc.Now-sc.ShedFractionAt, missed, decided), sc.Now
	sc.SetFlag(&sc.Shedding, sc.ShedFraction > 0, "shedding=%v missed=%.0f of %.0f", missed, decided)
}

// surveyServers updates the aggregates over all servers: overdue attempts, the median latency, the rate per
// server, the loss rate of idle connections and the crash alarm. It also drops records that are out of use.
func (sc *Scheduler) surveyServers() {
	sc.CountOverdue(sc.Now - curve.Duration(lateMultiple*sc.PoolMedian))
	size := sc.Survey(func(s *cluster.Server) bool { return sc.slowStartShare(s) >= 1 })
	// Lower bound, also before any answer: one subquery from all instances together in the overload span.
	least := 1 / curve.Seconds(sc.Settings.Rules.OverloadSpan) / float64(sc.Settings.Instances)
	span := max(min(throughputWindow, sc.Now-sc.StartedAt), sc.Settings.Rules.OverloadSpan, sc.Settings.Tick)
	sc.ServerRate = max(sc.Answered.SumSince(sc.Now-throughputWindow)/curve.Seconds(span)/max(size, 1), least)
	sc.LossRate[1] = min(sc.LossRate[1], curve.Decay(sc.LossRate[1], surveyInterval, latencyHalfLife))
	sc.SetFlag(&sc.IdleConnsDead, sc.IdleConnsDead && sc.LossRate[1] > minIdleLossRate,
		"idle connections dead=%v")
	budgetSpan := max(sc.Settings.Rules.BudgetSpan, defaultBudgetSpan)
	sc.Prune(sc.Now-curve.HistogramHalfLife, sc.Now-budgetSpan-sc.Settings.Tick)
	crashed, zones := sc.CountCrashed(sc.Now - crashWindow)
	sc.SetFlag(&sc.CrashAlarm, crashed >= crashAlarmServers && zones > 1, "crashes=%v servers=%d", crashed)
}

// hasOverdue reports whether the oldest attempt in flight at a server is overdue: older than the tail
// latency of the server or of all servers together, whichever is less, so that a slow server is not judged
// by its own record.
func (sc *Scheduler) hasOverdue(s *cluster.Server) bool {
	if len(s.InFlight) == 0 {
		return false
	}
	sc.CDF(s)
	return curve.Seconds(sc.Now-s.InFlight[0].SentAt) > s.MaxAge
}

// recordLatency records a latency in seconds. Only latencies of unloaded servers enter the histograms.
func (sc *Scheduler) recordLatency(s *cluster.Server, sec float64, unloaded bool) {
	s.Latency = cmp.Or(s.Latency, sec)
	w := max(latencyWeight, 1-curve.Decay(1, sc.Now-s.LatencyAt, staleLatencyAge))
	if sec < capRule.RiseBelow*sc.Baseline { // fast again: a slowdown is over
		w = max(w, recoveryWeight)
	}
	s.Latency, s.LatencyAt = s.Latency+w*(sec-s.Latency), sc.Now
	if sc.weight(s) >= healthyWeight {
		sc.ExcessLatency, sc.ExcessLatencyAt = sc.excessLatency(), sc.Now
		// The step does not depend on the size of the difference, so that this follows the median and a few
		// expensive queries do not look like a queue.
		step := excessWeight * (sc.ExcessLatency + sc.Baseline)
		if sec < sc.Baseline+sc.ExcessLatency {
			step = -step
		}
		sc.ExcessLatency = max(sc.ExcessLatency+step, 0)
	}
	if unloaded {
		s.Latencies.Add(sc.Now, sec)
		sc.Pool.Add(sc.Now, sec)
		s.CDFValid, sc.PoolChanged = false, true
	}
	s.Cap, s.CapFellAt = capRule.Next(s.Cap, s.CapFellAt, sc.Now, s.Latency, sc.Baseline)
}

// recordOutcome records a success, or a failure that counts by its weight, in the server's failure rate.
func (sc *Scheduler) recordOutcome(s *cluster.Server, ok bool, weight float64) {
	decayed := curve.Decay(s.FailureRate, sc.Now-s.FailureRateAt, sc.recordHalfLife(failureHalfLife))
	s.FailureRate, s.FailureRateAt = failureRule.Next(decayed, ok, weight), sc.Now
	if !ok {
		s.FailedAt = sc.Now
	}
	failing := s.FailureRate > failingAbove || s.Failing && s.FailureRate > failingBelow
	sc.SetFlag(&s.Failing, failing, "failing=%v server=%d", s.ID)
}

// weight returns 1 for an ordinary server, and less for one that fails, is slower than the others or is in
// slow start.
func (sc *Scheduler) weight(s *cluster.Server) float64 {
	slow := 0.0
	if sc.ServerMedian > 0 { // 0 before the first survey
		slow = s.LatencyNow(sc.ServerMedian, sc.Now, sc.recordHalfLife(latencyHalfLife)) /
			max(slowMultiple*sc.ServerMedian, curve.HistogramLow)
	}
	failing := curve.Decay(s.FailureRate, sc.Now-s.FailureRateAt, sc.recordHalfLife(failureHalfLife))
	return tailguard.Weight(failing, slow, sc.slowStartShare(s))
}

// healthy reports whether a server is healthy. Slow start does not make it unhealthy; it limits only the
// rate.
func (sc *Scheduler) healthy(s *cluster.Server) bool {
	return sc.weight(s) >= healthyWeight*sc.slowStartShare(s)
}

// recordHalfLife returns the half-life of a server's record: the given one, or a longer one if this
// instance sends to servers rarely.
func (sc *Scheduler) recordHalfLife(half time.Duration) time.Duration {
	return max(half, min(curve.Duration(halfLifeSubqueries/max(sc.ServerRate, epsilon)), maxHalfLife))
}

// slowStartShare returns the fraction of its capacity that a server has during slow start, and 1
// afterwards.
func (sc *Scheduler) slowStartShare(s *cluster.Server) float64 {
	from := max(s.Started, s.SlowStartFrom)
	if from <= 0 {
		return 1
	}
	return tailguard.SlowStartShare(sc.Settings.Rules.StartCapacity, sc.Now-from, sc.Settings.Rules.SlowStart)
}

// UsualLatency returns the expected latency of a subquery sent to a healthy server now.
func (sc *Scheduler) UsualLatency() time.Duration {
	return curve.Duration(sc.PoolMedian + sc.excessLatency())
}

// excessLatency returns by how many seconds the latencies of healthy servers exceed the baseline now.
func (sc *Scheduler) excessLatency() float64 {
	return curve.Decay(sc.ExcessLatency, sc.Now-sc.ExcessLatencyAt, excessHalfLife)
}
