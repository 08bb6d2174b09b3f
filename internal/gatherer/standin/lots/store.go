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
	"pulleygw.example/pulleygw/internal/gatherer/standin"
)

// Phase is what a question is for.
type Phase string

// The phases of a search.
const (
	Scores   Phase = "scores"   // ids and sort values
	Listings Phase = "listings" // of lots that are named
	Both     Phase = "both"     // a search in one phase
)

// PhaseOf tells what a question is for.
func PhaseOf(question gjson.Result) Phase {
	switch {
	case question.Get("query.bool.filter.0.ids").Exists():
		return Listings
	case question.Get("_source").Type == gjson.False && question.Get("version").Bool():
		return Scores
	}
	return Both
}

// Script is the trouble of a lot store. Its fields are set before it serves; the functions may be nil.
type Script struct {
	// Trouble says how a part ends.
	Trouble func(r int, p Phase) standin.End
	// Delay is how long the answer to a part takes.
	Delay func(r int, p Phase) time.Duration
	// Tamper may spoil a part's answer.
	Tamper func(r int, p Phase, item string) string
	// Bid tells of a bid's id; true where it was there before.
	Bid func(id string) bool
}

// Asked counts the questions that a lot store was asked.
type Asked struct {
	mu    sync.Mutex
	count map[Phase]map[int]int
}

func (a *Asked) add(r int, p Phase) {
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

// Parts tells how often each range was asked in a phase.
func (a *Asked) Parts(p Phase) map[int]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := map[int]int{}
	for r, c := range a.count[p] {
		n[r] = c
	}
	return n
}

// Handler answers _msearch and _bulk calls from a copy.
func Handler(k *Copy, s Script, asked *Asked) http1.Handler {
	return func(r *http1.Request, gone <-chan struct{}) *http1.Response {
		lines := strings.Split(strings.TrimSuffix(string(r.Body), "\n"), "\n")
		var items []string
		wait := time.Duration(0)
		for i := 0; i+1 < len(lines); i += 2 {
			if r.Path == "/_bulk" {
				id := gjson.Get(lines[i], "create._id").String()
				status := 201
				if s.Bid != nil && s.Bid(id) {
					status = 409
				}
				items = append(items, fmt.Sprintf(`{"create":{"_index":"bids","_id":%q,"_version":1,"result":"created","status":%d}}`, id, status))
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
			end := standin.Hit
			if s.Trouble != nil {
				end = s.Trouble(shard, phase)
			}
			if s.Delay != nil {
				wait = max(wait, s.Delay(shard, phase))
			}
			switch end {
			case standin.Reset:
				return nil
			case standin.Silent:
				<-gone
				return nil
			case standin.Overload:
				items = append(items, `{"error":{"type":"rejected_execution_exception"},"status":429}`)
			case standin.Fault:
				items = append(items, `{"error":{"type":"query_phase_execution_exception"},"status":500}`)
			default:
				item := k.Search(shard, question)
				if s.Tamper != nil {
					item = s.Tamper(shard, phase, item)
				}
				items = append(items, item)
			}
		}
		if wait > 0 {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-gone:
				return nil
			}
		}
		switch r.Path {
		case "/_msearch":
			return standin.JSON(200, `{"took":1,"responses":[`+strings.Join(items, ",")+`]}`)
		case "/_bulk":
			return standin.JSON(200, `{"took":1,"errors":false,"items":[`+strings.Join(items, ",")+`]}`)
		}
		return standin.JSON(200, `{}`)
	}
}

// Serve is a lot store until the listener closes.
func Serve(l *net.TCPListener, k *Copy, s Script, asked *Asked) {
	http1.New(l, Handler(k, s, asked), 100, slog.New(slog.DiscardHandler)).Serve()
}
