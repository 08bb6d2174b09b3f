package decision

import "time"

// Status is how an attempt ended.
type Status uint8

// The ways an attempt may end.
const (
	OK            Status = iota
	Error                // the server answered with an error; the attempt may have run
	Rejected             // the server had no capacity; the attempt never ran
	TimedOut             // no answer in time; the attempt may have run
	ConnectFailed        // no connection; the attempt never ran
	Reset                // the connection broke; the attempt may have run
	Cancelled            // the attempt may have run
	NotSent              // the attempt never left the host
)

// ServerState is the state of a server in the server list.
type ServerState uint8

// The states of a server. Only a ready one is sent anything new.
const (
	Deregistered ServerState = iota
	Ready
	Draining
)

// ServerInfo is one entry of the server list.
type ServerInfo struct {
	ID      ServerID
	Zone    int // failure domain
	Cell    int // place in the ring: the server holds shards by its cell, see Settings.Cells
	State   ServerState
	Nominal float64       // capacity relative to other servers; 0 counts as 1
	Started time.Duration // clock time of its last start; 0 for long ago
}

// ListKind says how a ServerList is to be read.
type ListKind uint8

// The kinds of server lists.
const (
	Delta      ListKind = iota // only the entries that have changed
	FullList                   // the entire list
	Cached                     // the entire list as last seen, perhaps stale
	ListFailed                 // a call failed or the subscription broke; no entries
)

// Event is something that happened. The events of one step are in order of arrival.
type Event interface{ event() }

// QueryArrived reports a new query. As many SubqueryArrived as Subqueries says follow it.
type QueryArrived struct {
	ID            QueryID
	Class, Tenant int
	Key           uint64        // hash of what it asks for; a retry of the client has the same
	Remaining     time.Duration // until the client times out
	Subqueries    int
	// Phased queries have two steps, led by a planner: Planned says what is sent in the first, and how many
	// subqueries the second has. Fetch is how many are expected.
	Phased bool
	Fetch  int
}

// SubqueryArrived reports one subquery, of the first step or of the second.
type SubqueryArrived struct {
	ID     SubqueryID
	Query  QueryID
	Shard  int
	Weight float64  // its fraction of the answer; those of a step add up to 1
	Later  bool     // of a phased query's first step: not sent before Planned requests it
	Prefer ServerID // chosen where it is as good as others; 0 for none
	Used   int      // attempts already made for the shard in the first step
}

// Planned reports what a phased query's planner decided: subqueries of the first step to Request, subqueries to Skip
// as they cannot change the result, which count as done, and after the first Answer how many subqueries to Fetch.
type Planned struct {
	Query         QueryID
	Request, Skip []SubqueryID
	Fetch         int
}

// Outcome reports how one attempt ended. Each Send gets exactly one.
type Outcome struct {
	Subquery SubqueryID
	Server   ServerID
	Attempt  int
	Status   Status
	Latency  time.Duration
}

// ClientDisconnected reports that a query's client has disconnected. Its subqueries end with it.
type ClientDisconnected struct{ Query QueryID }

// ServerList reports changes of the server list.
type ServerList struct {
	Kind    ListKind
	Servers []ServerInfo
}

// HealthChecked reports the result of a HealthCheck: OK if the server answered it in time.
type HealthChecked struct {
	Server ServerID
	OK     bool
}

// SettingsChanged replaces the settings. Cells, Width and the numbers of known classes must stay. Queries in flight
// keep the class that they arrived under.
type SettingsChanged struct{ Settings Settings }

// Learned reports what another scheduler has learned of servers that are already listed, and its PerSecond: how many
// subqueries per second all servers together answered it.
type Learned struct {
	Records   []Record
	PerSecond float64
}

// Wake reports that the time of a WakeAt has come.
type Wake struct{}

func (QueryArrived) event() {}

func (SubqueryArrived) event() {}

func (Planned) event() {}

func (Outcome) event() {}

func (ClientDisconnected) event() {}

func (ServerList) event() {}

func (HealthChecked) event() {}

func (SettingsChanged) event() {}

func (Learned) event() {}

func (Wake) event() {}
