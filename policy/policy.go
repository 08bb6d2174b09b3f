// Package policy decides for one coordinator of queries over replicated shards: which replica gets a subquery
// and when, whether it is retried or hedged, and which queries are rejected. It is a state machine without
// I/O and without a clock: a host passes the time and the events to [Scheduler.Step] and carries out the
// returned actions, in order. Given the same seed, settings and events it returns the same actions.
//
// Package decision declares the events, actions and settings, package cluster the state, package curve the
// latency histograms, and package tailguard the rules that other admission stages share. Deadlines and the
// order of release follow TF-EDFQ (TailGuard).
package policy

import (
	"math/rand/v2"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
)

// Scheduler decides for one coordinator. It is not safe for concurrent use.
type Scheduler struct{ cluster.State }

// New returns a Scheduler with no servers. Its only randomness comes from seed. The error names the setting
// that no scheduler could work with.
func New(set decision.Settings, seed uint64) (*Scheduler, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	tuning := cluster.Tuning{Tail: tail, StartTail: startTail, UsualSpan: usualSpan, SurveyGap: surveyGap,
		CapMin: capRule.Min, CapMax: capRule.Max}
	return &Scheduler{cluster.New(set, rand.New(rand.NewPCG(seed, 1)), tuning)}, nil
}

// Step takes the time and the events since the last step and returns the actions to carry out. A time before
// that of the last step counts as the same time. The result is valid until the next Step.
func (sc *Scheduler) Step(now time.Duration, events []decision.Event) []decision.Action {
	// A wake-up that comes late is a stall of our own process: the time that passed is no server's fault and no
	// miss.
	sc.Stalled = sc.WakeAt > sc.Now && now > sc.WakeAt+stallLeast
	sc.Now, sc.Actions = max(sc.Now, now), sc.Actions[:0]
	sc.survey()
	for _, e := range events {
		sc.handle(e)
	}
	sc.sweep()
	sc.release()
	sc.checkZones()
	sc.RenewSubscription()
	if (len(sc.Live) > 0 || sc.Unsubscribed()) && (sc.WakeAt <= sc.Now || sc.WakeAt > sc.Wanted) {
		sc.WakeAt = sc.Wanted
		sc.Emit(decision.WakeAt{At: sc.WakeAt})
	}
	return sc.Actions
}

// handle applies one event.
func (sc *Scheduler) handle(e decision.Event) {
	switch e := e.(type) {
	case decision.QueryArrived:
		sc.onQuery(e)
	case decision.SubqueryArrived:
		sc.onSubquery(e)
	case decision.Outcome:
		sc.onOutcome(e)
	case decision.ClientDisconnected:
		sc.End(sc.Queries[e.Query])
	case decision.ServerList:
		sc.onList(e)
	case decision.Planned:
		sc.onPlan(sc.Queries[e.Query], e)
	case decision.HealthChecked:
		if s := sc.Servers[e.Server]; s != nil {
			sc.onHealthCheck(&sc.Zones[s.Zone], e.OK)
		}
	default:
		sc.ApplyUpdate(e)
	}
}
