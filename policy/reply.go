package policy

import (
	"math"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/fleet"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Reply: whole, in part, or given up, and what time alone brings.

// reply answers a query when it is time to: whole as soon as it can be, in part when waiting longer
// would cost the aim, or gives it up when what is lacking cannot come.
func (m *Mixer) reply(q *fleet.Query) {
	if q.Ended || !q.Admitted || len(q.Current) < q.Want || len(q.Current) == 0 && q.Step == 1 {
		return
	}
	got, can, lost, in := fleet.Share(q)
	need, floor, over := q.Terms.Need, q.Terms.Floor, m.Now >= m.lastCall(q)
	if q.Step == 2 {
		need, got, can = 1, got*q.First, can*q.First // a share of a page is one of what was ranked
		if q.Terms.Floor >= q.Terms.Need {
			floor = 1
		}
	}
	whole := got >= need-weightSlip
	if q.Step == 2 || need == 1 {
		whole = in == len(q.Current)
	}
	partial := floor < need && got >= floor-weightSlip
	switch {
	case whole:
	case partial && (over || lost+in == len(q.Current)):
	case can < floor-weightSlip || over && q.Phased: // what is in and what can still come is too little
		m.giveUp(q)
		return
	default:
		return
	}
	if q.Step == 1 && (q.Terms.Fetch > 0 || q.Phased) {
		m.Do(decision.Answer{Query: q.ID, Whole: whole})
		for _, p := range q.Current {
			if !p.Done { // abandoned: it no longer counts
				p.Dead = true
				m.Settle(p)
			}
		}
		q.Step, q.Want, q.Current, q.FirstWhole, q.First = 2, min(q.Terms.Fetch, in), nil, whole, 1
		if q.Phased {
			q.Want, q.First = math.MaxInt, got // until the planner has told
		}
		return
	}
	m.Do(decision.Answer{Query: q.ID, Whole: whole && (q.Step == 1 || q.FirstWhole), Final: true})
	m.End(q)
}

// lastCall is when an answer must leave to be in time.
func (m *Mixer) lastCall(q *fleet.Query) time.Duration { return m.stepAim(q) - stepTicks*m.Set.Tick }

// giveUp gives a query its final answer at once: refused where trying again is harmless, else failed.
func (m *Mixer) giveUp(q *fleet.Query) {
	ran := slices.ContainsFunc(q.All, func(p *fleet.Part) bool { return p.MayRun >= 0 })
	if q.Terms.Effect != decision.Safe && ran {
		m.Do(decision.Fail{Query: q.ID})
	} else {
		after := adviseMin + curve.Duration(m.Shed*curve.Seconds(adviseMax-adviseMin))
		m.Do(decision.Refuse{Query: q.ID, RetryAfter: min(after, m.Set.MaxRetryAfter)})
	}
	m.End(q)
}

// sweep looks at every query for what time alone brings: the client's end, partial answers, hopeless
// parts, misses and second copies.
func (m *Mixer) sweep() {
	soon := curve.Duration(m.Base)
	m.Live, m.Wanted = slices.DeleteFunc(m.Live, func(q *fleet.Query) bool { return q.Ended }), m.Now+pace
	for _, q := range m.Live {
		if at := m.lastCall(q); at > m.Now {
			m.Wanted = min(m.Wanted, at) // a sweep later would be late
		}
		if m.reply(q); !q.Ended && m.Now >= q.End-2*m.Set.Tick {
			m.giveUp(q) // any answer in part was given at the aim
		}
		for _, p := range q.Current {
			if p.Done || p.Dead || p.Spare || q.Ended {
				continue
			}
			if m.Now > p.Deadline && !p.Replaced {
				p.Replaced = true
				m.replace(q)
			}
			if !fleet.AnyLive(p) && q.Admitted {
				m.mind(p, soon)
			} else {
				m.hedge(p)
			}
		}
	}
}

// mind looks after a part that is not out: counts its miss, moves it off a server that went bad and,
// when refusing, ends its query once the aim is out of reach.
func (m *Mixer) mind(p *fleet.Part, soon time.Duration) {
	if m.Now > p.Deadline && !p.Late && !p.NoBudget && len(p.Attempts) == 0 && !m.unproven(p.Q) && !m.Stalled {
		p.Late = true
		m.Missed.Add(m.Now, 1)
		m.Decided.Add(m.Now, 1)
	}
	if m.unheld(p.Q) {
		m.giveUp(p.Q)
		return
	}
	if !m.repeatable(p) { // held past its window: no attempt can follow
		p.Server.Unhold(p)
		m.again(p)
		return
	}
	if p.Index < 0 {
		m.placeAll([]*fleet.Part{p})
	} else if c := m.pick(p); c != p.Server &&
		(c == nil || !m.open(p.Server) || m.sound(c) && m.tier(c, p) < m.tier(p.Server, p)) {
		p.Server.Unhold(p) // held where it cannot leave, while another replica has room
		m.placeAll([]*fleet.Part{p})
	}
	if m.Shed > 0 && m.Now+soon > p.Q.AimAt &&
		!slices.ContainsFunc(p.Q.All, func(o *fleet.Part) bool { return len(o.Attempts) > 0 }) {
		m.giveUp(p.Q) // nothing was sent, so nothing is wasted
	}
}
