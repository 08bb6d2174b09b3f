package decision

import "time"

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
