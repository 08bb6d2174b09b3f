package policy

import (
	"cmp"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// Records of latency and failures, and the weight of each server.

// survey updates what servers and queries are compared with. The median over all servers, which costs a pass
// over them, is updated every surveyGap.
func (sc *Scheduler) survey() {
	sc.StartedAt = min(sc.StartedAt, sc.Now)
	if sc.Surveyed < 0 || sc.PoolChanged {
		sc.SurveyPool()
	}
	// The baseline of the caps follows the pool down at once and up slowly, else congestion would become the
	// norm.
	since := sc.Now - sc.Surveyed
	if sc.Surveyed < 0 || since >= surveyGap && !sc.Stalled {
		sc.Surveyed = sc.Now
		sc.Baseline = min(sc.Typical, sc.Baseline*(1+baseRise*curve.Seconds(since)))
		if sc.Baseline == 0 || sc.Pool.Size(sc.Now) < curve.RecordPrior {
			sc.Baseline = sc.Typical
		}
		sc.surveyServers()
	}
	missed, decided := sc.Missed.Since(sc.Now-missWindow), sc.Decided.Since(sc.Now-missWindow)
	sc.Shed, sc.ShedAt = refusalRule.Next(sc.Shed, sc.Now-sc.ShedAt, missed, decided), sc.Now
	sc.SetFlag(&sc.Shedding, sc.Shed > 0, "shedding=%v missed=%.0f of %.0f", missed, decided)
}

// surveyServers updates what is derived from all servers together.
func (sc *Scheduler) surveyServers() {
	sc.CountStuck(sc.Now - curve.Duration(lateTimes*sc.Typical))
	size := sc.Survey(func(s *cluster.Server) bool { return sc.slowStartShare(s) >= 1 })
	// Without any answer: one subquery of all instances together in the overload span.
	least := 1 / curve.Seconds(sc.Settings.Rules.OverloadSpan) / float64(sc.Settings.Instances)
	span := max(min(usualSpan, sc.Now-sc.StartedAt), sc.Settings.Rules.OverloadSpan, sc.Settings.Tick)
	sc.ServerRate = max(sc.Answered.Since(sc.Now-usualSpan)/curve.Seconds(span)/max(size, 1), least)
	sc.LossRate[1] = min(sc.LossRate[1], curve.Decay(sc.LossRate[1], surveyGap, latencyHalf))
	sc.SetFlag(&sc.IdleConnsDead, sc.IdleConnsDead && sc.LossRate[1] > lossLeast, "idle connections dead=%v")
	budgetSpan := max(sc.Settings.Rules.BudgetSpan, defaultBudgetSpan)
	sc.Prune(sc.Now-curve.RecordHalfLife, sc.Now-budgetSpan-sc.Settings.Tick)
	crashed, zones := sc.CountCrashed(sc.Now - crashSpan)
	sc.SetFlag(&sc.Alarm, crashed >= crashAlarmLeast && zones > 1, "crashes=%v servers=%d", crashed)
}

// late reports whether the oldest subquery in flight is past the 99th percentile of the server's own
// latencies or of all servers' together, whichever is less: a slow server's own record does not excuse it.
func (sc *Scheduler) late(s *cluster.Server) bool {
	if len(s.InFlight) == 0 {
		return false
	}
	sc.CDF(s)
	return curve.Seconds(sc.Now-s.InFlight[0].SentAt) > s.MaxAge
}

// recordLatency records a latency in seconds. It enters the histograms only if the server was not loaded by
// us.
func (sc *Scheduler) recordLatency(s *cluster.Server, sec float64, unloaded bool) {
	s.Latency = cmp.Or(s.Latency, sec)
	w := max(latencyWeight, 1-curve.Decay(1, sc.Now-s.LatencyAt, latencyStale))
	if sec < capRule.Near*sc.Baseline { // fast again: what slowed it down is over
		w = max(w, latencyRecovery)
	}
	s.Latency, s.LatencyAt = s.Latency+w*(sec-s.Latency), sc.Now
	if sc.weight(s) >= healthyWeight {
		sc.Wait, sc.WaitAt = sc.waitNow(), sc.Now
		step := waitWeight * (sc.Wait + sc.Baseline) // follows the median: expensive queries are no queue
		if sec < sc.Baseline+sc.Wait {
			step = -step
		}
		sc.Wait = max(sc.Wait+step, 0)
	}
	if unloaded {
		s.Record.Add(sc.Now, sec)
		sc.Pool.Add(sc.Now, sec)
		s.CDFValid, sc.PoolChanged = false, true
	}
	s.Cap, s.CapAt = capRule.Next(s.Cap, s.CapAt, sc.Now, s.Latency, sc.Baseline)
}

// recordOutcome records a success, or a failure that counts with the weight.
func (sc *Scheduler) recordOutcome(s *cluster.Server, ok bool, weight float64) {
	faded := curve.Decay(s.FailureRate, sc.Now-s.FailureRateAt, sc.memory(failureHalf))
	s.FailureRate, s.FailureRateAt = failureRule.Next(faded, ok, weight), sc.Now
	if !ok {
		s.FailedAt = sc.Now
	}
	failing := s.FailureRate > failingAbove || s.Failing && s.FailureRate > failingBelow
	sc.SetFlag(&s.Failing, failing, "failing=%v server=%d", s.ID)
}

// weight is 1 for an ordinary server and less while it fails, is slower than the others or is in slow start.
func (sc *Scheduler) weight(s *cluster.Server) float64 {
	slow := 0.0
	if sc.Median > 0 { // before the first survey there is nothing to be slower than
		slow = s.LatencyNow(sc.Median, sc.Now, sc.memory(latencyHalf)) / max(slowSlack*sc.Median, curve.RecordLow)
	}
	failing := curve.Decay(s.FailureRate, sc.Now-s.FailureRateAt, sc.memory(failureHalf))
	return tailguard.Weight(failing, slow, sc.slowStartShare(s))
}

// healthy reports whether a server is healthy. Slow start is no fault: it limits only the rate.
func (sc *Scheduler) healthy(s *cluster.Server) bool {
	return sc.weight(s) >= healthyWeight*sc.slowStartShare(s)
}

// memory is the half-life of what was learned of a server: longer where this instance sends to it seldom.
func (sc *Scheduler) memory(half time.Duration) time.Duration {
	return max(half, min(curve.Duration(meetings/max(sc.ServerRate, weightSlip)), memoryMost))
}

// slowStartShare is the fraction of its capacity that a started server has at least, 1 when it has warmed up.
func (sc *Scheduler) slowStartShare(s *cluster.Server) float64 {
	from := max(s.Started, s.SlowStartFrom)
	if from <= 0 {
		return 1
	}
	return tailguard.SlowStartShare(sc.Settings.Rules.StartCapacity, sc.Now-from, sc.Settings.Rules.SlowStart)
}

// UsualLatency is the expected latency of a subquery sent to a healthy server now.
func (sc *Scheduler) UsualLatency() time.Duration { return curve.Duration(sc.Typical + sc.waitNow()) }

// waitNow is the time in seconds by which healthy servers' latencies exceed the usual.
func (sc *Scheduler) waitNow() float64 { return curve.Decay(sc.Wait, sc.Now-sc.WaitAt, waitHalf) }
