package policy

import (
	"cmp"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/mem/fleet"
	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// Records: what is usual, and how far each server is trusted.

// survey brings up to date what is compared against; the others' median now and then, as it costs a look.
func (m *Mixer) survey() {
	m.Begun = min(m.Begun, m.Now)
	if m.Surveyed < 0 || m.News {
		m.SurveyPool()
	}
	// The cap's yardstick follows the pool down at once and up slowly, lest a jam pass for the usual.
	since := m.Now - m.Surveyed
	if m.Surveyed < 0 || since >= surveyGap && !m.Stalled {
		m.Surveyed = m.Now
		m.Base = min(m.Typical, m.Base*(1+baseRise*curve.Seconds(since)))
		if m.Base == 0 || m.Pool.Size(m.Now) < curve.RecordPrior {
			m.Base = m.Typical
		}
		m.surveyServers()
	}
	missed, decided := m.Missed.Since(m.Now-missWindow), m.Decided.Since(m.Now-missWindow)
	m.Shed, m.ShedAt = refusalRule.Next(m.Shed, m.Now-m.ShedAt, missed, decided), m.Now
	m.Flip(&m.Shedding, m.Shed > 0, "shedding=%v missed=%.0f of %.0f", missed, decided)
}

func (m *Mixer) surveyServers() {
	m.CountStuck(m.Now - curve.Duration(farTimes*m.Typical))
	size := m.Survey(func(s *fleet.Server) bool { return m.warmth(s) >= 1 })
	least := 1 / curve.Seconds(m.Set.Rules.FallSpan) / float64(m.Set.Siblings) // unheard: one part of all mixers
	span := max(min(usualSpan, m.Now-m.Begun), m.Set.Rules.FallSpan, m.Set.Tick)
	m.Carried = max(m.Answered.Since(m.Now-usualSpan)/curve.Seconds(span)/max(size, 1), least)
	m.Lost[1] = min(m.Lost[1], curve.Decay(m.Lost[1], surveyGap, latHalf))
	m.Flip(&m.IdleDead, m.IdleDead && m.Lost[1] > lossLeast, "idle connections dead=%v")
	m.Prune(m.Now-curve.RecordHalfLife, m.Now-max(m.Set.Rules.BudgetSpan, ownSpan)-m.Set.Tick)
	dead, zones := m.CountDead(m.Now - deathSpan)
	m.Flip(&m.Alarm, dead >= deathLeast && zones > 1, "crashes=%v servers=%d", dead)
}

// late is the design's skip: the oldest part out is past the 99th percentile of the server's record or of
// all servers' together, whichever is less: a slow one's own record does not excuse it.
func (m *Mixer) late(s *fleet.Server) bool {
	if len(s.Out) == 0 {
		return false
	}
	m.CDF(s)
	return curve.Seconds(m.Now-s.Out[0].At) > s.Patience
}

// heard takes in an answer time.
func (m *Mixer) heard(s *fleet.Server, sec float64, quiet bool) {
	s.Lat = cmp.Or(s.Lat, sec)
	w := max(latWeight, 1-curve.Decay(1, m.Now-s.LatAt, latStale))
	if sec < capRule.Near*m.Base { // quick again: what held it up is over
		w = max(w, latBack)
	}
	s.Lat, s.LatAt = s.Lat+w*(sec-s.Lat), m.Now
	if m.trust(s) >= trusted {
		m.Wait, m.WaitAt = m.waitNow(), m.Now
		step := waitWeight * (m.Wait + m.Base) // it follows the median: a costly query's parts are no queue
		if sec < m.Base+m.Wait {
			step = -step
		}
		m.Wait = max(m.Wait+step, 0)
	}
	if quiet {
		s.Record.Add(m.Now, sec)
		m.Pool.Add(m.Now, sec)
		s.Fresh, m.News = false, true
	}
	s.Cap, s.CapAt = capRule.Next(s.Cap, s.CapAt, m.Now, s.Lat, m.Base)
}

// note takes in a success or a failure.
func (m *Mixer) note(s *fleet.Server, ok bool, weight float64) {
	faded := curve.Decay(s.Bad, m.Now-s.BadAt, m.memory(badHalf))
	s.Bad, s.BadAt = failureRule.Next(faded, ok, weight), m.Now
	if !ok {
		s.FailedAt = m.Now
	}
	m.Flip(&s.WasBad, s.Bad > badLog || s.WasBad && s.Bad > badBack, "failing=%v server=%d", s.ID)
}

// trust is 1 on the ordinary path, and less while a server fails, is slower than the others, or is cold.
func (m *Mixer) trust(s *fleet.Server) float64 {
	slow := 0.0
	if m.Median > 0 { // before the first survey there is nothing to be slower than
		slow = s.LatNow(m.Median, m.Now, m.memory(latHalf)) / max(slowSlack*m.Median, curve.RecordLow)
	}
	return tailguard.Weight(curve.Decay(s.Bad, m.Now-s.BadAt, m.memory(badHalf)), slow, m.warmth(s))
}

// sound says whether a server is no suspect. To be cold is no fault: it limits the turns and the pace.
func (m *Mixer) sound(s *fleet.Server) bool { return m.trust(s) >= trusted*m.warmth(s) }

// memory is how long what was seen of a server lasts: at full size the next meeting is far off.
func (m *Mixer) memory(half time.Duration) time.Duration {
	return max(half, min(curve.Duration(meetings/max(m.Carried, weightSlip)), memoryMost))
}

// warmth is the share of its capacity that a started server has at the least: 1 when warm.
func (m *Mixer) warmth(s *fleet.Server) float64 {
	from := max(s.Started, s.ColdFrom)
	if from <= 0 {
		return 1
	}
	return tailguard.SlowStartShare(m.Set.Rules.StartCapacity, m.Now-from, m.Set.Rules.Ramp)
}

// Usual is what a part sent now takes at a sound server.
func (m *Mixer) Usual() time.Duration { return curve.Duration(m.Typical + m.waitNow()) }

// waitNow is what sound servers' answers take beyond the usual.
func (m *Mixer) waitNow() float64 { return curve.Decay(m.Wait, m.Now-m.WaitAt, waitHalf) }
