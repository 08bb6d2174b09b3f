package decision

import (
	"fmt"
	"slices"
	"time"
)

// Effect says what a repeated execution of a subquery does.
type Effect uint8

// The effects of a class.
const (
	Idempotent    Effect = iota // repeats are harmless
	Deduplicated                // servers drop repeats within Class.Window
	NotIdempotent               // a repeat would take effect twice
)

// Class describes one class of query.
type Class struct {
	LatencyTarget time.Duration // an answer within this earns the full Value
	Deadline      time.Duration // the time-out of a client over all its retries; 0 if not known
	Value         float64       // value of a complete answer, relative to other classes
	Effect        Effect
	Window        time.Duration // Deduplicated: repeats are dropped this long after the first attempt
	Need          float64       // fraction of the subqueries' weight that makes a complete answer
	Floor         float64       // least fraction of the subqueries' weight for any answer
	Fetch         int           // subqueries of a second step, 0 for no second step
	MaxAttempts   int           // most attempts for one subquery, the first included; 0 for what Settings says
}

// Tenant describes one tenant of the service.
type Tenant struct {
	PerSecond float64 // queries per second, over all instances, that are within its quota
}

// Rules are the parameters of the rules that the operator sets.
type Rules struct {
	PollWithin       time.Duration // with Settings.Polling: without a subscription, poll the list at least this often
	StartCapacity    float64       // fraction of its capacity that a server starts with
	SlowStart        time.Duration // a started server has its full capacity after this
	OverloadMultiple float64       // sent more than this multiple of its capacity ...
	OverloadSpan     time.Duration // ... for this long, a server in slow start fails
	BudgetOn         bool          // whether retries and hedged requests are rationed
	BudgetFree       float64       // further attempts allowed in any span, whatever the traffic
	BudgetRatio      float64       // and this many for each query and subquery received in the span
	BudgetSpan       time.Duration
}

// Settings are what the operator configures.
type Settings struct {
	Instances      int           // schedulers that share the servers, this one included
	Tick           time.Duration // time between steps
	Polling        bool          // the server list answers only when asked
	Cells          int           // shard s is held by the servers of cells s to s+Width-1, modulo Cells
	Width          int
	Batch          int           // most subqueries in one call
	CallCost       time.Duration // work that a call costs the server beside its subqueries; 0 for none
	MaxAttempts    int           // attempts for one subquery where its class says nothing, the first included
	Hedging        bool          // a subquery may have two attempts in flight
	Cancel         bool          // attempts may be cancelled
	HealthChecks   bool          // servers answer health checks
	MaxRetryAfter  time.Duration // longest back-off that a client obeys
	OverQuotaValue float64       // value of a query beyond its tenant's quota
	Connections    int           // connections that the host may hold to all servers together; 0 for no bound
	Classes        []Class
	Tenants        []Tenant
	Rules          Rules
}

// WithDefaults returns the settings with MaxAttempts set in each class.
func (set Settings) WithDefaults() Settings {
	set.Classes = slices.Clone(set.Classes)
	for i := range set.Classes {
		if c := &set.Classes[i]; c.MaxAttempts == 0 {
			c.MaxAttempts = set.MaxAttempts
		}
	}
	return set
}

// Check returns an error that names a field no scheduler could work with.
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
		if c.LatencyTarget <= 0 || c.Need <= 0 || c.Need > 1 || c.Floor <= 0 || c.Floor > c.Need || c.Fetch < 0 || c.MaxAttempts < 0 {
			return fmt.Errorf("settings: Classes[%d] has an impossible LatencyTarget, Need, Floor, Fetch or MaxAttempts", i)
		}
	}
	return nil
}
