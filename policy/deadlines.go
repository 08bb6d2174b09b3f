package policy

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/fleet"
	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// Arrival, and the one deadline of a query's parts.

func (m *Mixer) onQuery(e decision.QueryArrived) {
	m.Taken.Add(m.Now, 1)
	if m.Queries[e.ID] != nil {
		return
	} else if e.Class < 0 || e.Class >= len(m.Set.Classes) {
		m.Do(decision.Refuse{Query: e.ID}) // a class we were not told of: nothing has run
		return
	}
	q := &fleet.Query{QueryArrived: e, Terms: &m.Set.Classes[e.Class], Step: 1, Want: e.Parts, At: m.Now}
	q.End, q.AimAt = m.Now+e.Left, m.Now+min(q.Terms.Aim, e.Left) // never beyond the client's own time
	m.Queries[e.ID], m.Live = q, append(m.Live, q)
}

func (m *Mixer) onPart(e decision.PartArrived) {
	m.Taken.Add(m.Now, 1)
	q := m.Queries[e.Query]
	if q == nil || m.Parts[e.ID] != nil || e.Shard < 0 {
		return
	}
	m.Seq++
	if q.Phased && q.Step == 1 {
		e.Used = 1 // one is left for the listings
	}
	p := &fleet.Part{PartArrived: e, Q: q, Index: -1, MayRun: -1, Spare: e.Later}
	p.Seq = m.Seq
	m.Parts[e.ID] = p
	q.Current, q.All = append(q.Current, p), append(q.All, p)
	if len(q.Current) < q.Want {
		return
	}
	m.stamp(q)
	if q.Step == 1 && (m.suspect(q) || m.refuses(q)) {
		m.giveUp(q)
		return
	}
	q.Admitted = true
	if q.Step == 1 && q.Terms.Need < 1 && !q.Phased {
		m.keepSpares(q)
	}
	m.placeAll(q.Current)
	m.stamp(q)
}

// planned takes in what a search's planner made of its answers: parts to ask now, parts to do without, which
// count as in, and how many the second step has. A part held back on purpose is no miss.
func (m *Mixer) planned(q *fleet.Query, e decision.Planned) {
	if q == nil {
		return
	}
	for _, p := range q.Current {
		if slices.Contains(e.Skip, p.ID) {
			m.Settle(p)
			p.Done, p.Dead, p.Server = true, false, nil
		} else if p.Spare && slices.Contains(e.Ask, p.ID) {
			p.Spare, p.NoBudget = false, p.Deadline <= m.Now
		}
	}
	if q.Step == 2 {
		q.Want = e.Fetch
	}
	m.placeAll(q.Current)
	m.reply(q)
}

// stamp gives all parts of a step one deadline: the aim minus the fan-out's unloaded tail.
func (m *Mixer) stamp(q *fleet.Query) {
	aimAt := m.stepAim(q)
	deadline, headless := tailguard.Stamp(m.Now, aimAt, m.FanoutTail(q, tail), maxTailShare)
	for _, p := range q.Current {
		p.Deadline, p.NoBudget = deadline, headless
		if p.Index >= 0 {
			p.Server.Reorder(p)
		}
	}
}

// stepAim is when a step should be answered: the first of two leaves the second its fan-out's tail. A phased
// query's listings go to servers that have answered already, as far as these are known.
func (m *Mixer) stepAim(q *fleet.Query) time.Duration {
	if q.Step == 2 || q.Terms.Fetch == 0 && !q.Phased {
		return q.AimAt
	}
	return q.AimAt - min(curve.Duration(m.ListingsTail(q, tail))+stepTicks*m.Set.Tick, (q.AimAt-q.At)/2)
}

// keepSpares leaves out the parts that a whole answer can do without, those of the weakest shards: they go
// when others are late or lost.
func (m *Mixer) keepSpares(q *fleet.Query) {
	for _, p := range q.Current {
		p.Spare, p.Strength = true, 0
		for _, s := range m.Replicas[p.Shard%m.Set.Cells] {
			if m.sendable(s) && !m.late(s) {
				p.Strength += m.turns(s)
			}
		}
	}
	q.UseSpares(q.Terms.Need - weightSlip)
}

// Queues and release: earliest deadline first, below the cap.

// release lets held parts leave, earliest deadline first, while fewer than the cap are out.
func (m *Mixer) release() {
	for _, s := range m.Order {
		var wait []*fleet.Part
		for len(s.Held) > 0 && len(s.Out) < m.room(s) && (m.sendable(s) || !m.open(s)) {
			p := s.Next()
			if !m.open(s) {
				m.placeAll([]*fleet.Part{p})
				continue
			}
			if len(p.Attempts) > 0 && !p.Cheap && !m.budget(1) {
				wait = append(wait, p)
				continue
			}
			m.send(p, s)
			o := s.Unsent(p.Q) // the query's other parts share the call
			for n := 1; o != nil && m.Set.CallCost > 0 && n < m.Set.Batch && m.sendable(s); n, o = n+1, s.Unsent(p.Q) {
				s.Unhold(o)
				m.send(o, s)
			}
		}
		for _, p := range wait {
			s.Hold(p)
		}
	}
}

// room is how many of our parts may be out at a server: the cap, and of a cold one its warm share.
func (m *Mixer) room(s *fleet.Server) int { return max(int(s.Cap*m.warmth(s)), 1) }

// send launches an attempt. Rules kept here: nothing for an ended query, attempts and budget counted,
// repeats only where the class allows them now.
func (m *Mixer) send(p *fleet.Part, s *fleet.Server) {
	if p.Done || p.Q.Ended || len(p.Attempts)+p.Used >= p.Q.Terms.MaxAttempts || !m.repeatable(p) {
		return
	}
	if len(p.Attempts) > 0 && !p.Cheap {
		m.Extras.Add(m.Now, 1)
	} else if len(p.Attempts) == 0 && !p.NoBudget && !p.Late {
		m.Decided.Add(m.Now, 1)
		if m.wouldMiss(p) {
			m.Missed.Add(m.Now, 1)
		}
	}
	idle := len(s.Out) == 0 && s.EndAt > 0 && m.Now-s.EndAt > idleLeast
	if idle && m.IdleDead {
		m.Do(decision.CloseIdle{Server: s.ID})
		idle = false
	}
	if n := len(s.Out); n > 0 && s.Out[n-1].At == m.Now {
		idle = s.Out[n-1].Idle // in the same call
	}
	m.Launch(p, s, idle)
	m.Do(decision.Send{Part: p.ID, Server: s.ID, Limit: max(p.Q.End-m.Now, m.Set.Tick)})
}
