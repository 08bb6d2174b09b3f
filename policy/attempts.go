package policy

import (
	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/fleet"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Extra attempts: repeats, second copies, and parts called off.

// repeatable says whether another attempt of the part keeps the rule on effects.
func (m *Mixer) repeatable(p *fleet.Part) bool {
	c := p.Q.Terms
	return p.MayRun < 0 || c.Effect == decision.Safe ||
		c.Effect == decision.Keyed && m.Now-p.MayRun < c.Window-m.Set.Tick
}

// budget says whether another attempt fits; part is the share of the free ones that the caller may use up.
func (m *Mixer) budget(part float64) bool {
	r := m.Set.Rules
	free, each, span := ownFree, ownShare, ownSpan
	if r.BudgetOn {
		free, each, span = r.BudgetFree, r.BudgetShare, r.BudgetSpan
	}
	used := m.Extras.Since(m.Now - span - m.Set.Tick) // edges counted against us
	return used+1 <= part*free+each*m.Taken.Since(m.Now-span+m.Set.Tick)
}

// again queues a part whose attempts have all failed, or gives it up.
func (m *Mixer) again(p *fleet.Part) {
	if len(p.Attempts)+p.Used < p.Q.Terms.MaxAttempts && m.repeatable(p) {
		parts := []*fleet.Part{p}
		if m.unproven(p.Q) { // another part first: this one's shard may have lost a server to it
			parts = p.Q.Current
		}
		m.placeAll(parts)
		return
	}
	p.Dead = true
	m.replace(p.Q)
	m.reply(p.Q)
}

// replace sends a spare part, if any, for one late or lost.
func (m *Mixer) replace(q *fleet.Query) {
	if p := q.UseSpare(); p != nil {
		m.placeAll([]*fleet.Part{p})
	}
}

// hedge sends a second copy of a part that is out too long, to a sound replica with room, if it can still be
// of use there, and of a safe class alone: any other is called off first. All mixers' copies take one mixer's
// free attempts; failed parts any.
func (m *Mixer) hedge(p *fleet.Part) {
	if n := len(p.Attempts); m.Stalled || p.Done || p.Index >= 0 || n == 0 || n+p.Used >= p.Q.Terms.MaxAttempts {
		return
	}
	a := p.Attempts[len(p.Attempts)-1]
	if !a.Live || !m.repeatable(p) || !p.Q.Sure && p.Q.Deaths > 0 {
		return
	}
	if !m.Set.SecondCopies || p.Q.Terms.Effect != decision.Safe {
		m.move(p, a)
		return
	}
	dear := m.Set.Rules.BudgetOn // where copies are not, all that will be late for the aim get one in time
	takes := m.Typical + m.waitNow()
	if dear && m.Shed > 0 || m.Now+curve.Duration(takes) > p.Q.End {
		return // it is too late for one, or everything is slow and copies are fuel
	}
	m.CDF(a.S)
	age := curve.Seconds(m.Now - a.At)
	due := m.Now > p.Deadline-curve.Duration(m.Typical) &&
		(age > a.S.Patience || !dear && age > farTimes*m.Typical)
	if !due && !m.Zones[a.S.Zone].Far || !m.budget(1/float64(m.Set.Siblings)) {
		return
	}
	s := m.pick(p)
	_, _, _, in := fleet.Share(p.Q)
	last := float64(len(p.Q.Current)-in) <= lastShare*float64(len(p.Q.Current)) // any untried replica will do
	if s == nil || !m.sendable(s) || m.tier(s, p) > 2 || !last && (m.tier(s, p) > 0 || !m.sound(s)) {
		return
	}
	m.Turn, s.Turn = m.Turn+1, m.Turn+1
	m.send(p, s)
}

// move calls off a part too long at a server from which nothing has come since, or something sent later
// has, if a sound replica can still answer it: at twice the tail, or at the tail if that is too late. Scores,
// which the listings wait for, go sooner. It goes again when the call-off is through.
func (m *Mixer) move(p *fleet.Part, a *fleet.Attempt) {
	if !m.Set.Cancel || a.Moved || a.InTurn() {
		return
	}
	m.CDF(a.S)
	takes, s, age, until := m.Typical+m.waitNow(), m.pick(p), curve.Seconds(m.Now-a.At), m.lastCall(p.Q)
	scores, tooLong := p.Q.Phased && p.Q.Step == 1, farTimes*m.Typical+m.waitNow()
	seldom := m.Set.Siblings >= seldomFrom && m.Carried*age < 1 // nothing was to be heard meanwhile
	if seldom && p.Q.Terms.Floor >= p.Q.Terms.Need {
		until = p.Q.End // late is worth something, and what lacks is worth nothing
	}
	if !scores {
		tooLong = max(a.S.Patience, tooLong)
		if !seldom || a.At+curve.Duration(2*tooLong+takes) < until { // there is time for certainty
			tooLong *= 2
		}
	}
	if age < tooLong || m.Now+curve.Duration(takes) > until || s == nil || m.tier(s, p) > 0 || !m.sound(s) {
		return
	}
	if (scores || seldom || s.AnswerAt > a.At) && m.budget(1) {
		a.Moved = true
		m.Do(decision.Cancel{Part: p.ID, Attempt: a.Number})
	}
}

// Poison: queries that bring down the servers that begin their parts. A part that comes back clears its
// query, as the cause kills each time. Servers dying undrained in several zones tell that one is abroad.

// unproven says whether only one part of a query may be out until one has come back.
func (m *Mixer) unproven(q *fleet.Query) bool {
	return !q.Sure && (q.Deaths > 0 || m.Alarm && len(q.Current) >= proveFrom)
}

// died counts the deaths that a query was out at; what was sent before the last one is the same evidence.
// One that dies again, with a server seen to have crashed of late, ends, and its like is refused for a while.
func (m *Mixer) died(q *fleet.Query, a *fleet.Attempt) {
	if q.Sure || a.At < q.DiedAt {
		return
	}
	q.Deaths, q.DiedAt = q.Deaths+1, m.Now
	if dead, _ := m.CountDead(m.Now - deathSpan); dead > 0 && q.Deaths >= deathsMost {
		m.Suspects[fleet.Likeness(q)] = m.Now
		m.Log("poison class=%d key=%x", q.Class, q.Key)
		m.giveUp(q)
	}
}

func (m *Mixer) suspect(q *fleet.Query) bool {
	at, is := m.Suspects[fleet.Likeness(q)]
	return is && m.Now-at <= suspectSpan
}
