package decision

import "time"

// Status is how an attempt ended.
type Status uint8

// The ways in which an attempt may end.
const (
	OK            Status = iota
	Error                // the server answered with an error; the attempt may have run
	Rejected             // the server rejected it for lack of capacity; the attempt never ran
	TimedOut             // no answer within the time-out; the attempt may have run
	ConnectFailed        // no connection could be opened; the attempt never ran
	Reset                // the connection broke; the attempt may have run
	Cancelled            // the scheduler cancelled it; the attempt may have run
	NotSent              // the host did not send it; the attempt never ran
)

// ServerState is the state of a server in the server list.
type ServerState uint8

// The states of a server. Only ready servers are sent new attempts.
const (
	Deregistered ServerState = iota
	Ready
	Draining
)

// ServerInfo is one entry of the server list.
type ServerInfo struct {
	ID      ServerID
	Zone    int // failure domain
	Cell    int // determines which shards the server holds, see Settings.Cells
	State   ServerState
	Nominal float64       // capacity relative to other servers; 0 means 1
	Started time.Duration // when it was last started; 0 for long ago
}

// ListKind is the kind of the entries of a ServerList.
type ListKind uint8

// The kinds of server lists.
const (
	Delta      ListKind = iota // the changed entries only
	FullList                   // the entire list
	Cached                     // the entire list from a cache, which may be stale
	ListFailed                 // none: a call for the list failed, or the subscription broke
)

// Event is something that the host reports. The events of one step are in order of arrival.
type Event interface{ event() }

// QueryArrived reports a new query. A SubqueryArrived follows for each of its Subqueries.
type QueryArrived struct {
	ID            QueryID
	Class, Tenant int
	Key           uint64        // hash of the request; a retry by the client has the same
	Remaining     time.Duration // time until the client times out
	Subqueries    int           // number of subqueries, of the first step if there are two
	// A phased query has two steps, which a planner controls: Planned events determine which subqueries of the first
	// step are sent and how many subqueries the second step has. Fetch is the expected number of the latter.
	Phased bool
	Fetch  int
}

// SubqueryArrived reports one subquery, of the first step or of the second.
type SubqueryArrived struct {
	ID           SubqueryID
	Query        QueryID
	Shard        int
	Weight       float64  // its fraction of the answer; the weights of a step add up to 1
	Deferred     bool     // in the first step of a phased query: not sent until a Planned event requests it
	Preferred    ServerID // server to prefer if it is as good as others; 0 for none
	UsedAttempts int      // attempts already made for the same shard in the first step
}

// Planned reports a decision of a phased query's planner. Request lists subqueries of the first step to send. Skip
// lists subqueries that cannot change the result, which count as done. Fetch is the number of subqueries of the
// second step, set once the first step has been answered.
type Planned struct {
	Query         QueryID
	Request, Skip []SubqueryID
	Fetch         int
}

// Outcome reports how an attempt ended. There is exactly one for each Send.
type Outcome struct {
	Subquery SubqueryID
	Server   ServerID
	Attempt  int
	Status   Status
	Latency  time.Duration
}

// ClientDisconnected reports that the client of a query has disconnected. It ends the query and its subqueries.
type ClientDisconnected struct{ Query QueryID }

// ServerList reports the server list, its changes, or a failure to get them.
type ServerList struct {
	Kind    ListKind
	Servers []ServerInfo
}

// HealthChecked reports the result of a HealthCheck: OK if the server answered it in time.
type HealthChecked struct {
	Server ServerID
	OK     bool
}

// SettingsChanged replaces the settings. Cells, Width and the indices of existing classes must not change. Queries in
// progress keep the class settings that they arrived under.
type SettingsChanged struct{ Settings Settings }

// Learned reports what another scheduler has learned about servers that are already listed. PerSecond is how many
// subqueries per second all servers together answered for it.
type Learned struct {
	Records   []Record
	PerSecond float64
}

// Wake reports that the time of the last WakeAt has come.
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
