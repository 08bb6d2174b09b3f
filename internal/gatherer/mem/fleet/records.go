package fleet

import (
	"cmp"
	"slices"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// PerSecond hands out how many parts a second all servers together have answered of late.
func (m *State) PerSecond() float64 {
	span := m.Tuning.UsualSpan
	return m.Answered.Since(m.Now-span) / curve.Seconds(max(min(span, m.Now-m.Begun), m.Set.Tick))
}

// Survey takes the median of the servers' answer times, and returns the size of those listed that are warm.
func (m *State) Survey(warm func(*Server) bool) (size float64) {
	lats := m.Scratch[:0]
	for _, s := range m.Order {
		s.Fresh = false
		if s.Lat > 0 {
			lats = append(lats, s.Lat)
		}
		if s.Listed && warm(s) {
			size += s.Nominal
		}
	}
	m.Scratch, m.Median = lats, curve.Median(lats)
	return size
}

// Records hands out what is known of the servers, as of the last step.
func (m *State) Records() (all []decision.Record) {
	for _, s := range m.Order {
		r := decision.Record{Server: s.ID, Answers: slices.Clone(s.Record.N), Latency: s.Lat, Failing: s.Bad, Cap: s.Cap, ColdFor: -1}
		for i := range r.Answers {
			r.Answers[i] /= s.Record.Weight(m.Now)
		}
		if s.ColdFrom > 0 {
			r.ColdFor = m.Now - s.ColdFrom
		}
		all = append(all, r)
	}
	return all
}

// Learn adopts what another mixer knew. What does not fit this one's records is passed over.
func (m *State) Learn(e decision.Learned) {
	if len(m.Answered.At) == 0 && e.PerSecond > 0 { // as if it had heard them itself
		for at := -m.Tuning.UsualSpan; at < 0; at += m.Tuning.SurveyGap {
			m.Answered.Add(m.Now+at, e.PerSecond*curve.Seconds(m.Tuning.SurveyGap))
		}
		m.Begun = m.Now - m.Tuning.UsualSpan
	}
	for _, r := range e.Records {
		s := m.Servers[r.Server]
		if s == nil || len(r.Answers) != len(s.Record.N) {
			continue
		}
		s.Record, s.Fresh = curve.NewRecord(), false
		for i, n := range r.Answers {
			s.Record.Put(m.Now, i, n)
			m.Pool.Put(m.Now, i, n)
		}
		s.Lat, s.LatAt, s.Bad, s.BadAt = r.Latency, m.Now, r.Failing, m.Now
		s.Cap = min(max(r.Cap, m.Tuning.CapMin), m.Tuning.CapMax)
		if r.ColdFor >= 0 {
			s.ColdFrom = m.Now - r.ColdFor
		}
	}
	m.News, m.Surveyed = true, -1
}

// CDF is a server's record with some of the others' mixed in; with it comes the skip's patience.
func (m *State) CDF(s *Server) []float64 {
	if m.Pool.Total == 0 {
		s.Patience = m.TailAge
		return m.PoolCDF
	}
	if !s.Fresh {
		s.Curve = curve.Blend(s.Curve, s.Record, m.Pool, curve.RecordPrior, m.Now)
		s.Patience = min(m.TailAge, m.Pool.Quantile(s.Curve, m.Tuning.Tail))
		s.Fresh = true
	}
	return s.Curve
}

// SurveyPool makes the curve of all servers' answers anew.
func (m *State) SurveyPool() {
	m.News = false
	pool := m.Pool
	if pool.Total == 0 { // before any answer: a start curve from the classes' aims
		least := slices.MinFunc(m.Set.Classes, func(a, b decision.Class) int { return cmp.Compare(a.Aim, b.Aim) })
		pool = curve.NewRecord()
		pool.FillUniform(curve.Seconds(least.Aim) * m.Tuning.StartTail)
	}
	m.PoolCDF = curve.Blend(m.PoolCDF, pool, pool, 0, m.Now)
	m.Typical, m.TailAge = pool.Quantile(m.PoolCDF, 0.5), pool.Quantile(m.PoolCDF, m.Tuning.Tail)
}

// FanoutTail multiplies the CDFs of the servers chosen and inverts the product.
func (m *State) FanoutTail(q *Query, tail float64) float64 {
	m.Product = m.Product[:0]
	for _, p := range q.Current {
		if p.Spare {
			continue
		}
		if p.Server != nil {
			m.Product = curve.Multiply(m.Product, m.CDF(p.Server))
		} else {
			m.Product = curve.Multiply(m.Product, m.PoolCDF)
		}
	}
	return m.Pool.Quantile(m.Product, tail)
}

// ListingsTail multiplies the CDFs of the servers that will list what is ranked, and inverts the product. A phased
// query's listings go to servers that have answered already, as far as these are known.
func (m *State) ListingsTail(q *Query, tail float64) float64 {
	left := max(q.Fetch, 1)
	m.Product = m.Product[:0]
	for i := 0; i < len(q.Current) && left > 0; i++ {
		if p := q.Current[i]; q.Phased && p.Done && p.Server != nil {
			m.Product, left = curve.Multiply(m.Product, m.CDF(p.Server)), left-1
		}
	}
	for ; left > 0; left-- {
		m.Product = curve.Multiply(m.Product, m.PoolCDF)
	}
	return m.Pool.Quantile(m.Product, tail)
}
