package decision

import (
	"fmt"
	"slices"
	"time"
)

// Effect says what a repeat of a part does.
type Effect uint8

// The effects a class may have.
const (
	Safe   Effect = iota // repeats are harmless
	Keyed                // repeats are dropped within Class.Window
	Unsafe               // a repeat would take effect twice
)

// Class describes one class of query.
type Class struct {
	Aim      time.Duration // answered within this it earns full worth
	Deadline time.Duration // a client's whole wait over all its tries; 0 if not known
	Worth    float64       // worth of a whole answer
	Effect   Effect
	Window   time.Duration // Keyed: repeats are dropped this long after the first attempt
	Need     float64       // share of the parts' weight that makes a whole answer
	Floor    float64       // least share of the parts' weight for any answer
	Fetch    int           // parts of a second step, 0 for none
	// MaxAttempts is the most attempts for one part, the first included; 0 for what the Settings say.
	MaxAttempts int
}

// Tenant describes one sharer of the service.
type Tenant struct {
	PerSecond float64 // queries a second, over all mixers, that count as within its share
}

// Rules are the figures of the rules that the operator sets.
type Rules struct {
	AskWithin     time.Duration // ask-mode lists: without a subscription, ask at least this often
	StartCapacity float64       // share of its capacity that a server starts with
	Ramp          time.Duration // a started server is warm after this
	FallMultiple  float64       // sent more than this multiple of what it can do ...
	FallSpan      time.Duration // ... for this long, a cold server falls over
	BudgetOn      bool          // whether further attempts are rationed
	BudgetFree    float64       // further attempts allowed in any span, however little came in
	BudgetShare   float64       // and this many for each query and part taken in the span
	BudgetSpan    time.Duration
}

// Settings are what the operator tells a mixer when it starts.
type Settings struct {
	Siblings       int // mixers in all, this one included
	Tick           time.Duration
	AskMode        bool // the server list answers only when asked
	Cells          int  // shard s is held by the servers of cells s .. s+Width-1, modulo Cells
	Width          int
	Batch          int           // most parts in one call
	CallCost       time.Duration // work a call costs the server beside its parts
	MaxAttempts    int           // attempts for one part where its class says nothing, the first included
	SecondCopies   bool          // a part may have two attempts out at once
	Cancel         bool          // attempts may be cancelled
	Probes         bool          // servers may be probed
	MaxRetryAfter  time.Duration // longest wait a client will obey
	OverShareWorth float64       // worth of a query past its tenant's share
	Connections    int           // that the host may hold to all servers together; 0 for no bound
	Classes        []Class
	Tenants        []Tenant
	Rules          Rules
}

// Filled gives each class its own most attempts.
func (set Settings) Filled() Settings {
	set.Classes = slices.Clone(set.Classes)
	for i := range set.Classes {
		if c := &set.Classes[i]; c.MaxAttempts == 0 {
			c.MaxAttempts = set.MaxAttempts
		}
	}
	return set
}

// Check names the field that no mixer could work with.
func (set Settings) Check() error {
	switch {
	case len(set.Classes) == 0:
		return fmt.Errorf("settings: Classes is empty")
	case set.Cells < 1:
		return fmt.Errorf("settings: Cells is %d, want 1 or more", set.Cells)
	case set.Width < 1 || set.Width > set.Cells:
		return fmt.Errorf("settings: Width is %d, want 1 to Cells", set.Width)
	case set.Siblings < 1:
		return fmt.Errorf("settings: Siblings is %d, want 1 or more", set.Siblings)
	case set.MaxAttempts < 1:
		return fmt.Errorf("settings: MaxAttempts is %d, want 1 or more", set.MaxAttempts)
	case set.Tick <= 0:
		return fmt.Errorf("settings: Tick is %v, want more than 0", set.Tick)
	}
	for i, c := range set.Classes {
		if c.Aim <= 0 || c.Need <= 0 || c.Need > 1 || c.Floor <= 0 || c.Floor > c.Need || c.Fetch < 0 || c.MaxAttempts < 0 {
			return fmt.Errorf("settings: Classes[%d] has an impossible Aim, Need, Floor, Fetch or MaxAttempts", i)
		}
	}
	return nil
}
