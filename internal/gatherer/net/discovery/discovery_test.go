package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/proptest"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
)

var zones = []string{"a", "b"}

func TestParseList(t *testing.T) {
	delta := `{"seq":43,"whole":false,"hosts":[{"host":"s-1","dial":"10.1.0.18:8000","site":"b","class":"m2","block":3,"health":"draining","share":1.5,"born_ms":1700000000000}]}`
	seq, l, err := ParseList([]byte(delta), zones)
	if err != nil || seq != 43 || l.Kind != decision.Delta || len(l.Servers) != 1 {
		t.Fatalf("%d %+v %v", seq, l, err)
	}
	if s := l.Servers[0]; s.Zone != 1 || s.Cell != 3 || s.State != decision.Draining || s.Weight != 1.5 || s.Started.UnixMilli() != 1700000000000 {
		t.Errorf("%+v", s)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(delta), " ", "\t"); err != nil {
		t.Fatal(err)
	}
	if seq, same, err := ParseList(indented.Bytes(), zones); err != nil || seq != 43 || !reflect.DeepEqual(same, l) {
		t.Errorf("indented: %d %+v %v", seq, same, err)
	}
	proptest.CheckParser(t, true, func(b []byte) error { _, _, err := ParseList(b, zones); return err },
		delta, testbed.List(1, testbed.Host("s", "1:2", "a", 0, "ready")))
}

// watchAgent watches an agent from version 3 on, as one of so many gatherers, until the test ends, and returns its
// updates.
func watchAgent(t *testing.T, agent http1.Handler, instances int, polling bool) (updates chan gather.ServerList) {
	t.Helper()
	l := testbed.Listen(t)
	go http1.New(l.(*net.TCPListener), agent, 10, slog.New(slog.DiscardHandler)).Serve()
	updates, _ = watchAddr(t, l.Addr().String(), instances, polling)
	return updates
}

// watchAddr is watchAgent at an address; stop ends it and returns when it has ended.
func watchAddr(t *testing.T, addr string, instances int, polling bool) (updates chan gather.ServerList, stop func()) {
	t.Helper()
	updates = make(chan gather.ServerList, 100)
	w := &Watcher{Addr: addr, Zones: zones, Log: slog.New(slog.DiscardHandler), OnList: func(l gather.ServerList) { updates <- l },
		Instances: func() int { return instances }, Polling: func() bool { return polling }}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { w.Run(ctx, 3); close(ended) }()
	stop = func() { cancel(); <-ended }
	t.Cleanup(stop)
	return updates, stop
}

// A watch that fails is repeated from the last version; nothing is reported twice.
func TestWatchReconnects(t *testing.T) {
	targets := make(chan string, 10)
	var n atomic.Int32
	h := func(r *http1.Request, gone <-chan struct{}) *http1.Response {
		targets <- r.Query
		switch n.Add(1) {
		case 1:
			return testbed.JSON(200, testbed.List(7, testbed.Host("s", "127.0.0.1:1", "a", 0, "ready")))
		case 2:
			return testbed.JSON(500, "{}")
		case 3:
			return testbed.JSON(200, "garbage")
		}
		<-gone
		return nil
	}
	updates := watchAgent(t, h, 2, true)
	for _, since := range []string{"3", "7", "7", "7"} {
		if got, want := <-targets, "since="+since+"&timeout_ms=2000"; got != want {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
	if len(updates) != 1 || (<-updates).Kind != decision.FullList {
		t.Error("updates otherwise than once, whole")
	}
}

// A watch that times out is broken, and repeated on a new connection, whatever the old one still brings: in time for
// missed updates, however many gatherers there are and whether the list is pushed or polled. After a rejection, or a
// second time-out, it backs off.
func TestUnresponsiveWatch(t *testing.T) {
	var n atomic.Int32
	h := func(r *http1.Request, gone <-chan struct{}) *http1.Response {
		if n.Add(1) == 2 {
			return testbed.JSON(200, testbed.List(9, testbed.Host("s", "127.0.0.1:1", "a", 0, "draining")))
		}
		<-gone
		return nil
	}
	const many = 300
	if got := <-watchAgent(t, h, many, false); len(got.Servers) != 1 || got.Servers[0].State != decision.Draining {
		t.Errorf("got %+v", got)
	}
	for _, polling := range []bool{false, true} {
		w := &Watcher{Instances: func() int { return many }, Polling: func() bool { return polling }}
		silent := fmt.Errorf("read: %w", os.ErrDeadlineExceeded)
		longest := 3 * w.backoff(silent, true, backoffFirst, 1) / 2
		if late := watchGrace + longest; late > 2*time.Second-dialTimeout/2 {
			t.Errorf("polling %v: a new watch comes %v after the wait of a silent one is over", polling, late)
		}
		refused := errors.New("status 503")
		if d := w.backoff(refused, true, backoffFirst, 1); d < w.startSpread() {
			t.Errorf("polling %v: refused, it comes back after %v of a round of %v", polling, d, w.startSpread())
		}
		if d := w.backoff(silent, false, backoffFirst, maxTurns); d < maxTurns*w.startSpread() {
			t.Errorf("polling %v: silent again, it comes back after %v", polling, d)
		}
	}
}

// Many gatherers start their watches spread over a time that grows with their number, and watch for as long; failures
// back off longer each time. Few start at once.
func TestManyWatchesAreSpread(t *testing.T) {
	n := 2
	polling := true
	w := &Watcher{Instances: func() int { return n }, Polling: func() bool { return polling }}
	if w.startSpread() != 0 {
		t.Errorf("%d gatherers wait %v", n, w.startSpread())
	}
	n = 8
	eight := w.startSpread()
	if n = 48; w.startSpread() != 6*eight || eight <= 0 {
		t.Errorf("8 take %v and 48 take %v: together they would nextCall more", eight, w.startSpread())
	}
	if polling = false; w.startSpread() != 0 {
		t.Errorf("an agent that is sent the list is asked in a round of %v: what it holds counts as received meanwhile", w.startSpread())
	}
	polling = true
	if n = 80; 3*w.startSpread()/2 > 10*time.Second { // the longest rest; settings let 10 s pass between calls
		t.Errorf("one of 80 may go without news for %v after its start", 3*w.startSpread()/2)
	}
	targets := make(chan string, 100)
	h := func(r *http1.Request, _ <-chan struct{}) *http1.Response {
		targets <- r.Query
		return testbed.JSON(200, `{"seq":3,"whole":false,"hosts":[]}`)
	}
	watchAgent(t, h, 5, true)
	for range 2 {
		if got := <-targets; got != "since=3&timeout_ms=2000" {
			t.Errorf("asked %q", got)
		}
	}
}
