package cluster

import (
	"cmp"
	"slices"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// PerSecond returns how many subqueries per second all servers together have answered for this scheduler lately.
func (st *State) PerSecond() float64 {
	span := st.Tuning.ThroughputWindow
	return st.Answered.SumSince(st.Now-span) / curve.Seconds(max(min(span, st.Now-st.StartedAt), st.Settings.Tick))
}

// Survey updates the median of the servers' latencies, and returns the total nominal capacity of the listed servers
// that are past their slow start.
func (st *State) Survey(pastSlowStart func(*Server) bool) (capacity float64) {
	lats := st.LatencyScratch[:0]
	for _, s := range st.SortedServers {
		s.CDFValid = false
		if s.Latency > 0 {
			lats = append(lats, s.Latency)
		}
		if s.Listed && pastSlowStart(s) {
			capacity += s.Nominal
		}
	}
	st.LatencyScratch, st.ServerMedian = lats, curve.Median(lats)
	return capacity
}

// Records returns what has been learned about the servers, as of the last step.
func (st *State) Records() (all []decision.Record) {
	for _, s := range st.SortedServers {
		r := decision.Record{Server: s.ID, LatencyCounts: slices.Clone(s.Latencies.Weights), Latency: s.Latency, FailureRate: s.FailureRate,
			Cap: s.Cap, SlowStartAge: -1}
		for i := range r.LatencyCounts {
			r.LatencyCounts[i] /= s.Latencies.Weight(st.Now)
		}
		if s.SlowStartFrom > 0 {
			r.SlowStartAge = st.Now - s.SlowStartFrom
		}
		all = append(all, r)
	}
	return all
}

// Learn adopts what another scheduler has learned. It ignores records of unknown servers and those with other histogram
// buckets.
func (st *State) Learn(e decision.Learned) {
	if len(st.Answered.Times) == 0 && e.PerSecond > 0 { // as if this scheduler had received these answers
		for at := -st.Tuning.ThroughputWindow; at < 0; at += st.Tuning.SurveyInterval {
			st.Answered.Add(st.Now+at, e.PerSecond*curve.Seconds(st.Tuning.SurveyInterval))
		}
		st.StartedAt = st.Now - st.Tuning.ThroughputWindow
	}
	for _, r := range e.Records {
		s := st.Servers[r.Server]
		if s == nil || len(r.LatencyCounts) != len(s.Latencies.Weights) {
			continue
		}
		s.Latencies, s.CDFValid = curve.NewLatencyHistogram(), false
		for i, n := range r.LatencyCounts {
			s.Latencies.AddToBucket(st.Now, i, n)
			st.Pool.AddToBucket(st.Now, i, n)
		}
		s.Latency, s.LatencyAt, s.FailureRate, s.FailureRateAt = r.Latency, st.Now, r.FailureRate, st.Now
		s.Cap = min(max(r.Cap, st.Tuning.CapMin), st.Tuning.CapMax)
		if r.SlowStartAge >= 0 {
			s.SlowStartFrom = st.Now - r.SlowStartAge
		}
	}
	st.PoolChanged, st.SurveyedAt = true, -1
}

// CDF returns the cumulative latency distribution of a server, blended with that of all servers, whose weight decreases
// with the number of answers that the server has given. It also updates the server's MaxAge.
func (st *State) CDF(s *Server) []float64 {
	if st.Pool.Total == 0 {
		s.MaxAge = st.PoolTail
		return st.PoolCDF
	}
	if !s.CDFValid {
		s.CDF = curve.Blend(s.CDF, s.Latencies, st.Pool, curve.PriorWeight, st.Now)
		s.MaxAge = min(st.PoolTail, st.Pool.Quantile(s.CDF, st.Tuning.TailPercentile))
		s.CDFValid = true
	}
	return s.CDF
}

// SurveyPool recomputes the latency distribution of all servers.
func (st *State) SurveyPool() {
	st.PoolChanged = false
	pool := st.Pool
	if pool.Total == 0 { // before any answer: assumes a distribution derived from the shortest latency target
		least := slices.MinFunc(st.Settings.Classes, func(a, b decision.Class) int { return cmp.Compare(a.LatencyTarget, b.LatencyTarget) })
		pool = curve.NewLatencyHistogram()
		pool.FillUniform(curve.Seconds(least.LatencyTarget) * st.Tuning.InitialTailFraction)
	}
	st.PoolCDF = curve.Blend(st.PoolCDF, pool, pool, 0, st.Now)
	st.PoolMedian, st.PoolTail = pool.Quantile(st.PoolCDF, 0.5), pool.Quantile(st.PoolCDF, st.Tuning.TailPercentile)
}

// FanoutTail returns a percentile, in seconds, of the latency of a query's fan-out. The slowest server determines that
// latency, so that its distribution is the product of the CDFs of all servers.
func (st *State) FanoutTail(q *Query, tail float64) float64 {
	st.CDFProduct = st.CDFProduct[:0]
	for _, sub := range q.Current {
		if sub.Spare {
			continue
		}
		if sub.Server != nil {
			st.CDFProduct = curve.Multiply(st.CDFProduct, st.CDF(sub.Server))
		} else {
			st.CDFProduct = curve.Multiply(st.CDFProduct, st.PoolCDF)
		}
	}
	return st.Pool.Quantile(st.CDFProduct, tail)
}

// SecondStepTail returns a percentile, in seconds, of the latency of the second step's fan-out. The subqueries of a phased
// query's second step go to servers that answered the first; for the others the distribution of all servers is used.
func (st *State) SecondStepTail(q *Query, tail float64) float64 {
	remaining := max(q.Fetch, 1)
	st.CDFProduct = st.CDFProduct[:0]
	for i := 0; i < len(q.Current) && remaining > 0; i++ {
		if sub := q.Current[i]; q.Phased && sub.Done && sub.Server != nil {
			st.CDFProduct, remaining = curve.Multiply(st.CDFProduct, st.CDF(sub.Server)), remaining-1
		}
	}
	for ; remaining > 0; remaining-- {
		st.CDFProduct = curve.Multiply(st.CDFProduct, st.PoolCDF)
	}
	return st.Pool.Quantile(st.CDFProduct, tail)
}
