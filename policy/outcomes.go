package policy

import (
	"slices"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/fleet"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Outcomes, and what they tell of connections and zones.

func (m *Mixer) onOutcome(e decision.Outcome) {
	p := m.Parts[e.Part]
	if p == nil || e.Attempt < 0 || e.Attempt >= len(p.Attempts) || !p.Attempts[e.Attempt].Live {
		return
	}
	a := p.Attempts[e.Attempt]
	a.Live, a.S.EndAt = false, m.Now
	a.S.Drop(a)
	if e.Status == decision.OK || e.Status == decision.Error || e.Status == decision.Full {
		a.S.AnswerAt, a.S.PassedAt = m.Now, max(a.S.PassedAt, a.At)
	}
	age := curve.Seconds(m.Now - a.At)
	if m.Stalled && e.Took > 0 { // as measured on the way in, which our own stall does not lengthen
		age = min(age, curve.Seconds(e.Took))
	}
	silent := age > min(m.TailAge, farTimes*m.Typical)+m.waitNow()
	if e.Status == decision.OK {
		m.lossAfter(a, 0)
	} else if silent && e.Status != decision.Moot {
		m.lossAfter(a, 1)
	}
	z := &m.Zones[a.S.Zone]
	silence := e.Status == decision.Cancelled || e.Status == decision.Moot
	z.Heard(age >= farTimes*m.Typical || e.Status == decision.ConnectFailed, !silence)
	switch {
	case e.Status != decision.Full && m.doubtful(z): // the way's doing, or so it looks: no server's fault
	case e.Status == decision.OK:
		m.Answered.Add(m.Now, 1)
		a.S.Errors -= errorWeight * a.S.Errors
		m.note(a.S, true, 1)
		m.heard(a.S, age, a.SentOut < quietOut)
	case a.Idle && m.IdleDead: // the connection's doing
	case e.Status == decision.Cancelled:
		if silent { // it must not leave a server looking good
			m.note(a.S, false, min(cancelWeight*curve.Seconds(m.memory(badHalf))/curve.Seconds(badHalf), cancelMost))
			m.heard(a.S, age, false)
		}
	case e.Status != decision.Moot:
		m.note(a.S, false, 1)
		if e.Status == decision.Error {
			a.S.Erred(age, latWeight, errorWeight)
		}
		if e.Status == decision.ConnectFailed {
			a.S.ColdFrom = m.Now // it may come back cold before the list tells
			if a.S.ResetAt > 0 && m.Now-a.S.ResetAt < deathSpan && a.S.State == decision.Ready {
				a.S.DiedAt = m.Now
			}
		} else if e.Status == decision.Full { // it is as full for the next, until a slot is free
			alone := m.Typical
			if m.Set.Siblings >= seldomFrom { // and stays full if all come again before they would have met it
				alone = max(alone, min(1/max(m.Carried, weightSlip), fullMost))
			}
			a.S.FullTo = m.Now + curve.Duration(alone)
		} else if e.Status == decision.Reset { // no death by itself: a connection may break alone
			a.S.ResetAt = m.Now
		}
	}
	if e.Status == decision.Full || e.Status == decision.ConnectFailed || e.Status == decision.Moot {
		a.Spared = true
		p.NeverRan()
	}
	if p.Q.Ended {
		m.Forget(p)
		return
	}
	p.Cheap = e.Status == decision.Error && age < errorQuick*m.Typical && !m.Set.Rules.BudgetOn
	if e.Status == decision.Reset {
		m.died(p.Q, a)
	}
	if e.Status == decision.OK {
		p.Done = true
		m.Settle(p)
		if !p.Q.Sure { // what was held back until one part had come goes now
			p.Q.Sure = true
			m.placeAll(p.Q.Current)
		}
		m.reply(p.Q)
	} else if !p.Done && !p.Q.Ended && !fleet.AnyLive(p) && p.Index < 0 {
		m.again(p)
	}
}

// lossAfter takes in whether an attempt was lost. Where those on a connection that had been idle are lost and
// the others are not, idle connections have died unseen: they are closed, until that is forgotten in time.
func (m *Mixer) lossAfter(a *fleet.Attempt, lost float64) {
	if a.SentOut > 0 {
		return // on a connection that another part may hang on
	}
	x := &m.Lost[0]
	if a.Idle {
		x = &m.Lost[1]
	}
	*x += lossWeight * (lost - *x)
	if dead := m.Lost[1] > lossLeast && m.Lost[1] > lossTimes*m.Lost[0]; dead && !m.IdleDead {
		for _, s := range m.Order {
			s.Bad = 0 // blamed for their connections
		}
		m.Flip(&m.IdleDead, dead, "idle connections dead=%v")
	}
}

// Zones: a way that is slow or loses makes all its servers look bad at once, the quickest too.

// doubtful says whether nothing quick has come from a zone for many parts in a row, while another is well.
func (m *Mixer) doubtful(z *fleet.Zone) bool {
	doubt := func(z fleet.Zone) bool { return z.Slow+z.Stuck >= farRun }
	well := slices.ContainsFunc(m.Zones, func(o fleet.Zone) bool { return len(o.Servers) > 0 && !doubt(o) })
	return m.Set.Probes && well && (z.Far || doubt(*z) && m.Now > z.ClearTo)
}

// probeZones asks a doubtful zone's servers in turn, so that one dead server proves nothing. A busy server
// answers a probe, and a lost way does not: so the one is told from the other.
func (m *Mixer) probeZones() {
	for i := range m.Zones {
		z := &m.Zones[i]
		if !m.doubtful(z) || m.Now < z.ProbeAt || len(z.Servers) == 0 {
			continue
		}
		z.ProbeAt, z.Next = m.Now+farProbe, z.Next+1
		m.Do(decision.Probe{Server: z.Servers[z.Next%len(z.Servers)].ID})
	}
}

// probed takes in a probe: a far zone's servers are skipped, and not blamed, until one gets through.
func (m *Mixer) probed(z *fleet.Zone, ok bool) {
	if z.Fails++; ok {
		z.Fails, z.Slow, z.ClearTo = 0, 0, m.Now+farClear
	}
	m.Flip(&z.Far, z.Fails >= farFails, "far=%v zone=%d", z.Number)
}
