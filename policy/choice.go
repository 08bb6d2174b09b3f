package policy

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/fleet"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Choice of server: turns among the replicas, the skip, and who may be sent anything.

// placeAll chooses replicas for parts that have none; where calls cost, parts share one and its turn.
func (m *Mixer) placeAll(parts []*fleet.Part) {
	left := fleet.Unplaced(parts)
	if len(left) > 0 && m.unproven(left[0].Q) {
		if fleet.Waits(left[0].Q, m.Now-curve.Duration(proveWait*m.Typical)) {
			return
		}
		fewest := func(a, b *fleet.Part) int { return len(a.Attempts) - len(b.Attempts) }
		left = []*fleet.Part{slices.MinFunc(left, fewest)}
	}
	for len(left) > 0 {
		first := left[0].Prefer
		s, cover := m.choose(left)
		if s == nil { // no replica can take anything now: wait for one
			left = left[1:]
			continue
		}
		m.Turn, s.Turn = m.Turn+1, m.Turn+1
		left = slices.DeleteFunc(left, func(p *fleet.Part) bool {
			its := cover > 0 && m.Holds(s, p.Shard) && !fleet.OutAt(p, s) && p.Prefer == first
			if its {
				s.Hold(p)
				cover--
			}
			return its
		})
	}
}

// choose takes the replica whose turn it is: of the best tier for the first part, the longest waiting.
func (m *Mixer) choose(parts []*fleet.Part) (best *fleet.Server, cover int) {
	if m.Set.CallCost == 0 {
		parts = parts[:1]
	}
	m.Gather(parts, m.open)
	bestTier, bestWait := 0, 0.0
	for _, c := range m.Candidates {
		if c.ID == parts[0].Prefer && c.Cover > 0 && m.tier(c, parts[0]) == 0 {
			return c, c.Cover // it knows the versions that were ranked
		}
		if c.Cover == 0 || best != nil && c.Cover < cover && bestTier == 0 {
			continue
		}
		tier, wait := m.tier(c, parts[0]), (float64(m.Turn-c.Turn)+c.Lead)*m.turns(c)
		if tier == 1 { // there is a queue at each: the shortest, told by time
			wait = 1 / m.expected(c)
		}
		if best == nil || tier < bestTier ||
			tier == bestTier && (c.Cover > cover || c.Cover == cover && wait > bestWait) {
			best, cover, bestTier, bestWait = c, c.Cover, tier, wait
		}
	}
	return m.sooner(best, cover, parts[0])
}

// sooner replaces a choice by a server that errs at once on some, where asking there until it answers takes
// less than the queue at the chosen one: else one sound server would carry all. Not for the last attempt.
func (m *Mixer) sooner(best *fleet.Server, cover int, p *fleet.Part) (*fleet.Server, int) {
	if best == nil || len(p.Attempts) > p.Q.Terms.MaxAttempts-p.Used-2 || m.Set.Rules.BudgetOn {
		return best, cover
	}
	soonest := m.expected(best)
	for _, c := range m.Candidates {
		quick := c.Errors > 0 && c.ErrorTook < errorQuick*m.Typical
		if !quick || c.Lat == 0 || c.Cover == 0 || len(c.Out)+len(c.Held) >= m.room(c) {
			continue
		}
		if takes := c.Lat + c.ErrorTook*c.Errors/max(1-c.Errors, weightSlip); takes < soonest {
			best, cover, soonest = c, c.Cover, takes
		}
	}
	return best, cover
}

// tier ranks a replica for a part: 0 takes its turn, the rest are skipped while a better one is there.
func (m *Mixer) tier(s *fleet.Server, p *fleet.Part) int {
	tried := slices.ContainsFunc(p.Attempts, func(a *fleet.Attempt) bool { return a.S == s })
	n := len(s.Out) + len(s.Held)
	// A trial is for first attempts, at full size only now and then; it must not chase itself off.
	trial := len(p.Attempts) == 0 && (n == 1 && p.Index >= 0 && p.Server == s ||
		n == 0 && m.Now-s.FailedAt >= m.memory(badHalf)-badHalf)
	switch {
	case tried:
		return 3
	case m.late(s) || m.Zones[s.Zone].Far || m.doubtful(&m.Zones[s.Zone]) || !m.sound(s) && !trial:
		return 2 // the design's skip; and a suspect is tried with one part now and then
	case !m.sendable(s) || n >= m.room(s) && !trial || s.Reserve && len(p.Attempts) == 0:
		return 1
	}
	return 0
}

// pick chooses a replica for one part that is to go on its own.
func (m *Mixer) pick(p *fleet.Part) *fleet.Server {
	m.Alone[0] = p
	s, _ := m.choose(m.Alone[:])
	return s
}

// turns is the share of its turns that a server gets: its trust, by size.
func (m *Mixer) turns(s *fleet.Server) float64 { return max(m.trust(s), leastTurns) * s.Nominal }

// sendable says whether a server may be sent one part more now.
func (m *Mixer) sendable(s *fleet.Server) bool { return m.open(s) && m.Now >= m.sendableFrom(s) }

// open says whether parts may be held for a server: a cold one's next may have to wait.
func (m *Mixer) open(s *fleet.Server) bool {
	return s.Listed && s.State == decision.Ready && m.Now >= s.FullTo
}

// sendableFrom is when a server's next part may leave.
func (m *Mixer) sendableFrom(s *fleet.Server) time.Duration {
	return max(s.SentAt, s.Started, s.ColdFrom) + curve.Duration(m.gap(s))
}

// gap is the least time between parts sent to a cold server, within our own share of what it can do, told by
// answers: one part in the time that a warm one takes to answer us one, by warmth.
func (m *Mixer) gap(s *fleet.Server) float64 {
	if w := m.warmth(s); w < 1 {
		return 1 / (w * m.Carried * s.Nominal * m.Set.Rules.FallMultiple)
	}
	return 0
}

// expected is how long a part given to a server now takes: its answer time, and that of those we hold for it.
func (m *Mixer) expected(s *fleet.Server) float64 {
	takes, until := s.LatNow(m.Median, m.Now, m.memory(latHalf)), curve.Seconds(max(m.sendableFrom(s)-m.Now, 0))
	return until + takes + float64(len(s.Held))*max(takes/float64(m.room(s)), m.gap(s))
}

func (m *Mixer) onList(e decision.ServerList) {
	if !m.ListCame(e.Kind) {
		return
	}
	m.Apply(e, func(s *fleet.Server, i decision.ServerInfo) {
		if s.Listed && s.State == decision.Ready && (i.State == decision.Gone || i.Started > s.Started) {
			s.DiedAt = m.Now // a release drains first
		}
		if s.Started != i.Started { // a new process: what we knew of the old one is void
			s.Bad, s.Lat, s.Cap, s.Turn = 0, 0, capStart, m.Turn
			s.Lead = 1 + m.RNG.Float64() // ties, lest all mixers that start begin at the same servers
		}
	})
	m.KeepSubset(uneven, m.warmth) // what each opens and has to find out falls with their number
}
