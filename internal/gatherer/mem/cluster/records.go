package cluster

import (
	"cmp"
	"slices"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// PerSecond is how many subqueries per second all servers together have answered lately.
func (st *State) PerSecond() float64 {
	span := st.Tuning.UsualSpan
	return st.Answered.Since(st.Now-span) / curve.Seconds(max(min(span, st.Now-st.StartedAt), st.Settings.Tick))
}

// Survey computes the median of the servers' latencies, and returns the total nominal size of the listed servers that
// are warm.
func (st *State) Survey(warm func(*Server) bool) (size float64) {
	lats := st.Scratch[:0]
	for _, s := range st.Order {
		s.CDFValid = false
		if s.Latency > 0 {
			lats = append(lats, s.Latency)
		}
		if s.Listed && warm(s) {
			size += s.Nominal
		}
	}
	st.Scratch, st.Median = lats, curve.Median(lats)
	return size
}

// Records returns what has been learned of the servers, as of the last step.
func (st *State) Records() (all []decision.Record) {
	for _, s := range st.Order {
		r := decision.Record{Server: s.ID, Answers: slices.Clone(s.Record.N), Latency: s.Latency, Failing: s.FailureRate,
			Cap: s.Cap, SlowStartAge: -1}
		for i := range r.Answers {
			r.Answers[i] /= s.Record.Weight(st.Now)
		}
		if s.SlowStartFrom > 0 {
			r.SlowStartAge = st.Now - s.SlowStartFrom
		}
		all = append(all, r)
	}
	return all
}

// Learn adopts what another scheduler has learned. Records that do not fit this one's histograms are ignored.
func (st *State) Learn(e decision.Learned) {
	if len(st.Answered.At) == 0 && e.PerSecond > 0 { // as if these had been its own answers
		for at := -st.Tuning.UsualSpan; at < 0; at += st.Tuning.SurveyGap {
			st.Answered.Add(st.Now+at, e.PerSecond*curve.Seconds(st.Tuning.SurveyGap))
		}
		st.StartedAt = st.Now - st.Tuning.UsualSpan
	}
	for _, r := range e.Records {
		s := st.Servers[r.Server]
		if s == nil || len(r.Answers) != len(s.Record.N) {
			continue
		}
		s.Record, s.CDFValid = curve.NewRecord(), false
		for i, n := range r.Answers {
			s.Record.Put(st.Now, i, n)
			st.Pool.Put(st.Now, i, n)
		}
		s.Latency, s.LatencyAt, s.FailureRate, s.FailureRateAt = r.Latency, st.Now, r.Failing, st.Now
		s.Cap = min(max(r.Cap, st.Tuning.CapMin), st.Tuning.CapMax)
		if r.SlowStartAge >= 0 {
			s.SlowStartFrom = st.Now - r.SlowStartAge
		}
	}
	st.PoolChanged, st.Surveyed = true, -1
}

// CDF is the latency distribution of a server, blended with that of all servers while it has few answers. It also
// updates the server's MaxAge.
func (st *State) CDF(s *Server) []float64 {
	if st.Pool.Total == 0 {
		s.MaxAge = st.TailLatency
		return st.PoolCDF
	}
	if !s.CDFValid {
		s.CDF = curve.Blend(s.CDF, s.Record, st.Pool, curve.RecordPrior, st.Now)
		s.MaxAge = min(st.TailLatency, st.Pool.Quantile(s.CDF, st.Tuning.Tail))
		s.CDFValid = true
	}
	return s.CDF
}

// SurveyPool recomputes the latency distribution of all servers.
func (st *State) SurveyPool() {
	st.PoolChanged = false
	pool := st.Pool
	if pool.Total == 0 { // before any answer: a distribution derived from the classes' latency targets
		least := slices.MinFunc(st.Settings.Classes, func(a, b decision.Class) int { return cmp.Compare(a.LatencyTarget, b.LatencyTarget) })
		pool = curve.NewRecord()
		pool.FillUniform(curve.Seconds(least.LatencyTarget) * st.Tuning.StartTail)
	}
	st.PoolCDF = curve.Blend(st.PoolCDF, pool, pool, 0, st.Now)
	st.Typical, st.TailLatency = pool.Quantile(st.PoolCDF, 0.5), pool.Quantile(st.PoolCDF, st.Tuning.Tail)
}

// FanoutTail is a percentile of the latency, in seconds, of a query's fan-out: that of the slowest of its servers,
// from the product of their CDFs.
func (st *State) FanoutTail(q *Query, tail float64) float64 {
	st.Product = st.Product[:0]
	for _, sub := range q.Current {
		if sub.Spare {
			continue
		}
		if sub.Server != nil {
			st.Product = curve.Multiply(st.Product, st.CDF(sub.Server))
		} else {
			st.Product = curve.Multiply(st.Product, st.PoolCDF)
		}
	}
	return st.Pool.Quantile(st.Product, tail)
}

// ListingsTail is the same for the second step, of the servers that will list what was ranked. A phased query's
// listings go to servers that have answered already, as far as these are known.
func (st *State) ListingsTail(q *Query, tail float64) float64 {
	remaining := max(q.Fetch, 1)
	st.Product = st.Product[:0]
	for i := 0; i < len(q.Current) && remaining > 0; i++ {
		if sub := q.Current[i]; q.Phased && sub.Done && sub.Server != nil {
			st.Product, remaining = curve.Multiply(st.Product, st.CDF(sub.Server)), remaining-1
		}
	}
	for ; remaining > 0; remaining-- {
		st.Product = curve.Multiply(st.Product, st.PoolCDF)
	}
	return st.Pool.Quantile(st.Product, tail)
}
