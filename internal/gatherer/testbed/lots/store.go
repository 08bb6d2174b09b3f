package lots

import (
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
)

// Phase is the phase of a search that a request is of.
type Phase string

// The phases of a search.
const (
	Scores   Phase = "scores"   // ids and sort values
	Listings Phase = "listings" // of the named lots
	Both     Phase = "both"     // a search in one phase
)

// PhaseOf is the phase of a request.
func PhaseOf(question gjson.Result) Phase {
	switch {
	case question.Get("query.bool.filter.0.ids").Exists():
		return Listings
	case question.Get("_source").Type == gjson.False && question.Get("version").Bool():
		return Scores
	}
	return Both
}

// Script is the faults of a lot store. Its fields are set before it serves; the functions may be nil.
type Script struct {
	// Fault says how an attempt ends.
	Fault func(r int, p Phase) testbed.End
	// Delay is how long the answer to an attempt takes.
	Delay func(r int, p Phase) time.Duration
	// Tamper may change an answer.
	Tamper func(r int, p Phase, item string) string
	// Bid is called with the id of each bid; true if it existed already.
	Bid func(id string) bool
}

// Requests counts the requests to a lot store.
type Requests struct {
	mu    sync.Mutex
	count map[Phase]map[int]int
}

// add counts a request.
func (a *Requests) add(r int, p Phase) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.count == nil {
		a.count = map[Phase]map[int]int{}
	}
	if a.count[p] == nil {
		a.count[p] = map[int]int{}
	}
	a.count[p][r]++
}

// ByRange returns the number of requests in a phase by range.
func (a *Requests) ByRange(p Phase) map[int]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := map[int]int{}
	for r, c := range a.count[p] {
		n[r] = c
	}
	return n
}

// Handler answers _msearch and _bulk calls from a replica.
func Handler(k *Replica, s Script, asked *Requests) http1.Handler {
	return func(r *http1.Request, gone <-chan struct{}) *http1.Response {
		lines := strings.Split(strings.TrimSuffix(string(r.Body), "\n"), "\n")
		var items []string
		wait := time.Duration(0)
		for i := 0; i+1 < len(lines); i += 2 {
			if r.Path == "/_bulk" {
				items = append(items, s.create(lines[i]))
				continue
			}
			shard, err := strconv.Atoi(strings.TrimPrefix(gjson.Get(lines[i], "preference").String(), "_shards:"))
			if err != nil || shard < 0 || shard >= k.corpus.Ranges() {
				items = append(items, `{"error":{"type":"illegal_argument_exception","reason":"no such shard"},"status":400}`)
				continue
			}
			question := gjson.Parse(lines[i+1])
			phase := PhaseOf(question)
			asked.add(shard, phase)
			end := s.end(shard, phase)
			if s.Delay != nil {
				wait = max(wait, s.Delay(shard, phase))
			}
			switch end {
			case testbed.Reset:
				return nil
			case testbed.NoAnswer:
				<-gone
				return nil
			case testbed.Overload:
				items = append(items, `{"error":{"type":"rejected_execution_exception"},"status":429}`)
			case testbed.Fault:
				items = append(items, `{"error":{"type":"query_phase_execution_exception"},"status":500}`)
			default:
				item := k.Search(shard, question)
				if s.Tamper != nil {
					item = s.Tamper(shard, phase, item)
				}
				items = append(items, item)
			}
		}
		if !sleep(wait, gone) {
			return nil
		}
		switch r.Path {
		case "/_msearch":
			return testbed.JSON(200, `{"took":1,"responses":[`+strings.Join(items, ",")+`]}`)
		case "/_bulk":
			return testbed.JSON(200, `{"took":1,"errors":false,"items":[`+strings.Join(items, ",")+`]}`)
		}
		return testbed.JSON(200, `{}`)
	}
}

// end says how an attempt ends.
func (s *Script) end(r int, p Phase) testbed.End {
	if s.Fault == nil {
		return testbed.Hit
	}
	return s.Fault(r, p)
}

// create answers a create.
func (s *Script) create(action string) string {
	id := gjson.Get(action, "create._id").String()
	status := 201
	if s.Bid != nil && s.Bid(id) {
		status = 409
	}
	return fmt.Sprintf(`{"create":{"_index":"bids","_id":%q,"_version":1,"result":"created","status":%d}}`, id, status)
}

// sleep waits, and returns false if the client disconnects meanwhile.
func sleep(wait time.Duration, gone <-chan struct{}) bool {
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-gone:
		return false
	}
}

// Serve is a lot store that serves until the listener is closed.
func Serve(l *net.TCPListener, k *Replica, s Script, asked *Requests) {
	http1.New(l, Handler(k, s, asked), 100, slog.New(slog.DiscardHandler)).Serve()
}
