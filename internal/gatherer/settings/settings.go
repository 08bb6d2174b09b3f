// Package settings parses the operator's settings, for the daemon and for the simulator's host.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// options mirrors the settings text. Its names are the keys. Unknown keys are ignored; pointers distinguish absent keys.
type options struct {
	Siblings       int
	TickUs         int64
	Discovery      string
	OverShareWorth float64
	Zones, Kinds   []string
	Classes        []struct {
		Name                               string
		OnTimeUs, DeadlineUs, MemorySpanUs int64
		Effect                             string
		Worth                              float64
	}
	Tenants    []struct{ AllowancePerS float64 }
	FamilyInfo struct {
		Batch                    int
		CallUs                   int64
		CompleteFrom, LeastShare []float64
		FetchParts               []int
		Positions, Width         int
		Shards                   int
	}
	Limits struct {
		Cancel, SecondCopies bool
		Probes               bool
		MaxAttempts          int
		MaxRetryAfterUs      int64
		RetryAfter           bool
		OpenCap              int
		StreamsPerConn       int
		ConnIdleUs           int64
		ConnectTimeoutUs     int64
	}
	Rules struct {
		AskWithinUs, RampTimeUs, FallUs, BudgetSpanUs int64
		StartCapacity, FallMultiple                   float64
		BudgetFree, ExtraPerRequest                   *float64
		DrainGraceUs                                  int64
	}
}

// us converts microseconds.
func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// valueAt is the i-th value of a list, or absent.
func valueAt(list []float64, i int, absent float64) float64 {
	if i < len(list) {
		return list[i]
	}
	return absent
}

// Settings are the operator's settings: those of package policy, and what only a daemon on sockets needs.
type Settings struct {
	Policy         decision.Settings
	Classes        []string // names, in the order of Policy.Classes
	Dropped        []bool   // by class: kept only for requests in flight; the rest are in force
	Zones          []string
	Shards         int
	OpenCap        int           // queries and subqueries in flight at once
	StreamsPerConn int           // subqueries in flight on one connection
	ConnIdle       time.Duration // a lot store closes a connection that has been idle for so long
	ConnectTimeout time.Duration
	DrainGrace     time.Duration // sends to a draining lot store must have ended within this; 0 if not configured
}

// disconnectMargin is less than the time for which a request may still be sent after its client has disconnected.
const disconnectMargin = 250 * time.Millisecond

// WriteFor is the time-out of a write to a lot store that does not read. What is being written cannot be cancelled, though
// the store may start to drain meanwhile and clients may disconnect.
func (s Settings) WriteFor() time.Duration {
	limit := min(4*s.ConnectTimeout, disconnectMargin)
	if s.DrainGrace > 0 {
		limit = min(limit, s.DrainGrace)
	}
	return limit
}

// Parse parses the settings.
func Parse(text []byte) (Settings, error) {
	var o options
	if err := json.Unmarshal(text, &o); err != nil {
		return Settings{}, fmt.Errorf("settings: not the JSON expected: %w", err)
	}
	f, l, r := o.FamilyInfo, o.Limits, o.Rules
	s := decision.Settings{
		Instances: o.Siblings, Tick: us(o.TickUs), Polling: o.Discovery == "ask",
		Cells: f.Positions, Width: f.Width, Batch: f.Batch, CallCost: us(f.CallUs),
		MaxAttempts: l.MaxAttempts, Hedging: l.SecondCopies, Cancel: l.Cancel,
		HealthChecks:   l.Probes,
		OverQuotaValue: o.OverShareWorth,
		Rules: decision.Rules{
			PollWithin: us(r.AskWithinUs), StartCapacity: r.StartCapacity,
			SlowStart: us(r.RampTimeUs), OverloadMultiple: r.FallMultiple, OverloadSpan: us(r.FallUs),
			BudgetEnabled: r.ExtraPerRequest != nil || r.BudgetFree != nil, BudgetSpan: us(r.BudgetSpanUs),
		},
	}
	if l.RetryAfter {
		s.MaxRetryAfter = us(l.MaxRetryAfterUs)
	}
	if r.BudgetFree != nil {
		s.Rules.BudgetFree = *r.BudgetFree
	}
	if r.ExtraPerRequest != nil {
		s.Rules.BudgetRatio = *r.ExtraPerRequest
	}
	for i := range o.Classes {
		s.Classes = append(s.Classes, o.policyClass(i))
	}
	out := Settings{
		Zones: o.Zones, Shards: f.Shards, OpenCap: l.OpenCap, StreamsPerConn: l.StreamsPerConn,
		ConnIdle: us(l.ConnIdleUs), ConnectTimeout: us(l.ConnectTimeoutUs), DrainGrace: us(r.DrainGraceUs),
	}
	for _, c := range o.Classes {
		out.Classes = append(out.Classes, c.Name)
	}
	for _, t := range o.Tenants {
		s.Tenants = append(s.Tenants, decision.Tenant{PerSecond: t.AllowancePerS})
	}
	out.Policy = s
	return out, nil
}

// policyClass returns the i-th class as the scheduler needs it.
func (o *options) policyClass(i int) decision.Class {
	class, family := o.Classes[i], o.FamilyInfo
	k := decision.Class{
		Deadline:      us(class.DeadlineUs),
		LatencyTarget: us(class.OnTimeUs), Value: class.Worth, DeduplicationWindow: us(class.MemorySpanUs),
		CompleteFraction: valueAt(family.CompleteFrom, i, 1), PartialFraction: valueAt(family.LeastShare, i, 1), MaxAttempts: o.Limits.MaxAttempts,
	}
	if i < len(family.FetchParts) {
		k.Fetch = family.FetchParts[i]
	}
	switch class.Effect {
	case "safe":
		k.Effect = decision.Idempotent
	case "keyed":
		k.Effect = decision.Deduplicated
	default: // an unknown effect counts as the least safe
		k.Effect = decision.NotIdempotent
	}
	return k
}
