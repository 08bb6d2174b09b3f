// Package decision is the interface of the decision module, package policy: settings, what a host tells of (events), what it
// is to do (actions), and what is handed to a successor. It holds types and the check of settings; it decides nothing.
package decision

import (
	"fmt"
	"slices"
	"time"
)

// QueryID, PartID and ServerID are opaque: nothing is read from their values.
type (
	QueryID  uint64
	PartID   uint64
	ServerID uint32
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

// Status is how an attempt ended.
type Status uint8

// The ways an attempt may end.
const (
	OK            Status = iota
	Error                // the server answered with an error; it may have run
	Full                 // turned away unseen; it never ran
	TimedOut             // no answer in time; it may have run
	ConnectFailed        // no connection; it never ran
	Reset                // the connection dropped; it may have run
	Cancelled            // cancelled; it may have run
	Moot                 // never sent
)

// ServerState is what the list says of a server.
type ServerState uint8

// The states a server may be listed in.
const (
	Gone ServerState = iota
	Ready
	Draining
)

// ServerInfo is one line of the server list.
type ServerInfo struct {
	ID      ServerID
	Zone    int
	Cell    int
	State   ServerState
	Nominal float64       // size, to be set against other servers'; 0 counts as 1
	Started time.Duration // clock time of its last start; 0 for a long time back
}

// ListKind says how a ServerList is to be read.
type ListKind uint8

// The kinds of list news.
const (
	Delta      ListKind = iota // changed lines only
	Whole                      // the entire list
	Cached                     // the entire list as last seen, perhaps stale
	ListFailed                 // a call failed or the subscription dropped; no lines
)

// Event is something that happened. Events of one Step are in order of arrival.
type Event interface{ event() }

// The events.
type (
	// QueryArrived hands over a query; its parts follow as PartArrived, Parts of them.
	QueryArrived struct {
		ID            QueryID
		Class, Tenant int
		Key           uint64
		Left          time.Duration // time until the client gives this try up
		Parts         int
		// Phased queries have two steps, led by a planner: Planned says what is asked in the first, and how many
		// parts the second has. Fetch is how many are expected.
		Phased bool
		Fetch  int
	}
	// PartArrived hands over one part, of the first step or of the second.
	PartArrived struct {
		ID     PartID
		Query  QueryID
		Shard  int
		Weight float64
		Later  bool     // of a phased query's first step: not sent before Planned asks for it
		Prefer ServerID // 0 for none; where it is as good as others, it gets the part
		Used   int      // attempts that the part's shard has had in the first step
	}
	// Planned brings what a phased query's planner decided: parts of the first step to Ask, parts to Skip as they
	// cannot change the page, which counts as in, and after the first Answer how many parts to Fetch.
	Planned struct {
		Query     QueryID
		Ask, Skip []PartID
		Fetch     int
	}
	// Outcome tells how one attempt ended; each Send gets exactly one.
	Outcome struct {
		Part    PartID
		Server  ServerID
		Attempt int
		Status  Status
		Took    time.Duration
	}
	// ClientLeft tells that a query's client is gone; its parts end with it.
	ClientLeft struct{ Query QueryID }
	// ServerList is news of the servers.
	ServerList struct {
		Kind    ListKind
		Servers []ServerInfo
	}
	// Probed tells how a Probe ended: OK if the server answered it in time.
	Probed struct {
		Server ServerID
		OK     bool
	}
	// Retuned brings other settings. Cells, Width and the numbers of the classes told before stay; queries in
	// hand keep the class that they came under.
	Retuned struct{ Settings Settings }
	// Learned brings what another mixer knew of servers already listed, and its PerSecond.
	Learned struct {
		Records   []Record
		PerSecond float64
	}
	// Wake is a WakeAt come due.
	Wake struct{}
)

func (QueryArrived) event() {}

func (PartArrived) event() {}

func (Outcome) event() {}

func (ClientLeft) event() {}

func (ServerList) event() {}

func (Probed) event() {}

func (Planned) event() {}

func (Wake) event() {}

func (Retuned) event() {}

func (Learned) event() {}

// Action is something the host is to do, in order, at the Step's time.
type Action interface{ action() }

// The actions.
type (
	// Send launches an attempt; attempts of a part are numbered from 0 in Send order. Sends of one
	// Step to one server may share a call.
	Send struct {
		Part   PartID
		Server ServerID
		Limit  time.Duration // the attempt's time-out
	}
	// Cancel stops waiting for an attempt.
	Cancel struct {
		Part    PartID
		Attempt int
	}
	// Answer answers a query from the parts that are in. Final is false for the first of two steps.
	Answer struct {
		Query        QueryID
		Whole, Final bool
	}
	// Refuse ends a query and promises that trying again is harmless, best after RetryAfter.
	Refuse struct {
		Query      QueryID
		RetryAfter time.Duration
	}
	// Fail ends a query and promises nothing.
	Fail struct{ Query QueryID }
	// Probe asks a server whether it is there, beside its queue.
	Probe struct{ Server ServerID }
	// CloseIdle closes the connections to a server that nothing is out on; the next Send opens a new one.
	CloseIdle struct{ Server ServerID }
	// WakeAt asks for a Wake at the first chance at or after At.
	WakeAt struct{ At time.Duration }
	// Subscribe asks the server list for its changes from now on.
	Subscribe struct{}
	// Log is a line for the on-call staff.
	Log struct{ Text string }
)

func (Send) action() {}

func (Cancel) action() {}

func (Answer) action() {}

func (Refuse) action() {}

func (Fail) action() {}

func (Probe) action() {}

func (CloseIdle) action() {}

func (WakeAt) action() {}

func (Subscribe) action() {}

func (Log) action() {}

// Record is what a mixer knows of a server, to be handed to a successor. Spans are ages, as clocks differ.
type Record struct {
	Server           ServerID
	Answers          []float64 // answer times by bucket, faded to now
	Latency, Failing float64   // smoothed answer time in seconds, 0 for none, and share of failures
	Cap              float64
	ColdFor          time.Duration // since it was seen to start over, -1 for never
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
