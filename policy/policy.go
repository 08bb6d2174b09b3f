// Package policy holds the decisions of a co-ordinator ("mixer") of queries over replicated shards: which
// server gets a part and when, whether it is tried again, and what is refused. It does no input or output and
// keeps no clock: a host hands it what happened and the time, and carries out the actions it returns. Package
// decision is the interface, fleet the tables, curve the records, tailguard what other stages share.
package policy

import (
	"math/rand/v2"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/fleet"
)

// Mixer decides for one co-ordinator. It is not safe for concurrent use.
type Mixer struct{ fleet.State }

// New makes a Mixer. Its only randomness comes from seed.
func New(set decision.Settings, seed uint64) (*Mixer, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Mixer{fleet.New(set, rand.New(rand.NewPCG(seed, 1)), fleet.Tuning{Tail: tail, StartTail: startTail,
		UsualSpan: usualSpan, SurveyGap: surveyGap, CapMin: capRule.Min, CapMax: capRule.Max})}, nil
}

// Step takes the time and what happened and returns what to do. A time before the last one counts
// as the last one. The result is valid until the next Step.
func (m *Mixer) Step(now time.Duration, events []decision.Event) []decision.Action {
	// A wake that comes late is our own stall: what passed meanwhile is nobody's fault and no miss.
	m.Stalled = m.WakeAt > m.Now && now > m.WakeAt+stallLeast
	m.Now, m.Acts = max(m.Now, now), m.Acts[:0]
	m.survey()
	for _, e := range events {
		switch e := e.(type) {
		case decision.QueryArrived:
			m.onQuery(e)
		case decision.PartArrived:
			m.onPart(e)
		case decision.Outcome:
			m.onOutcome(e)
		case decision.ClientLeft:
			m.End(m.Queries[e.Query])
		case decision.ServerList:
			m.onList(e)
		case decision.Planned:
			m.planned(m.Queries[e.Query], e)
		case decision.Probed:
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
		m.Do(decision.WakeAt{At: m.WakeAt})
	}
	return m.Acts
}
