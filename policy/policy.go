// Package policy holds the decisions of a co-ordinator ("mixer") of queries over replicated shards: which
// server gets a part and when, whether it is tried again, and what is refused. It does no input or output and
// keeps no clock: a host hands it what happened and the time, and carries out the actions it returns. Package
// mix is the whole interface, fleet the tables and curve the records; read this file from the top.
package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/mem/fleet"
	"pulleygw.example/pulleygw/internal/gatherer/mix"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Every tuned value, with its reason: ratios of what is observed or set, or times of human scale.
const (
	stallLeast   = 200 * time.Millisecond // a wake so late is our own stall, not a busy moment
	pace         = 10 * time.Millisecond  // sweeps: far below any aim, cheap in CPU
	surveyGap    = 100 * time.Millisecond // between looks at every server: below any answer time, cheap
	tail         = 0.99                   // percentile of the fan-out's unloaded tail, as in the paper
	maxTailShare = 0.6                    // of the aim: a slowdown in the records must not eat all budgets
	startTail    = 0.5                    // of the aim: the start curve's 99th percentile before any answer
	quietOut     = 2                      // a record takes answers sent when so few of ours were out: unloaded

	capStart = 4.0  // no part waits on a quiet day
	capMin   = 2.0  // one in work, one on the way
	capMax   = 32.0 // past this the server's own queue decides the order, not ours
	capNear  = 1.3  // answers within this multiple of the median let the cap grow ...
	capFar   = 2.0  // ... and past this multiple make it fall
	baseRise = 0.01 // a second: how fast the median that answers are held against may rise
	capFall  = 0.8  // to this share, at most once an answer time

	latWeight    = 0.2              // smoothing of answer times: five answers tell a slowdown
	latBack      = 0.5              // of a quick one: two tell that a hang is over
	latStale     = 5 * time.Second  // a small mixer meets a server seldom: what is so old counts half
	latHalf      = 10 * time.Second // a slow server's name is forgotten so, for want of news
	slowSlack    = 1.6              // times the others' median: below this speed differences are ordinary
	badUp        = 0.3              // smoothing of failures: three in a row halve the trust ...
	badDown      = 0.12             // ... and successes count less, as fast errors mix with answers
	cancelWeight = 0.5              // of a cancelled part that was overdue, perhaps only late; more where ...
	cancelMost   = 1.5              // ... memory is longer, as there is no second look
	usualSpan    = 10 * time.Second // what servers carry is counted so long, by young mixers since their start
	badLog       = 0.5              // the log says failing above this, and well again below badBack
	badBack      = 0.1
	badHalf      = 5 * time.Second  // trust comes back by itself so, to be tested by a trickle
	fullMost     = 2.0              // seconds that one that turned a part away is left alone at the most
	errorWeight  = 0.05             // smoothing of the share of errors: some twenty parts tell it
	errorQuick   = 0.25             // of the usual answer time: an error so quick costs hardly more than the try
	meetings     = 4.0              // what was seen of a server lasts for so many more parts ...
	memoryMost   = 30 * time.Second // ... but troubles end
	leastTurns   = 0.015            // the trickle: share of its turns that the worst server keeps
	trusted      = 0.3              // below this share of turns a server is suspect

	seldomFrom = 8   // so many mixers or more meet each server seldom
	uneven     = 0.1 // servers' shares of the mixers may differ so by chance: more tells in their queues

	ownFree   = 10.0 // the budget where none is stated: further attempts whatever came in ...
	ownShare  = 0.30 // ... and for each query and part taken: a fifth of a large fleet may be slow ...
	ownSpan   = 10 * time.Second
	lastShare = 0.125 // of a query's parts: so few that lack may be copied to a suspect

	missWindow = 1500 * time.Millisecond // long enough for evidence at low rates, short enough to recover
	missShare  = 0.017                   // the paper's threshold
	missLeast  = 4.0                     // misses that count as evidence
	waitWeight = 0.2                     // step of the wait at servers towards the median: some ten answers
	mostDone   = 0.75                    // with less time than this share of its like take, a client leaves
	waitHalf   = 8 * time.Second         // it is forgotten so: small mixers hear little between queries
	shedGain   = 3.0                     // share refused for each share of misses over the threshold
	costWeight = 0.05                    // smoothing of parts by worth: twenty queries tell the classes' mix
	shedFall   = 0.15                    // a second: some queries of a small mixer come in between
	adviseMin  = 200 * time.Millisecond
	adviseMax  = 1500 * time.Millisecond

	idleLeast  = 300 * time.Millisecond // a connection not used for so long counts as idle
	lossWeight = 0.02                   // smoothing of the shares lost on idle and on busy connections ...
	lossLeast  = 0.15                   // ... of which the one tells of dead connections above this ...
	lossTimes  = 3.0                    // ... and when so many times the other

	farTimes = 3.0                    // medians: later is not quick; the way there and back may be the cause
	farRun   = 6                      // with so many in a row not quick, a zone is in doubt ...
	farProbe = 200 * time.Millisecond // ... and probed so often ...
	farFails = 3                      // ... and far when so many probes in a row fail
	farClear = 2 * time.Second        // one that gets through clears the way for so long

	deathSpan   = 10 * time.Second // crashes so recent make queries prove themselves one part first ...
	deathLeast  = 3                // ... when so many servers died in it: fewer is chance
	proveFrom   = 3                // ... and the query would be at so many parts at once
	proveWait   = 2.0              // medians that the one part may take before the next is let go
	deathsMost  = 2                // dead when tried with others and again alone: no chance
	suspectSpan = 20 * time.Second // its like is refused so long: several tries of a client

	stepTicks  = 4       // of a second step: to leave, to be heard, and as many to spare
	weightSlip = 0.00005 // rounding of parts' weights
)

// Mixer decides for one co-ordinator. It is not safe for concurrent use.
type Mixer struct{ fleet.State }

// New makes a Mixer. Its only randomness comes from seed.
func New(set mix.Settings, seed uint64) (*Mixer, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Mixer{fleet.New(set, rand.New(rand.NewPCG(seed, 1)), fleet.Tuning{Before: before, Tail: tail,
		StartTail: startTail, UsualSpan: usualSpan, SurveyGap: surveyGap, CapMin: capMin, CapMax: capMax})}, nil
}

// Step takes the time and what happened and returns what to do. A time before the last one counts
// as the last one. The result is valid until the next Step.
func (m *Mixer) Step(now time.Duration, events []mix.Event) []mix.Action {
	// A wake that comes late is our own stall: what passed meanwhile is nobody's fault and no miss.
	m.Stalled = m.WakeAt > m.Now && now > m.WakeAt+stallLeast
	m.Now, m.Acts = max(m.Now, now), m.Acts[:0]
	m.survey()
	for _, e := range events {
		switch e := e.(type) {
		case mix.QueryArrived:
			m.onQuery(e)
		case mix.PartArrived:
			m.onPart(e)
		case mix.Outcome:
			m.onOutcome(e)
		case mix.ClientLeft:
			m.End(m.Queries[e.Query])
		case mix.ServerList:
			m.onList(e)
		case mix.Planned:
			m.planned(m.Queries[e.Query], e)
		case mix.Probed:
			if s := m.Servers[e.Server]; s != nil {
				m.probed(&m.Zones[s.Zone], e.OK)
			}
		default:
			m.Told(e)
		}
	}
	m.sweep()
	m.release()
	m.probeZones()
	m.KeepList()
	if (len(m.Live) > 0 || m.Asking()) && (m.WakeAt <= m.Now || m.WakeAt > m.Wanted) {
		m.WakeAt = m.Wanted
		m.Do(mix.WakeAt{At: m.WakeAt})
	}
	return m.Acts
}

// Arrival and deadline.

func (m *Mixer) onQuery(e mix.QueryArrived) {
	m.Taken.Add(m.Now, 1)
	if m.Queries[e.ID] != nil {
		return
	} else if e.Class < 0 || e.Class >= len(m.Set.Classes) {
		m.Do(mix.Refuse{Query: e.ID}) // a class we were not told of: nothing has run
		return
	}
	q := &fleet.Query{QueryArrived: e, Terms: &m.Set.Classes[e.Class], Step: 1, Want: e.Parts, At: m.Now}
	q.End, q.AimAt = m.Now+e.Left, m.Now+min(q.Terms.Aim, e.Left) // never beyond the client's own time
	m.Queries[e.ID], m.Live = q, append(m.Live, q)
}

func (m *Mixer) onPart(e mix.PartArrived) {
	m.Taken.Add(m.Now, 1)
	q := m.Queries[e.Query]
	if q == nil || m.Parts[e.ID] != nil || e.Shard < 0 {
		return
	}
	m.Seq++
	if q.Phased && q.Step == 1 {
		e.Used = 1 // one is left for the listings
	}
	p := &fleet.Part{PartArrived: e, Q: q, Index: -1, Seq: m.Seq, MayRun: -1, Spare: e.Later}
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
func (m *Mixer) planned(q *fleet.Query, e mix.Planned) {
	if q == nil {
		return
	}
	for _, p := range q.Current {
		if slices.Contains(e.Skip, p.ID) {
			m.Settle(p)
			p.Done, p.Dead, p.Server = true, false, nil
		} else if p.Spare && slices.Contains(e.Ask, p.ID) {
			p.Spare, p.Headless = false, p.Deadline <= m.Now
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
	x := min(m.FanoutTail(q, tail), maxTailShare*curve.Seconds(max(aimAt-m.Now, 0)))
	for _, p := range q.Current {
		p.Deadline = aimAt - curve.Duration(x)
		p.Headless = p.Deadline <= m.Now
		if p.Index >= 0 {
			p.Server.Reorder(p)
		}
	}
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

// stepAim is when a step should be answered: the first of two leaves the second its fan-out's tail. A phased
// query's listings go to servers that have answered already, as far as these are known.
func (m *Mixer) stepAim(q *fleet.Query) time.Duration {
	if q.Step == 2 || q.Terms.Fetch == 0 && !q.Phased {
		return q.AimAt
	}
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
	return q.AimAt - min(curve.Duration(m.Pool.Quantile(m.Product, tail))+stepTicks*m.Set.Tick, (q.AimAt-q.At)/2)
}

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
	m.Round, m.Candidates = m.Round+1, m.Candidates[:0]
	for _, p := range parts {
		for _, s := range m.Replicas[p.Shard%m.Set.Cells] {
			if s.Round != m.Round {
				s.Round, s.Cover, s.Able = m.Round, 0, m.open(s)
				if s.Able {
					m.Candidates = append(m.Candidates, s)
				}
			}
			if !fleet.OutAt(p, s) {
				s.Cover = min(s.Cover+1, max(m.Set.Batch, 1))
			}
		}
	}
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

// Queues and release.

// before is the order of release: earliest deadline first, headless parts ahead of all.
func before(a, b *fleet.Part) bool {
	switch {
	case a.Headless != b.Headless:
		return a.Headless
	case a.Deadline != b.Deadline:
		return a.Deadline < b.Deadline
	}
	return a.Seq < b.Seq
}

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
	} else if len(p.Attempts) == 0 && !p.Headless && !p.Late {
		m.Decided.Add(m.Now, 1)
		if m.wouldMiss(p) {
			m.Missed.Add(m.Now, 1)
		}
	}
	idle := len(s.Out) == 0 && s.EndAt > 0 && m.Now-s.EndAt > idleLeast
	if idle && m.IdleDead {
		m.Do(mix.CloseIdle{Server: s.ID})
		idle = false
	}
	if n := len(s.Out); n > 0 && s.Out[n-1].At == m.Now {
		idle = s.Out[n-1].Idle // in the same call
	}
	m.Launch(p, s, idle)
	m.Do(mix.Send{Part: p.ID, Server: s.ID, Limit: max(p.Q.End-m.Now, m.Set.Tick)})
}

// Outcomes.

func (m *Mixer) onOutcome(e mix.Outcome) {
	p := m.Parts[e.Part]
	if p == nil || e.Attempt < 0 || e.Attempt >= len(p.Attempts) || !p.Attempts[e.Attempt].Live {
		return
	}
	a := p.Attempts[e.Attempt]
	a.Live, a.S.EndAt = false, m.Now
	a.S.Drop(a)
	if e.Status == mix.OK || e.Status == mix.Error || e.Status == mix.Full {
		a.S.AnswerAt, a.S.PassedAt = m.Now, max(a.S.PassedAt, a.At)
	}
	age := curve.Seconds(m.Now - a.At)
	if m.Stalled && e.Took > 0 { // as measured on the way in, which our own stall does not lengthen
		age = min(age, curve.Seconds(e.Took))
	}
	silent := age > min(m.TailAge, farTimes*m.Typical)+m.waitNow()
	if e.Status == mix.OK {
		m.lossAfter(a, 0)
	} else if silent && e.Status != mix.Moot {
		m.lossAfter(a, 1)
	}
	z := &m.Zones[a.S.Zone]
	if age >= farTimes*m.Typical || e.Status == mix.ConnectFailed {
		z.Slow++
	} else if e.Status != mix.Cancelled && e.Status != mix.Moot {
		z.Slow = 0
	}
	switch {
	case e.Status != mix.Full && m.doubtful(z): // the way's doing, or so it looks: no server's fault
	case e.Status == mix.OK:
		m.Answered.Add(m.Now, 1)
		a.S.Errors -= errorWeight * a.S.Errors
		m.note(a.S, true, 1)
		m.heard(a.S, age, a.SentOut < quietOut)
	case a.Idle && m.IdleDead: // the connection's doing
	case e.Status == mix.Cancelled:
		if silent { // it must not leave a server looking good
			m.note(a.S, false, min(cancelWeight*curve.Seconds(m.memory(badHalf))/curve.Seconds(badHalf), cancelMost))
			m.heard(a.S, age, false)
		}
	case e.Status != mix.Moot:
		m.note(a.S, false, 1)
		if e.Status == mix.Error {
			a.S.ErrorTook = cmp.Or(a.S.ErrorTook, age)
			a.S.ErrorTook += latWeight * (age - a.S.ErrorTook)
			a.S.Errors += errorWeight * (1 - a.S.Errors)
		}
		if e.Status == mix.ConnectFailed {
			a.S.ColdFrom = m.Now // it may come back cold before the list tells
			if a.S.ResetAt > 0 && m.Now-a.S.ResetAt < deathSpan && a.S.State == mix.Ready {
				a.S.DiedAt = m.Now
			}
		} else if e.Status == mix.Full { // it is as full for the next, until a slot is free
			alone := m.Typical
			if m.Set.Siblings >= seldomFrom { // and stays full if all come again before they would have met it
				alone = max(alone, min(1/max(m.Carried, weightSlip), fullMost))
			}
			a.S.FullTo = m.Now + curve.Duration(alone)
		} else if e.Status == mix.Reset { // no death by itself: a connection may break alone
			a.S.ResetAt = m.Now
		}
	}
	if e.Status == mix.Full || e.Status == mix.ConnectFailed || e.Status == mix.Moot {
		a.Spared = true
		p.NeverRan()
	}
	if p.Q.Ended {
		m.Forget(p)
		return
	}
	p.Cheap = e.Status == mix.Error && age < errorQuick*m.Typical && !m.Set.Rules.BudgetOn
	if e.Status == mix.Reset {
		m.died(p.Q, a)
	}
	if e.Status == mix.OK {
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
		m.Do(mix.Probe{Server: z.Servers[z.Next%len(z.Servers)].ID})
	}
}

// probed takes in a probe: a far zone's servers are skipped, and not blamed, until one gets through.
func (m *Mixer) probed(z *fleet.Zone, ok bool) {
	if z.Fails++; ok {
		z.Fails, z.Slow, z.ClearTo = 0, 0, m.Now+farClear
	}
	m.Flip(&z.Far, z.Fails >= farFails, "far=%v zone=%d", z.Number)
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

// Extra attempts.

// repeatable says whether another attempt of the part keeps the rule on effects.
func (m *Mixer) repeatable(p *fleet.Part) bool {
	c := p.Q.Terms
	return p.MayRun < 0 || c.Effect == mix.Safe || c.Effect == mix.Keyed && m.Now-p.MayRun < c.Window-m.Set.Tick
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
	if !m.Set.SecondCopies || p.Q.Terms.Effect != mix.Safe {
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
		m.Do(mix.Cancel{Part: p.ID, Attempt: a.Number})
	}
}

// Reply.

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
		m.Do(mix.Answer{Query: q.ID, Whole: whole})
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
	m.Do(mix.Answer{Query: q.ID, Whole: whole && (q.Step == 1 || q.FirstWhole), Final: true})
	m.End(q)
}

// lastCall is when an answer must leave to be in time.
func (m *Mixer) lastCall(q *fleet.Query) time.Duration { return m.stepAim(q) - stepTicks*m.Set.Tick }

// giveUp gives a query its final answer at once: refused where trying again is harmless, else failed.
func (m *Mixer) giveUp(q *fleet.Query) {
	ran := slices.ContainsFunc(q.All, func(p *fleet.Part) bool { return p.MayRun >= 0 })
	if q.Terms.Effect != mix.Safe && ran {
		m.Do(mix.Fail{Query: q.ID})
	} else {
		after := adviseMin + curve.Duration(m.Shed*curve.Seconds(adviseMax-adviseMin))
		m.Do(mix.Refuse{Query: q.ID, RetryAfter: min(after, m.Set.MaxRetryAfter)})
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
	if m.Now > p.Deadline && !p.Late && !p.Headless && len(p.Attempts) == 0 && !m.unproven(p.Q) && !m.Stalled {
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

// Admission.

// refuses decides on a whole query before any part is sent: on the miss share. Where a query can do without
// those of its parts that would be late, it is taken without them, as of a cell with too few servers left.
func (m *Mixer) refuses(q *fleet.Query) bool {
	cost := float64(len(q.Current)) / max(q.Terms.Worth, weightSlip) // what it frees to refuse it, and loses
	m.Cost = (1-costWeight)*cmp.Or(m.Cost, cost) + costWeight*cost
	if m.unheld(q) || m.Now+curve.Duration(m.FanoutTail(q, mostDone)+m.waitNow()) > q.End {
		return true // the client would leave before: work for nobody
	}
	sure := q.Terms.Floor >= q.Terms.Need && slices.ContainsFunc(q.Current, func(p *fleet.Part) bool {
		return m.queued(p) && m.Now+curve.Duration(m.waitAtShard(p)+m.Median) > m.stepAim(q)
	})
	if m.Shed == 0 && !sure {
		return false // the misses tell what was; wait and room at every shard what is
	}
	shed := sure || m.RNG.Float64() < m.Shed*min(cost/m.Cost, 1)
	left := q.Drop(func(p *fleet.Part) bool {
		s := m.pick(p)
		return m.wouldMiss(p) || shed && (s == nil || len(s.Out)+len(s.Held) >= m.room(s))
	})
	little := left < q.Terms.Floor-weightSlip || left < q.Terms.Need-weightSlip && q.Terms.Fetch > 0
	if little && !shed {
		q.Drop(func(*fleet.Part) bool { return false })
	}
	return little && shed
}

// unheld says whether the list names a ready server for so few of a query's parts that no answer could be
// given. One that comes back is listed seconds later: the client is told at once, and may come back itself.
func (m *Mixer) unheld(q *fleet.Query) bool {
	can := 0.0
	ready := func(s *fleet.Server) bool { return s.State == mix.Ready }
	for _, p := range q.Current {
		if p.Done || fleet.AnyLive(p) || slices.ContainsFunc(m.Replicas[p.Shard%m.Set.Cells], ready) {
			can += p.Weight
		}
	}
	return can < q.Terms.Floor-weightSlip
}

// wouldMiss says whether a part sent now would still wait at its server when its deadline passes, by what
// sound servers' answers lately took beyond the usual: among dozens of mixers the queues stand there.
func (m *Mixer) wouldMiss(p *fleet.Part) bool {
	return m.Now+curve.Duration(max(m.waitNow(), m.waitAtShard(p))) > p.Deadline
}

// queued says whether parts of ours wait at each replica of a part's shard: as they leave, it is heard from.
func (m *Mixer) queued(p *fleet.Part) bool {
	none := func(s *fleet.Server) bool { return m.open(s) && len(s.Held) == 0 }
	list := m.Replicas[p.Shard%m.Set.Cells]
	return slices.ContainsFunc(list, m.open) && !slices.ContainsFunc(list, none)
}

// waitAtShard is what the quickest replica of a part's shard took beyond the usual, longer the more it fails.
func (m *Mixer) waitAtShard(p *fleet.Part) float64 {
	best := curve.RecordHigh
	for _, s := range m.Replicas[p.Shard%m.Set.Cells] {
		if m.open(s) {
			best = min(best, m.expected(s)/max(1-curve.Faded(s.Bad, m.Now-s.BadAt, m.memory(badHalf)), weightSlip))
		}
	}
	return best - m.Median
}

// Health.

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
	target := 0.0
	if missed >= missLeast {
		target = min(max(shedGain*(missed/decided-missShare), 0), 1)
	}
	m.Shed, m.ShedAt = max(target, m.Shed-shedFall*curve.Seconds(m.Now-m.ShedAt)), m.Now
	m.Flip(&m.Shedding, m.Shed > 0, "shedding=%v missed=%.0f of %.0f", missed, decided)
}

func (m *Mixer) surveyServers() {
	m.CountStuck(m.Now - curve.Duration(farTimes*m.Typical))
	size := m.Survey(func(s *fleet.Server) bool { return m.warmth(s) >= 1 })
	least := 1 / curve.Seconds(m.Set.Rules.FallSpan) / float64(m.Set.Siblings) // unheard: one part of all mixers
	span := max(min(usualSpan, m.Now-m.Begun), m.Set.Rules.FallSpan, m.Set.Tick)
	m.Carried = max(m.Answered.Since(m.Now-usualSpan)/curve.Seconds(span)/max(size, 1), least)
	m.Lost[1] = min(m.Lost[1], curve.Faded(m.Lost[1], surveyGap, latHalf))
	m.Flip(&m.IdleDead, m.IdleDead && m.Lost[1] > lossLeast, "idle connections dead=%v")
	m.Prune(m.Now-curve.RecordHalf, m.Now-max(m.Set.Rules.BudgetSpan, ownSpan)-m.Set.Tick)
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
	w := max(latWeight, 1-curve.Faded(1, m.Now-s.LatAt, latStale))
	if sec < capNear*m.Base { // quick again: what held it up is over
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
	switch {
	case s.Lat < capNear*m.Base:
		s.Cap = min(s.Cap+1/s.Cap, capMax)
	case s.Lat > capFar*m.Base && curve.Seconds(m.Now-s.CapAt) > s.Lat:
		s.Cap, s.CapAt = max(s.Cap*capFall, capMin), m.Now
	}
}

// note takes in a success or a failure.
func (m *Mixer) note(s *fleet.Server, ok bool, weight float64) {
	s.Bad, s.BadAt = curve.Faded(s.Bad, m.Now-s.BadAt, m.memory(badHalf)), m.Now
	if ok {
		s.Bad -= badDown * s.Bad
	} else {
		s.Bad, s.FailedAt = s.Bad+badUp*weight*(1-s.Bad), m.Now
	}
	m.Flip(&s.WasBad, s.Bad > badLog || s.WasBad && s.Bad > badBack, "failing=%v server=%d", s.ID)
}

// trust is 1 on the ordinary path, and less while a server fails, is slower than the others, or is cold.
func (m *Mixer) trust(s *fleet.Server) float64 {
	w := 1 - curve.Faded(s.Bad, m.Now-s.BadAt, m.memory(badHalf))
	slow := 0.0
	if m.Median > 0 { // before the first survey there is nothing to be slower than
		slow = s.LatNow(m.Median, m.Now, m.memory(latHalf)) / max(slowSlack*m.Median, curve.RecordLow)
	}
	return w * w * w / max(slow*slow, 1) * m.warmth(s)
}

// sound says whether a server is no suspect. To be cold is no fault: it limits the turns and the pace.
func (m *Mixer) sound(s *fleet.Server) bool { return m.trust(s) >= trusted*m.warmth(s) }

// memory is how long what was seen of a server lasts: at full size the next meeting is far off.
func (m *Mixer) memory(half time.Duration) time.Duration {
	return max(half, min(curve.Duration(meetings/max(m.Carried, weightSlip)), memoryMost))
}

// turns is the share of its turns that a server gets: its trust, by size.
func (m *Mixer) turns(s *fleet.Server) float64 { return max(m.trust(s), leastTurns) * s.Nominal }

// warmth is the share of its capacity that a started server has at the least: 1 when warm.
func (m *Mixer) warmth(s *fleet.Server) float64 {
	from := max(s.Started, s.ColdFrom)
	r := m.Set.Rules
	if from <= 0 || r.Ramp <= 0 || m.Now-from >= r.Ramp {
		return 1
	}
	return r.StartCapacity + (1-r.StartCapacity)*max(curve.Seconds(m.Now-from), 0)/curve.Seconds(r.Ramp)
}

// sendable says whether a server may be sent one part more now.
func (m *Mixer) sendable(s *fleet.Server) bool { return m.open(s) && m.Now >= m.sendableFrom(s) }

// open says whether parts may be held for a server: a cold one's next may have to wait.
func (m *Mixer) open(s *fleet.Server) bool {
	return s.Listed && s.State == mix.Ready && m.Now >= s.FullTo
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

// Membership.

func (m *Mixer) onList(e mix.ServerList) {
	if !m.ListCame(e.Kind) {
		return
	}
	m.Apply(e, func(s *fleet.Server, i mix.ServerInfo) {
		if s.Listed && s.State == mix.Ready && (i.State == mix.Gone || i.Started > s.Started) {
			s.DiedAt = m.Now // a release drains first
		}
		if s.Started != i.Started { // a new process: what we knew of the old one is void
			s.Bad, s.Lat, s.Cap, s.Turn = 0, 0, capStart, m.Turn
			s.Lead = 1 + m.RNG.Float64() // ties, lest all mixers that start begin at the same servers
		}
	})
	m.KeepSubset(uneven, m.warmth) // what each opens and has to find out falls with their number
}

// pick chooses a replica for one part that is to go on its own.
func (m *Mixer) pick(p *fleet.Part) *fleet.Server {
	m.Alone[0] = p
	s, _ := m.choose(m.Alone[:])
	return s
}

// Usual is what a part sent now takes at a sound server.
func (m *Mixer) Usual() time.Duration { return curve.Duration(m.Typical + m.waitNow()) }

// expected is how long a part given to a server now takes: its answer time, and that of those we hold for it.
func (m *Mixer) expected(s *fleet.Server) float64 {
	takes, until := s.LatNow(m.Median, m.Now, m.memory(latHalf)), curve.Seconds(max(m.sendableFrom(s)-m.Now, 0))
	return until + takes + float64(len(s.Held))*max(takes/float64(m.room(s)), m.gap(s))
}

// waitNow is what sound servers' answers take beyond the usual.
func (m *Mixer) waitNow() float64 { return curve.Faded(m.Wait, m.Now-m.WaitAt, waitHalf) }
