package opensearch

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/merge"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/record"
	"pulleygw.example/pulleygw/internal/gatherer/search"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
	"pulleygw.example/pulleygw/internal/gatherer/testbed/lots"
)

// rig is the front and the core on a false clock, among lot stores in memory that hold a corpus: four ranges to a
// cell, three copies of each cell. It lives in a synctest bubble.
type rig struct {
	front  *Front
	core   *gather.Core
	corpus *lots.Corpus
	stores map[decision.ServerID]*memStore
	ranges int
	ended  chan struct{}

	mu       sync.Mutex
	report   gather.Reporter
	parts    int // sent, by phase
	listings int
	bytes    int
	out      map[*gather.Attempt]*memJob
	most     map[string]int // attempts out at once by query and range, the most seen
	live     map[string]int
	tries    map[string]int
}

// Work of a subquery, as shares of what a subquery with listings takes, and of a call.
const (
	partWork   = 84 * time.Millisecond
	scoreShare = 0.7
	fetchShare = 0.3
	callWork   = 46 * time.Millisecond
	wayThere   = time.Millisecond
)

type rigOptions struct {
	ranges, each int
	phases       search.Phases
	refresh      time.Duration
	maxBounds    int
	maxBytes     int
	unit         float64 // work is so many times as much; 0 for 1
	change       func(*settings.Settings)
	record       func(record.Entry)
}

func newRig(o rigOptions) *rig {
	r := &rig{ranges: o.ranges, corpus: lots.New(7, o.ranges, o.each), stores: map[decision.ServerID]*memStore{}, ended: make(chan struct{}),
		out: map[*gather.Attempt]*memJob{}, most: map[string]int{}, live: map[string]int{}, tries: map[string]int{}}
	cells := max(o.ranges/4, 1)
	set := settings.Settings{Classes: []string{"lot-search"}, Zones: []string{"a", "b"}, Shards: o.ranges, OpenCap: 50 * (o.ranges + 1), StreamsPerConn: 32}
	set.Policy = decision.Settings{Instances: 1, Tick: 5 * time.Millisecond, Cells: cells, Width: 1, Batch: 8, CallCost: callWork, MaxAttempts: 4,
		Cancel: true, HealthChecks: true, MaxRetryAfter: 500 * time.Millisecond,
		Rules:   decision.Rules{StartCapacity: 0.15, SlowStart: 17 * time.Second, OverloadMultiple: 3, OverloadSpan: 1500 * time.Millisecond},
		Classes: []decision.Class{{LatencyTarget: 1200 * time.Millisecond, Deadline: 3 * time.Second, Value: 3, CompleteFraction: 1, PartialFraction: 0.7, MaxAttempts: 4}}}
	if o.change != nil {
		o.change(&set)
	}
	quiet := slog.New(slog.DiscardHandler)
	core, err := gather.New(set, 1, r, quiet)
	if err != nil {
		panic(err)
	}
	core.ConfigureSearches(gather.SearchConfig{Phases: o.phases, Ranges: o.ranges, MaxBounds: o.maxBounds, MaxBytes: o.maxBytes})
	r.core, r.report = core, core
	if o.record != nil {
		core.SetRecorder(o.record)
	}
	current := &settings.Current{}
	current.Store(&set)
	r.front = &Front{Core: core, Settings: current, Name: "os", Plans: true, Ties: true}
	r.front.SetIndices(map[string]string{"lots": "lot-search"})
	var list []mem.Server
	for cell := range cells {
		for i := range 3 {
			list = append(list, mem.Server{Name: fmt.Sprintf("s-%d-%d", cell, i), Addr: "x", Cell: cell, Zone: i % 2, Weight: 1, State: decision.Ready})
		}
	}
	for i, s := range list { // the core numbers them from 1 on, in the list's order
		id := decision.ServerID(i + 1)
		r.stores[id] = &memStore{id: id, copy: r.corpus.NewReplica(s.Name, o.refresh), free: 2, slow: max(o.unit, 0.0001),
			asked: map[lots.Phase]map[int]int{}}
		if o.unit == 0 {
			r.stores[id].slow = 1
		}
	}
	go func() { core.Run(); close(r.ended) }()
	core.UpdateServerList(gather.ServerList{Kind: decision.Cached, Servers: list})
	return r
}

func (r *rig) stop() {
	r.core.Stop()
	<-r.ended
}

// search asks the front, and waits for its answer.
func (r *rig) search(target, body string) (int, gjson.Result) {
	p := r.front.Handle(&http1.Request{Method: "POST", Path: "/lots/_search", Query: target, Body: []byte(body), At: time.Now()}, nil)
	return p.Status, gjson.ParseBytes(p.Body)
}

// asked adds up how often range 3 was asked in a phase.
func (r *rig) asked(p lots.Phase) (n int) {
	const shard = 3
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.holders(shard) {
		n += s.asked[p][shard]
	}
	return n
}

// truth is the page that a full search of the corpus as it is now gives, and the count.
func (r *rig) truth(body string, from, size int) (ids []string, total int) {
	return r.truthOf(body, from, size, nil)
}

// truthOf is the same without some ranges.
func (r *rig) truthOf(body string, from, size int, without []int) (ids []string, total int) {
	k := r.corpus.NewReplica("truth", 0)
	type hit struct {
		id   string
		sort []merge.Value
	}
	var all []hit
	q, e := parseBody(body, nil, true)
	if e != nil {
		panic(e.reason)
	}
	whole := *q.Query
	whole.From, whole.Size, whole.Count = 0, 100000, search.CountAll
	ask := &gather.ShardSearch{Query: &whole}
	for s := range r.ranges {
		if slices.Contains(without, s) {
			continue
		}
		found, why := parseFound(gjson.Parse(k.Search(s, gjson.ParseBytes(shardBody(q.coreText(), ask, s, "1s")))), ask)
		if why != "" {
			panic(why)
		}
		for _, h := range found.Hits {
			all = append(all, hit{h.ID, h.Sort})
		}
		total += int(found.Total)
	}
	slices.SortStableFunc(all, func(a, b hit) int { // ties by range, then as the range has them
		for i, k := range q.Keys {
			x, y, c := a.sort[i], b.sort[i], 0
			switch {
			case x.Kind == merge.Missing || y.Kind == merge.Missing:
				c = map[bool]int{true: 1}[x.Kind == merge.Missing] - map[bool]int{true: 1}[y.Kind == merge.Missing]
				if k.MissingFirst {
					c = -c
				}
			case x.Num != y.Num:
				c = map[bool]int{true: -1, false: 1}[(x.Num < y.Num) != k.Desc]
			case x.Str != y.Str:
				c = map[bool]int{true: -1, false: 1}[(x.Str < y.Str) != k.Desc]
			}
			if c != 0 {
				return c
			}
		}
		return 0
	})
	all = all[min(from, len(all)):]
	for _, h := range all[:min(size, len(all))] {
		ids = append(ids, h.id)
	}
	return ids, total
}

func hitIDs(body gjson.Result) (ids []string) {
	for _, h := range body.Get("hits.hits").Array() {
		ids = append(ids, h.Get("_id").Str)
	}
	return ids
}

// queries are what dealers look for, a few much more often than the rest.
func queries(rng *rand.Rand, n int) (bodies []string) {
	kinds := lots.Kinds()
	zipf := rand.NewZipf(rng, 1.3, 2, uint64(len(kinds)-1))
	for range n {
		kind := kinds[zipf.Uint64()]
		switch rng.IntN(5) {
		case 0:
			bodies = append(bodies, fmt.Sprintf(`{"query":{"bool":{"must":[{"match":{"title":%q}}],"filter":[{"range":{"year":{"gte":%d}}}]}}}`, kind, 2000+5*rng.IntN(3)))
		case 1:
			bodies = append(bodies, fmt.Sprintf(`{"query":{"match":{"title":{"query":%q,"operator":"and"}}},"sort":[{"price":"asc"}]}`, kind))
		default:
			bodies = append(bodies, fmt.Sprintf(`{"query":{"match":{"title":%q}}}`, kind))
		}
	}
	return bodies
}
