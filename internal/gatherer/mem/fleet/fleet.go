// Package fleet is what a mixer knows: tables of queries, parts, attempts, servers and zones, and how they are kept.
// It decides nothing, does no I/O and keeps no clock: every parameter comes from package policy, by Tuning or by call.
package fleet

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/mix"
	"pulleygw.example/pulleygw/internal/gatherer/spread"
	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// State is what one mixer knows, and what it has been told. It is not safe for concurrent use.
type State struct {
	Tuning           Tuning
	Set              mix.Settings
	RNG              *rand.Rand
	Now              time.Duration
	Acts             []mix.Action
	Queries          map[mix.QueryID]*Query
	Live             []*Query // in order of arrival, ended ones until the next sweep
	Parts            map[mix.PartID]*Part
	Servers          map[mix.ServerID]*Server
	Order            []*Server   // by ID
	Replicas         [][]*Server // of the shards that begin at a cell, by ID
	Candidates       []*Server   // of the choice at hand
	Round            uint64      // number of that choice
	Product          []float64   // of the CDFs at hand
	Alone            [1]*Part
	Scratch          []float64
	Answered         curve.Sliding    // parts answered by any server
	Begun            time.Duration    // first step
	News             bool             // the pool has news since poolCDF was made
	Pool             *curve.Histogram // all servers' answers
	PoolCDF          []float64
	Surveyed         time.Duration
	Typical, TailAge float64 // quantiles of the pool, seconds
	Median           float64 // of the servers' smoothed answer times
	Base             float64 // the pool's median, slow to rise
	Carried          float64 // parts a second that a warm server of size 1 answers us
	Seq              uint64
	Stalled          bool // this step comes long after it was due
	Turn             uint64
	WakeAt, Wanted   time.Duration

	Zones    []Zone
	Suspects map[uint64]time.Duration // by likeness, when a query last brought servers down
	Alarm    bool                     // servers have crashed of late, here and there

	Taken, Extras   curve.Sliding
	Decided, Missed curve.Sliding
	Shed            float64
	ShedAt, WaitAt  time.Duration
	Wait            float64 // smoothed wait at sound servers, seconds
	Cost            float64 // smoothed parts of a query by its worth
	Shedding        bool
	Lost            [2]float64 // smoothed share lost, on busy and on idle connections
	IdleDead        bool       // idle connections lose what is sent on them

	Subscribed bool
	AskAt      time.Duration
	AskWait    time.Duration
	ListBad    bool
}

// Tuning is what package policy decides of how tables and records are kept.
type Tuning struct {
	Tail           float64       // percentile of the tails that are read off records
	StartTail      float64       // of the least aim: the top of the start curve
	UsualSpan      time.Duration // what servers carry is counted so long
	SurveyGap      time.Duration // between looks at every server
	CapMin, CapMax float64       // bounds of a server's cap
}

// New makes empty tables.
func New(set mix.Settings, rng *rand.Rand, t Tuning) State {
	return State{
		Tuning: t, Set: set.Filled(), RNG: rng, Queries: map[mix.QueryID]*Query{}, Parts: map[mix.PartID]*Part{},
		Servers: map[mix.ServerID]*Server{}, Pool: curve.NewRecord(), Suspects: map[uint64]time.Duration{},
		Replicas: make([][]*Server, set.Cells), AskWait: askFirst, AskAt: -1, Surveyed: -1, Begun: math.MaxInt64,
	}
}

// Zone is what is known of the way to a zone's servers.
type Zone struct {
	Number  int
	Servers []*Server // listed and ready, by ID
	Slow    int       // outcomes in a row that were not quick
	Stuck   int       // parts out there for longer than a quick one takes
	Fails   int       // probes in a row that failed
	ClearTo time.Duration
	ProbeAt time.Duration
	Next    int // whose turn to be probed it is
	Dead    int // servers of it that crashed of late
	Far     bool
}

// Query is a query in hand. Times are the host's clock, as everywhere here.
type Query struct {
	mix.QueryArrived
	Terms      *mix.Class
	At, End    time.Duration // arrival, and when the client gives up
	AimAt      time.Duration // arrival + aim, never past end
	Current    []*Part       // of the current step
	All        []*Part       // of both steps
	Step       int
	Admitted   bool
	FirstWhole bool
	First      float64       // share that the first step ended with
	Sure       bool          // a part has come back
	Deaths     int           // crashes that it was out at, those of one sending counted once
	DiedAt     time.Duration // the last of them
	Ended      bool
	Want       int // parts of this step still to be handed over
}

// Part is one shard's share of a query.
type Part struct {
	mix.PartArrived
	Q      *Query
	Server *Server // whose queue it is in, or chosen for
	tailguard.Place
	Index    int     // place in the queue, -1 when not held
	Late     bool    // counted as a miss
	Spare    bool    // not asked for unless others are late or lost
	Replaced bool    // a spare was sent in its place
	Strength float64 // of its shard's replicas
	Done     bool
	Attempts []*Attempt
	MayRun   time.Duration // send time of the first attempt that may have run, -1 for none
	Dead     bool          // can no longer be answered
	Cheap    bool          // its last attempt was an error at once: another is no load to speak of
}

// Attempt is one sending of a part.
type Attempt struct {
	P           *Part
	S           *Server
	Number      int
	At          time.Duration
	SentOut     int  // parts of ours out at the server when it was sent
	Spared      bool // known never to have run
	Idle        bool // sent on a connection that had been idle
	Live, Moved bool // out, and called off to be sent elsewhere
}

// Server is what is known of a server, listed or not.
type Server struct {
	mix.ServerInfo
	Listed          bool
	Out             []*Attempt // in send order
	Held            []*Part
	Record          *curve.Histogram
	Lat             float64 // smoothed answer time, seconds; 0 when unheard
	LatAt           time.Duration
	Bad             float64 // smoothed share of failures
	BadAt, FailedAt time.Duration
	Cap             float64
	CapAt           time.Duration
	Turn            uint64        // number of its last turn
	Lead            float64       // turns by which it leads among equals
	SentAt          time.Duration // of the last part sent to it
	EndAt           time.Duration // when an attempt last ended there
	AnswerAt        time.Duration // when something last came from it
	PassedAt        time.Duration // when the latest sent of what came was sent
	GoneAt          time.Duration // when the list last named it
	DiedAt          time.Duration // when it was last seen to have crashed
	ErrorTook       float64       // smoothed time of its errors, seconds; 0 for none
	Errors          float64       // smoothed share of errors among its answers
	FullTo          time.Duration // it turned a part away: until when it is left alone
	ResetAt         time.Duration // when a connection to it last broke under a part
	WasBad          bool
	ColdFrom        time.Duration
	Curve           []float64 // blend of record and pool, anew where not fresh
	Patience        float64   // seconds a part may be out before the server is skipped
	Fresh           bool
	Round           uint64 // of the choice that the next two belong to
	Cover           int    // parts of that choice that it holds
	Able            bool   // whether it may be sent anything
	Reserve         bool   // not of this mixer's subset
}

// LatNow is a server's smoothed answer time, fading to the median.
func (s *Server) LatNow(median float64, now, half time.Duration) float64 {
	if s.Lat == 0 {
		return median
	}
	return median + curve.Faded(s.Lat-median, now-s.LatAt, half)
}

// Erred takes in an error that took so many seconds.
func (s *Server) Erred(took, tookWeight, shareWeight float64) {
	s.ErrorTook = cmp.Or(s.ErrorTook, took)
	s.ErrorTook += tookWeight * (took - s.ErrorTook)
	s.Errors += shareWeight * (1 - s.Errors)
}

// Heard takes in an outcome from the zone: one that was not quick, or one that proves the way.
func (z *Zone) Heard(slow, proves bool) {
	switch {
	case slow:
		z.Slow++
	case proves:
		z.Slow = 0
	}
}

// Gather makes the candidates of a choice: the replicas of the parts' shards that are able to take one, each with how many
// of the parts it could take in a call.
func (m *State) Gather(parts []*Part, able func(*Server) bool) {
	m.Round, m.Candidates = m.Round+1, m.Candidates[:0]
	for _, p := range parts {
		for _, s := range m.Replicas[p.Shard%m.Set.Cells] {
			if s.Round != m.Round {
				s.Round, s.Cover, s.Able = m.Round, 0, able(s)
				if s.Able {
					m.Candidates = append(m.Candidates, s)
				}
			}
			if !OutAt(p, s) {
				s.Cover = min(s.Cover+1, max(m.Set.Batch, 1))
			}
		}
	}
}

// queue is a server's held parts as a heap, in the order of release.
type queue struct{ *Server }

func (q queue) Len() int           { return len(q.Held) }
func (q queue) Less(i, j int) bool { return q.Held[i].Place.Before(q.Held[j].Place) }
func (q queue) Swap(i, j int) {
	q.Held[i], q.Held[j] = q.Held[j], q.Held[i]
	q.Held[i].Index, q.Held[j].Index = i, j
}
func (q queue) Push(x any) {
	p := x.(*Part)
	p.Index = len(q.Held)
	q.Held = append(q.Held, p)
}
func (q queue) Pop() any {
	last := len(q.Held) - 1
	p := q.Held[last]
	q.Held[last] = nil
	q.Held = q.Held[:last]
	p.Index = -1
	return p
}

// Hold puts a part into the server's queue.
func (s *Server) Hold(p *Part) {
	p.Server = s
	heap.Push(queue{s}, p)
}

// Unhold takes a part out of it, if it is in.
func (s *Server) Unhold(p *Part) {
	if p.Index >= 0 {
		heap.Remove(queue{s}, p.Index)
	}
}

// Next takes the first part out of it.
func (s *Server) Next() *Part { return heap.Pop(queue{s}).(*Part) }

// Reorder puts a held part whose deadline has changed where it belongs.
func (s *Server) Reorder(p *Part) { heap.Fix(queue{s}, p.Index) }

// Drop takes an attempt off the server's books.
func (s *Server) Drop(a *Attempt) {
	s.Out = slices.DeleteFunc(s.Out, func(x *Attempt) bool { return x == a })
}

// Holds says whether a server holds a shard.
func (m *State) Holds(s *Server, shard int) bool {
	return (s.Cell-shard%m.Set.Cells+m.Set.Cells)%m.Set.Cells < m.Set.Width
}

// Apply brings the list up to date; change is told of each line before it takes effect.
func (m *State) Apply(e mix.ServerList, change func(*Server, mix.ServerInfo)) {
	old := map[mix.ServerID]bool{}
	if e.Kind != mix.Delta {
		for _, s := range m.Order {
			old[s.ID], s.Listed = s.Listed, false
		}
	}
	for _, i := range e.Servers {
		if i.Cell < 0 || i.Cell >= m.Set.Cells || i.Zone < 0 {
			continue
		}
		if i.Nominal <= 0 {
			i.Nominal = 1
		}
		s := m.Servers[i.ID]
		if s == nil {
			s = &Server{Record: curve.NewRecord()}
			m.Servers[i.ID] = s
			m.Order = append(m.Order, s)
			s.Started = -1
		}
		s.Listed = s.Listed || old[i.ID]
		change(s, i)
		s.GoneAt = m.Now
		s.ServerInfo, s.Listed = i, i.State != mix.Gone
	}
	m.Index()
	for _, s := range m.Order {
		if !s.Listed || s.State != mix.Ready { // nothing new at once: held parts go elsewhere
			for len(s.Held) > 0 {
				p := s.Next()
				p.Server = nil
			}
		}
	}
}

// Index sorts the servers and lists, for each cell, those that hold the shards that begin there.
func (m *State) Index() {
	slices.SortFunc(m.Order, func(a, b *Server) int { return int(int64(a.ID) - int64(b.ID)) })
	for i := range m.Replicas {
		m.Replicas[i] = m.Replicas[i][:0]
	}
	for i := range m.Zones {
		m.Zones[i].Servers = m.Zones[i].Servers[:0]
	}
	for _, s := range m.Order {
		for len(m.Zones) <= s.Zone {
			m.Zones = append(m.Zones, Zone{Number: len(m.Zones)})
		}
		if z := &m.Zones[s.Zone]; s.Listed && s.State == mix.Ready {
			z.Servers = append(z.Servers, s)
		}
		s.Reserve = false
		for j := 0; s.Listed && j < m.Set.Width; j++ {
			first := (s.Cell - j + m.Set.Cells) % m.Set.Cells
			m.Replicas[first] = append(m.Replicas[first], s)
		}
	}
}

// Do adds to what the host is to do.
func (m *State) Do(a mix.Action) { m.Acts = append(m.Acts, a) }

// Log adds a line for the on-call staff.
func (m *State) Log(format string, args ...any) { m.Do(mix.Log{Text: fmt.Sprintf(format, args...)}) }

// Asking says whether the list is still to be subscribed to.
func (m *State) Asking() bool { return m.Set.AskMode && !m.Subscribed }

// KeepSubset makes a reserve of the servers that this mixer needs least: of each shard's ready and warm ones those past
// the size that the host's connections and the number of mixers allow, by a lead that each draws for itself.
func (m *State) KeepSubset(uneven float64, warmth func(*Server) float64) {
	servers, replicas := 0, 1
	for _, list := range m.Replicas {
		replicas = max(replicas, len(list))
	}
	for _, s := range m.Order {
		if s.Listed {
			servers++
		}
	}
	cells := (servers + replicas - 1) / replicas
	size, kept := spread.Size(m.Set.Connections, cells, replicas, m.Set.Siblings, uneven), map[*Server]bool{}
	for _, list := range m.Replicas {
		cell := make([]spread.Replica, len(list))
		for i, s := range list {
			cell[i] = spread.Replica{Rank: s.Lead, Usable: s.State == mix.Ready && warmth(s) >= 1}
			s.Reserve = s.Reserve || cell[i].Usable
		}
		for i, keep := range spread.Keep(cell, size) {
			kept[list[i]] = kept[list[i]] || keep
		}
	}
	for s := range kept {
		s.Reserve = s.Reserve && !kept[s]
	}
}

// Told takes in what the host tells of itself.
func (m *State) Told(e mix.Event) {
	switch e := e.(type) {
	case mix.Retuned:
		m.Set = e.Settings.Filled() // queries in hand point to the class that they came under
	case mix.Learned:
		m.Learn(e)
	}
}

// PerSecond hands out how many parts a second all servers together have answered of late.
func (m *State) PerSecond() float64 {
	span := m.Tuning.UsualSpan
	return m.Answered.Since(m.Now-span) / curve.Seconds(max(min(span, m.Now-m.Begun), m.Set.Tick))
}

// Survey takes the median of the servers' answer times, and returns the size of those listed that are warm.
func (m *State) Survey(warm func(*Server) bool) (size float64) {
	lats := m.Scratch[:0]
	for _, s := range m.Order {
		s.Fresh = false
		if s.Lat > 0 {
			lats = append(lats, s.Lat)
		}
		if s.Listed && warm(s) {
			size += s.Nominal
		}
	}
	m.Scratch, m.Median = lats, curve.Middle(lats)
	return size
}

// Records hands out what is known of the servers, as of the last step.
func (m *State) Records() (all []mix.Record) {
	for _, s := range m.Order {
		r := mix.Record{Server: s.ID, Answers: slices.Clone(s.Record.N), Latency: s.Lat, Failing: s.Bad, Cap: s.Cap, ColdFor: -1}
		for i := range r.Answers {
			r.Answers[i] /= s.Record.Weight(m.Now)
		}
		if s.ColdFrom > 0 {
			r.ColdFor = m.Now - s.ColdFrom
		}
		all = append(all, r)
	}
	return all
}

// Learn takes in what another mixer knew. What does not fit this one's records is passed over.
func (m *State) Learn(e mix.Learned) {
	if len(m.Answered.At) == 0 && e.PerSecond > 0 { // as if it had heard them itself
		for at := -m.Tuning.UsualSpan; at < 0; at += m.Tuning.SurveyGap {
			m.Answered.Add(m.Now+at, e.PerSecond*curve.Seconds(m.Tuning.SurveyGap))
		}
		m.Begun = m.Now - m.Tuning.UsualSpan
	}
	for _, r := range e.Records {
		s := m.Servers[r.Server]
		if s == nil || len(r.Answers) != len(s.Record.N) {
			continue
		}
		s.Record, s.Fresh = curve.NewRecord(), false
		for i, n := range r.Answers {
			s.Record.Put(m.Now, i, n)
			m.Pool.Put(m.Now, i, n)
		}
		s.Lat, s.LatAt, s.Bad, s.BadAt = r.Latency, m.Now, r.Failing, m.Now
		s.Cap = min(max(r.Cap, m.Tuning.CapMin), m.Tuning.CapMax)
		if r.ColdFor >= 0 {
			s.ColdFrom = m.Now - r.ColdFor
		}
	}
	m.News, m.Surveyed = true, -1
}

// InTurn says whether the attempt's server has answered since it was sent, and nothing that was sent later.
func (a *Attempt) InTurn() bool { return a.S.AnswerAt > a.At && a.S.PassedAt <= a.At }

// Forget drops a part that nothing more is to be heard of.
func (m *State) Forget(p *Part) {
	if !AnyLive(p) {
		delete(m.Parts, p.ID)
	}
}

// Likeness is a hash of what a query asks for: another try of it has the same.
func Likeness(q *Query) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, q.Class, q.Key)
	for _, p := range q.Current {
		fmt.Fprint(h, " ", p.Shard)
	}
	return h.Sum64()
}

// Waits says whether a part of the query is held, or is out since from or later.
func Waits(q *Query, from time.Duration) bool {
	return slices.ContainsFunc(q.All, func(p *Part) bool {
		return p.Index >= 0 || slices.ContainsFunc(p.Attempts, func(a *Attempt) bool { return a.Live && a.At >= from })
	})
}

// CDF is a server's record with some of the others' mixed in; with it comes the skip's patience.
func (m *State) CDF(s *Server) []float64 {
	if m.Pool.Total == 0 {
		s.Patience = m.TailAge
		return m.PoolCDF
	}
	if !s.Fresh {
		s.Curve = curve.Blend(s.Curve, s.Record, m.Pool, curve.RecordPrior, m.Now)
		s.Patience = min(m.TailAge, m.Pool.Quantile(s.Curve, m.Tuning.Tail))
		s.Fresh = true
	}
	return s.Curve
}

// SurveyPool makes the curve of all servers' answers anew.
func (m *State) SurveyPool() {
	m.News = false
	pool := m.Pool
	if pool.Total == 0 { // before any answer: a start curve from the classes' aims
		least := slices.MinFunc(m.Set.Classes, func(a, b mix.Class) int { return cmp.Compare(a.Aim, b.Aim) })
		pool = curve.NewRecord()
		pool.Fill(curve.Seconds(least.Aim) * m.Tuning.StartTail)
	}
	m.PoolCDF = curve.Blend(m.PoolCDF, pool, pool, 0, m.Now)
	m.Typical, m.TailAge = pool.Quantile(m.PoolCDF, 0.5), pool.Quantile(m.PoolCDF, m.Tuning.Tail)
}

// FanoutTail multiplies the CDFs of the servers chosen and inverts the product.
func (m *State) FanoutTail(q *Query, tail float64) float64 {
	m.Product = m.Product[:0]
	for _, p := range q.Current {
		if p.Spare {
			continue
		}
		if p.Server != nil {
			m.Product = curve.Multiply(m.Product, m.CDF(p.Server))
		} else {
			m.Product = curve.Multiply(m.Product, m.PoolCDF)
		}
	}
	return m.Pool.Quantile(m.Product, tail)
}

// ListingsTail multiplies the CDFs of the servers that will list what is ranked, and inverts the product. A phased
// query's listings go to servers that have answered already, as far as these are known.
func (m *State) ListingsTail(q *Query, tail float64) float64 {
	left := max(q.Fetch, 1)
	m.Product = m.Product[:0]
	for i := 0; i < len(q.Current) && left > 0; i++ {
		if p := q.Current[i]; q.Phased && p.Done && p.Server != nil {
			m.Product, left = curve.Multiply(m.Product, m.CDF(p.Server)), left-1
		}
	}
	for ; left > 0; left-- {
		m.Product = curve.Multiply(m.Product, m.PoolCDF)
	}
	return m.Pool.Quantile(m.Product, tail)
}

// End takes a query off the books; outcomes still to come are heard for the servers' sake.
func (m *State) End(q *Query) {
	if q == nil { // gone already
		return
	}
	q.Ended = true
	delete(m.Queries, q.ID)
	for _, p := range q.All {
		m.Settle(p)
		m.Forget(p)
	}
}

// Launch books an attempt of the part at the server.
func (m *State) Launch(p *Part, s *Server, idle bool) {
	a := &Attempt{P: p, S: s, Number: len(p.Attempts), At: m.Now, Live: true, Idle: idle}
	for _, o := range s.Out {
		if o.At < m.Now {
			a.SentOut++
		}
	}
	p.Attempts = append(p.Attempts, a)
	p.Server = s
	if p.MayRun < 0 {
		p.MayRun = m.Now
	}
	s.Out = append(s.Out, a)
	s.SentAt = m.Now
}

// Unplaced lists those of the parts that are neither ended nor held nor out.
func Unplaced(parts []*Part) (left []*Part) {
	for _, p := range parts {
		if p.Index < 0 && !p.Done && !p.Dead && !p.Spare && !AnyLive(p) {
			left = append(left, p)
		}
	}
	return left
}

// Unsent returns a part of the query that the server holds and that was never sent, or nil.
func (s *Server) Unsent(q *Query) *Part {
	for _, p := range s.Held {
		if p.Q == q && len(p.Attempts) == 0 {
			return p
		}
	}
	return nil
}

// CountStuck counts, by zone, the parts out since before from.
func (m *State) CountStuck(from time.Duration) {
	for i := range m.Zones {
		m.Zones[i].Stuck = 0
	}
	for _, s := range m.Order {
		for i := 0; i < len(s.Out) && s.Out[i].At < from; i++ {
			m.Zones[s.Zone].Stuck++
		}
	}
}

// CountDead counts the servers that have crashed since from, and the zones they stand in.
func (m *State) CountDead(from time.Duration) (servers, zones int) {
	for i := range m.Zones {
		m.Zones[i].Dead = 0
	}
	for _, s := range m.Order {
		if s.DiedAt > 0 && s.DiedAt > from {
			servers++
			if m.Zones[s.Zone].Dead++; m.Zones[s.Zone].Dead == 1 {
				zones++
			}
		}
	}
	return servers, zones
}

// Settle stops what a part has still out or held.
func (m *State) Settle(p *Part) {
	if p.Index >= 0 {
		p.Server.Unhold(p)
	}
	for _, a := range p.Attempts {
		if a.Live && m.Set.Cancel {
			m.Do(mix.Cancel{Part: p.ID, Attempt: a.Number})
		}
	}
}

// Flip sets a state and leaves a line in the log when it changes.
func (m *State) Flip(state *bool, to bool, format string, args ...any) {
	if *state != to {
		*state = to
		m.Log(format, append([]any{to}, args...)...)
	}
}

// Prune keeps a long life bounded: servers off the list and suspects not heard of since gone are dropped,
// and what was taken before taken.
func (m *State) Prune(gone, taken time.Duration) {
	m.Taken.Since(taken)
	maps.DeleteFunc(m.Suspects, func(_ uint64, at time.Duration) bool { return at < gone })
	m.Order = slices.DeleteFunc(m.Order, func(s *Server) bool {
		old := !s.Listed && len(s.Out) == 0 && len(s.Held) == 0 && s.LatAt < gone && s.DiedAt < gone && s.GoneAt < gone
		if old {
			delete(m.Servers, s.ID)
		}
		return old
	})
}

// OutAt says whether an attempt of the part is out at the server.
func OutAt(p *Part, s *Server) bool {
	return slices.ContainsFunc(p.Attempts, func(a *Attempt) bool { return a.Live && a.S == s })
}

// NeverRan works out anew when the first attempt that may have run was sent.
func (p *Part) NeverRan() {
	p.MayRun = -1
	if i := slices.IndexFunc(p.Attempts, func(a *Attempt) bool { return !a.Spared }); i >= 0 {
		p.MayRun = p.Attempts[i].At
	}
}

// AnyLive says whether an attempt of the part is out.
func AnyLive(p *Part) bool {
	return slices.ContainsFunc(p.Attempts, func(a *Attempt) bool { return a.Live })
}

// Share sums the weights of the step's parts that are in, and of those that are or can still come.
func Share(q *Query) (got, can float64, lost, in int) {
	for _, p := range q.Current {
		if p.Done {
			got += p.Weight
			in++
		}
		if p.Dead {
			lost++
		} else {
			can += p.Weight
		}
	}
	return got, can, lost, in
}

// Drop gives up the parts that are to be left out, and returns what the rest weigh.
func (q *Query) Drop(out func(*Part) bool) (left float64) {
	for _, p := range q.Current {
		if p.Dead = out(p); !p.Dead {
			left += p.Weight
		}
	}
	return left
}

// UseSpare takes the query's strongest spare part, nil if it has none.
func (q *Query) UseSpare() (best *Part) {
	for _, p := range q.Current {
		if p.Spare && !p.Later && !p.Dead && (best == nil || p.Strength > best.Strength) {
			best = p
		}
	}
	if best != nil {
		best.Spare = false
	}
	return best
}

// UseSpares takes the query's strongest spare parts until they weigh so much, or none is left.
func (q *Query) UseSpares(weight float64) {
	for got := 0.0; got < weight; {
		p := q.UseSpare()
		if p == nil {
			return
		}
		got += p.Weight
	}
}
