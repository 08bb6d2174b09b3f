package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// drainingConnection is a client's connection on which a stream ends while the proxy drains. It stays open: the stream's head
// was sent before the shutdown began, and so without "Connection: close".
type drainingConnection struct {
	net.Conn
	proxy   *testProxy
	plain   *fakeStore
	model   *fakeStore
	drained chan struct{} // closed when the shutdown is over
}

// newDrainingConnection returns a connection to a proxy that has closed its listener and cancels requests after a time. No
// request but the stream has been sent to a store.
func newDrainingConnection(t *testing.T, cancelAfter time.Duration) *drainingConnection {
	t.Helper()
	release := make(chan struct{})
	endWhenReleased := func(connection net.Conn, got receivedRequest) bool {
		streamEvents(true, numberedEvents(1, 1)...)(unfinished{connection}, got)
		<-release
		io.WriteString(connection, lastChunk)
		return true
	}
	c := &drainingConnection{
		plain:   newFakeStore(t, "plain", reply(200, "x")),
		model:   newFakeStore(t, "model", sequence(endWhenReleased, streamEvents(true, numberedEvents(1, 2)...))),
		drained: make(chan struct{}),
	}
	c.proxy = newTestProxy(t, longTimeout, []*fakeStore{c.plain}, []*fakeStore{c.model})
	c.proxy.turnStores.records["previous"] = &tierpb.TurnRecord{Id: "previous"}
	c.Conn = c.proxy.post("/s/x", "before")
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil) // sent with the first event
	assert.NilError(t, err)
	assert.Assert(t, !response.Close)
	now := time.Now()
	go func() {
		c.proxy.server.drain(drainSchedule{stopAccepting: now, cancel: now.Add(cancelAfter)})
		close(c.drained)
	}()
	for !c.proxy.server.stopped.Load() {
		runtime.Gosched()
	}
	close(release)
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	return c
}

// lastChunk ends a chunked body.
const lastChunk = "0\r\n\r\n"

// unfinished drops the last chunk of what is written to a connection.
type unfinished struct{ net.Conn }

func (u unfinished) Write(text []byte) (int, error) {
	if string(text) == lastChunk {
		return len(text), nil
	}
	return u.Conn.Write(text)
}

// lateRequests are the kinds of requests that a client may send on a connection that it has kept.
var lateRequests = map[string]struct {
	path   string
	fields []string
}{
	"idempotent call":     {"/i/x", nil},
	"non-idempotent call": {"/n/x", nil},
	"stream":              {"/s/x", nil},
	"resumable stream":    {"/r/x", []string{"Last-Event-Id: 1"}},
	"turn":                {"/t/x", append([]string{"Previous: previous"}, budgetFields...)},
}

// LOST: guards against a draining proxy that takes a request on a kept connection and cuts it at the end of the grace period.
func TestRequestThatMayOutliveTheShutdownIsRefused(t *testing.T) {
	for name, late := range lateRequests {
		t.Run(name, func(t *testing.T) {
			c := newDrainingConnection(t, longTimeout/2) // the routes' timeout is later
			got := c.proxy.sendOn(c, "POST", late.path, "late", "in", late.fields...)
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, got.header.Get("Retry-After") != "")
			assert.Assert(t, got.raw.Close)
			<-c.drained
			assert.Equal(t, len(c.model.requests())+len(c.plain.requests()), 1)
			assert.Equal(t, len(c.proxy.turnStores.reserved), 0)
		})
	}
}

// A request whose deadline comes before requests are cancelled is served on a kept connection, and is its last.
func TestRequestThatEndsInTimeIsServedWhileDraining(t *testing.T) {
	for name, late := range lateRequests {
		t.Run(name, func(t *testing.T) {
			c := newDrainingConnection(t, 2*longTimeout)
			got := c.proxy.sendOn(c, "POST", late.path, "late", "in", late.fields...)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Assert(t, got.raw.Close)
			<-c.drained
		})
	}
}

// sendPart sends the header of a request and the first byte of its body of two, and waits until the proxy reads the body.
func (c *drainingConnection) sendPart(t *testing.T) {
	t.Helper()
	_, err := io.WriteString(c, "POST /n/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: slow\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusContinue)
	_, err = io.WriteString(c, "i")
	assert.NilError(t, err)
}

// LOST: guards against a draining proxy that takes a request whose body is complete too late for it to end.
func TestSlowBodyThatMayOutliveTheShutdownIsRefused(t *testing.T) {
	c := newDrainingConnection(t, longTimeout/2)
	c.sendPart(t)
	_, err := io.WriteString(c, "n")
	assert.NilError(t, err)
	got := readResponse(bufio.NewReader(c), "POST")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.raw.Close)
	<-c.drained
	assert.Equal(t, len(c.plain.requests()), 0)
}

// LOST: guards against a shutdown that closes the connection of an incomplete request without an answer.
func TestIncompleteBodyIsAnsweredAtEndOfGracePeriod(t *testing.T) {
	c := newDrainingConnection(t, longTimeout)
	patient := strings.Replace(testConfiguration, `"headerTimeoutMs":3000`, `"headerTimeoutMs":300000`, 1)
	c.proxy.configure(2, fmt.Sprintf(patient, 2, (2*testTimeout).Milliseconds()))
	c.sendPart(t)
	c.proxy.server.cancelAll()
	got := readResponse(bufio.NewReader(c), "POST")
	assert.Equal(t, got.status, http.StatusRequestTimeout)
	assert.Assert(t, got.raw.Close)
	<-c.drained
	assert.Equal(t, len(c.plain.requests()), 0)
}
