// Package policy schedules the queries of one coordinator over replicated shards: it decides which replica
// gets a subquery and when, whether the subquery is retried or hedged, and which queries are rejected. It
// is a deterministic state machine without I/O and without a clock: a host passes the time and the events
// to [Scheduler.Step] and carries out the returned actions, in order. The same seed, settings and events
// always give the same actions.
//
// Package decision declares the events, actions and settings, package cluster the state, package curve the
// latency histograms, and package tailguard the rules shared with other admission stages. The deadlines of
// subqueries and the order of the queues follow TF-EDFQ (TailGuard).
package policy

import (
	"math/rand/v2"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
)

// Scheduler schedules the queries of one coordinator. It is not safe for concurrent use.
type Scheduler struct{ cluster.State }

// New returns a Scheduler without servers. All its random choices derive from seed. If set is invalid, the
// error names the offending field.
func New(set decision.Settings, seed uint64) (*Scheduler, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	tuning := cluster.Tuning{
		TailPercentile: tailPercentile, InitialTailFraction: initialTailFraction,
		ThroughputWindow: throughputWindow, SurveyInterval: surveyInterval,
		CapMin: capRule.Min, CapMax: capRule.Max,
	}
	return &Scheduler{cluster.New(set, rand.New(rand.NewPCG(seed, 1)), tuning)}, nil
}

// Step applies the events since the last step and returns the actions to carry out. If now is before the
// time of the last step, the time of the last step is used. The returned slice is valid until the next
// Step.
func (sc *Scheduler) Step(now time.Duration, events []decision.Event) []decision.Action {
	// A late wake-up means that this process was stalled: the delay is not blamed on any server and does not
	// count as a missed deadline.
	sc.Stalled = sc.WakeAt > sc.Now && now > sc.WakeAt+minStall
	sc.Now, sc.Actions = max(sc.Now, now), sc.Actions[:0]
	sc.survey()
	for _, e := range events {
		sc.handle(e)
	}
	sc.sweep()
	sc.sendQueued()
	sc.checkZones()
	sc.RenewSubscription()
	if (len(sc.ActiveQueries) > 0 || sc.NeedsSubscription()) &&
		(sc.WakeAt <= sc.Now || sc.WakeAt > sc.NextSweepAt) {
		sc.WakeAt = sc.NextSweepAt
		sc.Emit(decision.WakeAt{At: sc.WakeAt})
	}
	return sc.Actions
}

// handle dispatches one event.
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
