package decision

import (
	"fmt"
	"slices"
	"time"
)

// Effect is the effect of executing a subquery more than once.
type Effect uint8

// The effects of a class.
const (
	Idempotent    Effect = iota // repeats are harmless
	Deduplicated                // servers drop repeats for a time, see Class
	NotIdempotent               // a repeat takes effect again
)

// Class describes one class of query.
type Class struct {
	LatencyTarget       time.Duration // a complete answer within this has the full Value
	Deadline            time.Duration // time-out of a client over all its retries; 0 if not known
	Value               float64       // value of a complete answer, relative to other classes
	Effect              Effect
	DeduplicationWindow time.Duration // Deduplicated: how long after the first attempt servers drop repeats
	CompleteFraction    float64       // fraction of the subqueries' weight that makes a complete answer
	PartialFraction     float64       // least fraction of the subqueries' weight for a partial answer
	Fetch               int           // largest number of subqueries of the second step; 0 for a single step
	MaxAttempts         int           // most attempts for one subquery, including the first; 0 for Settings.MaxAttempts
}

// Tenant describes one tenant of the service.
type Tenant struct {
	PerSecond float64 // quota in queries per second over all instances
}

// Rules are the parameters of scheduling rules that the operator sets.
type Rules struct {
	PollWithin       time.Duration // with Settings.Polling: longest time between polls of the list while not subscribed
	StartCapacity    float64       // fraction of its capacity that a server starts with
	SlowStart        time.Duration // time until a started server has its full capacity
	OverloadMultiple float64       // a server in slow start fails if it is sent more than this multiple of its capacity ...
	OverloadSpan     time.Duration // ... for this long
	BudgetEnabled    bool          // whether further attempts are rationed by the retry budget below
	BudgetFree       float64       // further attempts allowed in any span, independent of traffic
	BudgetRatio      float64       // further attempts allowed in addition for each query and subquery received in the span
	BudgetSpan       time.Duration
}

// Settings are the settings of a scheduler.
type Settings struct {
	Instances      int           // schedulers that share the servers, including this one
	Tick           time.Duration // least time between steps
	Polling        bool          // the server list has to be polled or subscribed to
	Cells          int           // the replicas of shard s are the servers of cells s to s+Width-1, modulo Cells
	Width          int
	Batch          int           // most subqueries in one call
	CallCost       time.Duration // work of a server per call, in addition to its subqueries; 0 for none
	MaxAttempts    int           // most attempts for one subquery, including the first, unless its class sets them
	Hedging        bool          // a subquery may have two attempts in flight
	Cancel         bool          // attempts may be cancelled
	HealthChecks   bool          // servers answer health checks
	MaxRetryAfter  time.Duration // longest RetryAfter that clients obey
	OverQuotaValue float64       // value of a query beyond its tenant's quota
	Connections    int           // most connections that the host may hold to all servers together; 0 for no limit
	Classes        []Class
	Tenants        []Tenant
	Rules          Rules
}

// WithDefaults returns a copy of the settings in which every class has its MaxAttempts set.
func (set Settings) WithDefaults() Settings {
	set.Classes = slices.Clone(set.Classes)
	for i := range set.Classes {
		if c := &set.Classes[i]; c.MaxAttempts == 0 {
			c.MaxAttempts = set.MaxAttempts
		}
	}
	return set
}

// Check returns an error that names the first invalid field, or nil.
func (set Settings) Check() error {
	switch {
	case len(set.Classes) == 0:
		return fmt.Errorf("settings: Classes is empty")
	case set.Cells < 1:
		return fmt.Errorf("settings: Cells is %d, want 1 or more", set.Cells)
	case set.Width < 1 || set.Width > set.Cells:
		return fmt.Errorf("settings: Width is %d, want 1 to Cells", set.Width)
	case set.Instances < 1:
		return fmt.Errorf("settings: Siblings is %d, want 1 or more", set.Instances)
	case set.MaxAttempts < 1:
		return fmt.Errorf("settings: MaxAttempts is %d, want 1 or more", set.MaxAttempts)
	case set.Tick <= 0:
		return fmt.Errorf("settings: Tick is %v, want more than 0", set.Tick)
	}
	for i, c := range set.Classes {
		if c.LatencyTarget <= 0 || c.CompleteFraction <= 0 || c.CompleteFraction > 1 || c.PartialFraction <= 0 || c.PartialFraction > c.CompleteFraction || c.Fetch < 0 || c.MaxAttempts < 0 {
			return fmt.Errorf("settings: Classes[%d]: latency target, fraction of a complete or partial answer, Fetch or MaxAttempts is out of range", i)
		}
	}
	return nil
}
