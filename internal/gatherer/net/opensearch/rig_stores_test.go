package opensearch

import (
	"fmt"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/search"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
	"pulleygw.example/pulleygw/internal/gatherer/testbed/lots"
)

// memStore is one lot store: two cores and a queue.
type memStore struct {
	id    decision.ServerID
	copy  *lots.Replica
	free  int
	queue []*memJob
	dead  bool
	slow  float64 // work takes so many times as long
	// trouble may say how a subquery ends and how much work it is more; nil for none.
	trouble func(r int, p lots.Phase) (testbed.End, time.Duration)
	tamper  func(r int, p lots.Phase, item string) string
	asked   map[lots.Phase]map[int]int
}

type memJob struct {
	a     *gather.Attempt
	s     *memStore
	work  time.Duration
	state int // 0 waiting, 1 running, 2 over
}

// copyOf has a store serve from another process of its own, that sees writes so seldom.
func (r *rig) copyOf(s *memStore, boot string, every time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.copy = r.corpus.NewReplica(boot, every)
}

// holders are the copies of a range.
func (r *rig) holders(shard int) (s []*memStore) {
	cell := shard % max(r.ranges/4, 1)
	for i := range 3 {
		s = append(s, r.stores[decision.ServerID(cell*3+i+1)])
	}
	return s
}

// silence has all copies of a range, and so of its cell, answer nothing.
func (r *rig) silence(shard int) {
	for _, s := range r.holders(shard) {
		s.trouble = func(int, lots.Phase) (testbed.End, time.Duration) { return testbed.NoAnswer, 0 }
	}
}

// Servers, Probe and CloseIdle implement gather.Transport.
func (r *rig) Servers([]mem.Server) {}

func (r *rig) CloseIdle(decision.ServerID) {}

func (r *rig) HealthCheck(id decision.ServerID) {
	time.AfterFunc(2*wayThere, func() {
		r.mu.Lock()
		ok := !r.stores[id].dead
		r.mu.Unlock()
		r.report.HealthChecked(id, ok)
	})
}

// Call implements gather.Transport: the call's own work goes with its first subquery.
func (r *rig) Call(id decision.ServerID, attempts []*gather.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stores[id]
	for i, a := range attempts {
		key := fmt.Sprint(a.Query, "/", a.Shard)
		r.live[key]++
		r.tries[key]++
		r.most[key] = max(r.most[key], r.live[key])
		body := shardBody(a.Text, a.Search, a.Shard, "1s")
		p := lots.PhaseOf(gjson.ParseBytes(body))
		if s.asked[p] == nil {
			s.asked[p] = map[int]int{}
		}
		s.asked[p][a.Shard]++
		r.parts++
		if p != lots.Scores {
			r.listings++
		}
		r.bytes += len(body)
		share := map[lots.Phase]float64{lots.Scores: scoreShare, lots.Listings: fetchShare, lots.Both: 1}[p]
		j := &memJob{a: a, s: s, work: time.Duration(share * float64(partWork) * s.slow)}
		if i == 0 {
			j.work += time.Duration(float64(callWork) * s.slow)
		}
		r.out[a] = j
		time.AfterFunc(wayThere, func() { r.arrive(j) })
	}
}

func (r *rig) arrive(j *memJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case j.s.dead:
		go r.end(j, decision.ConnectFailed, nil)
	case j.state == 0:
		j.s.queue = append(j.s.queue, j)
		r.run(j.s)
	}
}

// run begins work while a core is free.
func (r *rig) run(s *memStore) {
	for s.free > 0 && len(s.queue) > 0 && !s.dead {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if j.state != 0 {
			continue
		}
		j.state = 1
		s.free--
		body := gjson.ParseBytes(shardBody(j.a.Text, j.a.Search, j.a.Shard, "1s"))
		p := lots.PhaseOf(body)
		end, more := testbed.Hit, time.Duration(0)
		if s.trouble != nil {
			end, more = s.trouble(j.a.Shard, p)
		}
		time.AfterFunc(j.work+more, func() { r.worked(j, body, p, end) })
	}
}

func (r *rig) worked(j *memJob, body gjson.Result, p lots.Phase, end testbed.End) {
	r.mu.Lock()
	j.s.free++
	r.run(j.s)
	dead, tamper := j.s.dead, j.s.tamper
	r.mu.Unlock()
	switch {
	case dead:
		return // reset by kill
	case end == testbed.NoAnswer:
		return
	case end != testbed.Hit:
		r.end(j, decision.Error, nil)
		return
	}
	item := j.s.copy.Search(j.a.Shard, body)
	if tamper != nil {
		item = tamper(j.a.Shard, p, item)
	}
	time.Sleep(wayThere)
	if why := gjson.Get(item, "error.reason").String(); why != "" {
		if r.over(j) {
			r.report.Unanswerable(j.a, why)
		}
		return
	}
	found, why := parseFound(gjson.Parse(item), j.a.Search)
	r.mu.Lock()
	r.bytes += len(item)
	r.mu.Unlock()
	if why != "" {
		r.end(j, decision.Error, nil)
		return
	}
	r.end(j, decision.OK, found)
}

// end reports an attempt's end, once.
func (r *rig) end(j *memJob, s decision.Status, found *search.Answer) {
	switch {
	case !r.over(j):
	case s == decision.OK:
		r.report.Found(j.a, found)
	default:
		r.report.Outcome(j.a, s, "")
	}
}

// over takes an attempt off the books, and says whether it was there.
func (r *rig) over(j *memJob) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.out[j.a] != nil
	delete(r.out, j.a)
	j.state = 2
	if was {
		r.live[fmt.Sprint(j.a.Query, "/", j.a.Shard)]--
	}
	return was
}

// Cancel implements gather.Transport: what waits is dropped, what runs goes on.
func (r *rig) Cancel(a *gather.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.out[a]; j != nil {
		if j.state == 0 {
			j.state = 2
		}
		go r.end(j, decision.Cancelled, nil)
	}
}

// kill ends a lot store's process: what is out there is reset, and what comes is refused.
func (r *rig) kill(s *memStore) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.dead, s.queue = true, nil
	for a, j := range r.out {
		if j.s == s {
			_ = a
			go r.end(j, decision.Reset, nil)
		}
	}
}
