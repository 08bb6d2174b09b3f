package proxy

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// stalledBody is a request body that ends with a read timeout instead of io.EOF.
type stalledBody struct{ io.Reader }

func (b stalledBody) Read(into []byte) (int, error) {
	read, err := b.Reader.Read(into)
	if errors.Is(err, io.EOF) {
		err = os.ErrDeadlineExceeded
	}
	return read, err
}

func (stalledBody) Close() error { return nil }

// deadlineRecorder records the read deadlines that a handler sets.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (d *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	d.deadlines = append(d.deadlines, deadline)
	return nil
}

// CONFIG: the proxy waits for the rest of a body no longer than the route's timeout or the client's deadline.
func TestBodyReadEndsAtRequestTimeout(t *testing.T) {
	for name, clientDeadlineMs := range map[string]string{"route": "", "client": "150"} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore(t, "a", reply(200, ""))
			tp := newTestProxy(t, shortTimeout, []*fakeStore{store}, nil)
			request := httptest.NewRequest(http.MethodPost, "http://h.example/n/x", nil)
			request.Body = stalledBody{bytes.NewReader([]byte("half"))}
			request.ContentLength = 8
			request.Header.Set("X-Request-Id", "id")
			allowed := shortTimeout
			if clientDeadlineMs != "" {
				request.Header.Set("X-Deadline-Ms", clientDeadlineMs)
				allowed = 150 * time.Millisecond
			}
			recorder := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
			tp.proxy.ServeHTTP(recorder, request)
			assert.Equal(t, recorder.Code, http.StatusRequestTimeout)
			assert.Assert(t, !recorder.deadlines[0].After(time.Now().Add(allowed)), "the read deadline is later than the request's deadline")
			assert.Equal(t, len(store.requests()), 0)
		})
	}
}

// BUDGET: an X-Deadline-Ms that is malformed, or longer than the route's timeout, does not extend a request's deadline.
func TestRequestTimeoutIsMinimumOfClientAndRoute(t *testing.T) {
	for deadlineMs, expected := range map[string]time.Duration{
		"":       time.Second,
		"0":      time.Second,
		"-5":     time.Second,
		"soon":   time.Second,
		"NaN":    time.Second,
		"300":    300 * time.Millisecond,
		" 300 ":  300 * time.Millisecond,
		"300.5":  300500 * time.Microsecond,
		"1e300":  time.Second,
		"990000": time.Second,
	} {
		assert.Equal(t, requestTimeout(http.Header{"X-Deadline-Ms": {deadlineMs}}, time.Second), expected, "%q", deadlineMs)
	}
}

// CONFIG: whatever a request waits for, by its deadline it is answered or its connection aborted. Stores are never told a
// longer deadline.
func TestEveryRequestEndsByItsDeadline(t *testing.T) {
	waitUntilDone := func(ctx context.Context) { <-ctx.Done() }
	for name, test := range map[string]struct {
		path    string
		fields  []string
		script  func(*testing.T) script
		arrange func(*fakeTurnStores)
		status  int // 0 if a partial response is aborted
	}{
		"idempotent":       {path: "/i/x", status: 504},
		"not idempotent":   {path: "/n/x", status: 504},
		"before an event":  {path: "/s/x", status: 504},
		"after an event":   {path: "/s/x", script: stallAfterEvents},
		"resumable stream": {path: "/r/x", script: stallAfterEvents},
		"fetching the chain": {
			path: "/t/x", fields: []string{"Previous: p"}, status: 503,
			arrange: func(s *fakeTurnStores) { s.onChain, s.chainErr = waitUntilDone, turns.ErrUncertain },
		},
		"reserving budget": {
			path: "/t/x", fields: []string{"Program: q", "Budget: 9", "X-Token-Usage: 1,9"}, status: 503,
			arrange: func(s *fakeTurnStores) { s.onReserve, s.reserveErr = waitUntilDone, budget.ErrUncertain },
		},
		"saving the turn": {
			path: "/t/x", script: func(*testing.T) script { return streamEvents(true, numberedEvents(1, 2)...) },
			arrange: func(s *fakeTurnStores) { s.onSave, s.saveErr = waitUntilDone, turns.ErrUncertain },
		},
	} {
		t.Run(name, func(t *testing.T) {
			answer := stall(t)
			if test.script != nil {
				answer = test.script(t)
			}
			plain, model := newFakeStore(t, "a", answer), newFakeStore(t, "b", answer)
			tp := newTestProxy(t, shortTimeout, []*fakeStore{plain}, []*fakeStore{model})
			if test.arrange != nil {
				test.arrange(tp.turnStores)
			}
			fields := append([]string{"X-Deadline-Ms: 60000"}, test.fields...)
			got := tp.send("POST", test.path, "id", "in", fields...)
			assert.Equal(t, got.status, cmp.Or(test.status, 200))
			if test.status == 0 {
				assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
			}
			for _, sent := range append(plain.requests(), model.requests()...) {
				deadlineMs, err := strconv.Atoi(sent.header.Get("X-Deadline-Ms"))
				assert.NilError(t, err)
				assert.Assert(t, time.Duration(deadlineMs)*time.Millisecond <= shortTimeout, "%d ms", deadlineMs)
			}
		})
	}
}

// BUDGET: a retry or the resumption of a stream tells the store the remaining time, not the original timeout.
func TestRetryCarriesRemainingDeadline(t *testing.T) {
	for path, second := range map[string]script{"/i/x": reply(200, "ok"), "/r/x": streamEvents(true, numberedEvents(2, 3)...)} {
		t.Run(path, func(t *testing.T) {
			first := stall(t)
			if path == "/r/x" {
				first = stall(t, numberedEvents(1, 1)...)
			}
			answer := sequence(first, second)
			stores := []*fakeStore{newFakeStore(t, "a", answer), newFakeStore(t, "b", answer)}
			tp := newTestProxy(t, time.Second, stores, nil)
			if path == "/r/x" {
				tp = newTestProxy(t, time.Second, nil, stores)
			}
			assert.NilError(t, tp.send("POST", path, "id", "in").err)
			sends := append(stores[0].requests(), stores[1].requests()...)
			assert.Equal(t, len(sends), 2)
			remaining := []int{}
			for _, sent := range sends {
				deadlineMs, err := strconv.Atoi(sent.header.Get("X-Deadline-Ms"))
				assert.NilError(t, err)
				remaining = append(remaining, deadlineMs)
			}
			// The first attempt times out only after more than a third of the time.
			assert.Assert(t, max(remaining[0], remaining[1])-min(remaining[0], remaining[1]) >= 300, "%v", remaining)
			assert.Assert(t, max(remaining[0], remaining[1]) <= 1000, "%v", remaining)
		})
	}
}

// CONFIG, GONE: a client that does not read its response is disconnected soon after the request's deadline, and its store
// is released. The write deadline is set anew for each request on a connection.
func TestSlowReaderIsDisconnectedAtDeadline(t *testing.T) {
	ended := make(chan struct{})
	store := newFakeStore(t, "a", func(connection net.Conn, got receivedRequest) bool {
		if got.uri != "/n/large" {
			return reply(200, "x")(connection, got)
		}
		defer close(ended)
		io.WriteString(connection, responseHead(got, 200, "Transfer-Encoding: chunked")+"\r\n")
		piece := make([]byte, 1<<20)
		for {
			if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(piece), piece); err != nil {
				return false
			}
		}
	})
	tp := newTestProxy(t, shortTimeout, []*fakeStore{store}, nil)
	kept, err := net.Dial("tcp4", tp.address)
	assert.NilError(t, err)
	defer kept.Close()
	assert.Equal(t, tp.sendOn(kept, "POST", "/n/x", "before", "in").status, 200)
	tp.post("/n/large", "id")
	<-ended
	for until := time.Now().Add(testTimeout); tp.server.openConnections() > 1 && time.Now().Before(until); {
		runtime.Gosched()
	}
	assert.Equal(t, tp.server.openConnections(), 1)
	assert.Equal(t, tp.sendOn(kept, "POST", "/n/x", "after", "in").status, 200)
	assert.Equal(t, tp.sendOn(kept, "POST", "/none/x", "no route", "in").status, 404)
}
