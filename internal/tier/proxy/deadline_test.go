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

const shortTimeout = 200 * time.Millisecond

// stalledBody is a body whose rest does not come before the read deadline.
type stalledBody struct{ io.Reader }

func (b stalledBody) Read(into []byte) (int, error) {
	read, err := b.Reader.Read(into)
	if errors.Is(err, io.EOF) {
		err = os.ErrDeadlineExceeded
	}
	return read, err
}

func (stalledBody) Close() error { return nil }

// deadlineRecorder notes the read deadlines that a handler sets.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (d *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	d.deadlines = append(d.deadlines, deadline)
	return nil
}

// CONFIG: a body that does not come whole is waited for no longer than the route's timeout, or the client's patience.
func TestBodyIsWaitedForUntilTheRoutesTimeout(t *testing.T) {
	for name, patience := range map[string]string{"route": "", "client": "150"} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore(t, "a", reply(200, ""))
			b := newTestProxy(t, shortTimeout, []*fakeStore{store}, nil)
			request := httptest.NewRequest(http.MethodPost, "http://h.example/n/x", nil)
			request.Body = stalledBody{bytes.NewReader([]byte("half"))}
			request.ContentLength = 8
			request.Header.Set("X-Request-Id", "id")
			allowed := shortTimeout
			if patience != "" {
				request.Header.Set("X-Deadline-Ms", patience)
				allowed = 150 * time.Millisecond
			}
			recorder := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
			b.proxy.ServeHTTP(recorder, request)
			assert.Equal(t, recorder.Code, http.StatusRequestTimeout)
			assert.Assert(t, !recorder.deadlines[0].After(time.Now().Add(allowed)), "waits longer than the request has")
			assert.Equal(t, len(store.requests()), 0)
		})
	}
}

// BUDGET: a store is told no more time than the client has, in whatever form the client tells it.
func TestPatienceIsTheClientsOrTheRoutes(t *testing.T) {
	for told, expected := range map[string]time.Duration{
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
		assert.Equal(t, requestTimeout(http.Header{"X-Deadline-Ms": {told}}, time.Second), expected, "%q", told)
	}
}

// stall answers nothing until the test ends; after some events where it is a stream.
func stall(t *testing.T, before ...string) script {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	return func(connection net.Conn, got receivedRequest) bool {
		if len(before) > 0 {
			io.WriteString(connection, responseHead(got, 200, "Transfer-Encoding: chunked")+"\r\n")
		}
		for _, one := range before {
			fmt.Fprintf(connection, "%x\r\n%s\r\n", len(one), one)
		}
		<-release
		return false
	}
}

// CONFIG: whatever a request waits for, it ends with an answer or is broken off when its time is up. Nothing is sent for
// it afterwards.
func TestEveryRequestEndsAtItsTime(t *testing.T) {
	untilTheEnd := func(ctx context.Context) { <-ctx.Done() }
	for name, test := range map[string]struct {
		path    string
		fields  []string
		script  func(*testing.T) script
		arrange func(*fakeTurnStores)
		status  int // 0 where the answer has begun, and breaks off
	}{
		"idempotent":       {path: "/i/x", status: 504},
		"not idempotent":   {path: "/n/x", status: 504},
		"before an event":  {path: "/s/x", status: 504},
		"after an event":   {path: "/s/x", script: func(t *testing.T) script { return stall(t, numberedEvents(1, 2)...) }},
		"resumable stream": {path: "/r/x", script: func(t *testing.T) script { return stall(t, numberedEvents(1, 2)...) }},
		"chain": {
			path: "/t/x", fields: []string{"Previous: p"}, status: 503,
			arrange: func(k *fakeTurnStores) { k.onChain, k.chainErr = untilTheEnd, turns.ErrUncertain },
		},
		"claim": {
			path: "/t/x", fields: []string{"Program: q", "Budget: 9", "X-Token-Usage: 1,9"}, status: 503,
			arrange: func(k *fakeTurnStores) { k.onReserve, k.reserveErr = untilTheEnd, budget.ErrUncertain },
		},
		"save": {
			path: "/t/x", script: func(*testing.T) script { return streamEvents(true, numberedEvents(1, 2)...) },
			arrange: func(k *fakeTurnStores) { k.onSave, k.saveErr = untilTheEnd, turns.ErrUncertain },
		},
	} {
		t.Run(name, func(t *testing.T) {
			silent := stall(t)
			if test.script != nil {
				silent = test.script(t)
			}
			plain, model := newFakeStore(t, "a", silent), newFakeStore(t, "b", silent)
			b := newTestProxy(t, shortTimeout, []*fakeStore{plain}, []*fakeStore{model})
			if test.arrange != nil {
				test.arrange(b.turnStores)
			}
			fields := append([]string{"X-Deadline-Ms: 60000"}, test.fields...)
			got := b.send("POST", test.path, "id", "in", fields...)
			assert.Equal(t, got.status, cmp.Or(test.status, 200))
			if test.status == 0 {
				assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
			}
			for _, sent := range append(plain.requests(), model.requests()...) {
				told, err := strconv.Atoi(sent.header.Get("X-Deadline-Ms"))
				assert.NilError(t, err)
				assert.Assert(t, time.Duration(told)*time.Millisecond <= shortTimeout, "%d ms", told)
			}
		})
	}
}

// BUDGET: a request that is sent once more, or a stream that is resumed, carries what is left and not what it had.
func TestSecondSendCarriesWhatIsLeft(t *testing.T) {
	for path, second := range map[string]script{"/i/x": reply(200, "ok"), "/r/x": streamEvents(true, numberedEvents(2, 3)...)} {
		t.Run(path, func(t *testing.T) {
			first := stall(t)
			if path == "/r/x" {
				first = stall(t, numberedEvents(1, 1)...)
			}
			answer := sequence(first, second)
			stores := []*fakeStore{newFakeStore(t, "a", answer), newFakeStore(t, "b", answer)}
			b := newTestProxy(t, time.Second, stores, nil)
			if path == "/r/x" {
				b = newTestProxy(t, time.Second, nil, stores)
			}
			assert.NilError(t, b.send("POST", path, "id", "in").err)
			sends := append(stores[0].requests(), stores[1].requests()...)
			assert.Equal(t, len(sends), 2)
			left := []int{}
			for _, sent := range sends {
				told, err := strconv.Atoi(sent.header.Get("X-Deadline-Ms"))
				assert.NilError(t, err)
				left = append(left, told)
			}
			// The first store was left only after more than a third of the time.
			assert.Assert(t, max(left[0], left[1])-min(left[0], left[1]) >= 300, "%v", left)
			assert.Assert(t, max(left[0], left[1]) <= 1000, "%v", left)
		})
	}
}

// CONFIG, GONE: a client that doesn't read its answer holds neither the request nor its store past the request's time, and
// the next request on a connection has its own time.
func TestClientThatDoesNotReadIsLetGoAtItsTime(t *testing.T) {
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
	b := newTestProxy(t, shortTimeout, []*fakeStore{store}, nil)
	kept, err := net.Dial("tcp4", b.address)
	assert.NilError(t, err)
	defer kept.Close()
	assert.Equal(t, b.sendOn(kept, "POST", "/n/x", "before", "in").status, 200)
	b.post("/n/large", "id")
	<-ended
	for until := time.Now().Add(testTimeout); b.server.openConnections() > 1 && time.Now().Before(until); {
		runtime.Gosched()
	}
	assert.Equal(t, b.server.openConnections(), 1)
	assert.Equal(t, b.sendOn(kept, "POST", "/n/x", "after", "in").status, 200)
	assert.Equal(t, b.sendOn(kept, "POST", "/none/x", "no route", "in").status, 404)
}
