// Package settings reads the operator's settings text, for the daemon and the simulator's adapter alike.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// options mirrors the settings text. Keys not named here are skipped; pointers tell absent keys.
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

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func at(list []float64, i int, absent float64) float64 {
	if i < len(list) {
		return list[i]
	}
	return absent
}

// Settings are what the operator states: the module's part, and what only a daemon on sockets needs.
type Settings struct {
	Policy         decision.Settings
	Classes        []string // names, in the order of Policy.Classes
	Dropped        []bool   // of those, the ones kept only for requests in hand; the rest are in force
	Zones          []string
	Shards         int
	OpenCap        int           // queries and parts held at once
	StreamsPerConn int           // parts that one connection carries at once
	ConnIdle       time.Duration // a lot store closes a connection idle for so long
	ConnectTimeout time.Duration
	DrainGrace     time.Duration // sends to a lot store that drains must have ended so long after that is told; 0 for not stated
}

// leftFor is less than the time for which a request may still be sent on whose client has left.
const leftFor = 250 * time.Millisecond

// WriteFor is how long a lot store that does not read is waited for. What is being written to it cannot be called off,
// though the store may be told to drain meanwhile and clients leave.
func (s Settings) WriteFor() time.Duration {
	most := min(4*s.ConnectTimeout, leftFor)
	if s.DrainGrace > 0 {
		most = min(most, s.DrainGrace)
	}
	return most
}

// Parse translates the settings text.
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
			BudgetOn: r.ExtraPerRequest != nil || r.BudgetFree != nil, BudgetSpan: us(r.BudgetSpanUs),
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
	for i, c := range o.Classes {
		k := decision.Class{
			Deadline:      us(c.DeadlineUs),
			LatencyTarget: us(c.OnTimeUs), Value: c.Worth, Window: us(c.MemorySpanUs),
			Need: at(f.CompleteFrom, i, 1), Floor: at(f.LeastShare, i, 1), MaxAttempts: l.MaxAttempts,
		}
		if i < len(f.FetchParts) {
			k.Fetch = f.FetchParts[i]
		}
		switch c.Effect {
		case "safe":
			k.Effect = decision.Idempotent
		case "keyed":
			k.Effect = decision.Deduplicated
		default: // what is not known is taken for the worst
			k.Effect = decision.NotIdempotent
		}
		s.Classes = append(s.Classes, k)
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
