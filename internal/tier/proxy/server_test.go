package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDrainingProxyIsNotReady(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, ""))
	tp := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	readiness := func() int {
		recorder := httptest.NewRecorder()
		tp.proxy.readinessRouter().ServeHTTP(recorder, httptest.NewRequest("GET", "/v1/readyz", nil))
		return recorder.Code
	}
	assert.Equal(t, readiness(), 200)
	tp.proxy.drain.begin(time.Now())
	assert.Equal(t, readiness(), 503)
}

// LOST: responses of a draining proxy ask the client to close the connection.
func TestDrainingProxyAsksClientsToCloseConnections(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, "x"))
	tp := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	connection, err := net.Dial("tcp4", tp.address)
	assert.NilError(t, err)
	defer connection.Close()
	assert.Assert(t, !tp.sendOn(connection, "POST", "/n/x", "id1", "in").raw.Close)
	tp.proxy.drain.begin(time.Now())
	assert.Assert(t, tp.sendOn(connection, "POST", "/n/x", "id2", "in").raw.Close)
	_, err = connection.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}

// LOST: only idle connections are closed, not those with a request in progress.
func TestOnlyIdleConnectionsAreClosed(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	store := newFakeStore(t, "a", func(connection net.Conn, got receivedRequest) bool {
		close(arrived)
		<-release
		return reply(200, "x")(connection, got)
	})
	tp := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	busy, err := net.Dial("tcp4", tp.address)
	assert.NilError(t, err)
	defer busy.Close()
	idle, err := net.Dial("tcp4", tp.address)
	assert.NilError(t, err)
	defer idle.Close()
	fmt.Fprintf(busy, "POST /n/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id\r\nContent-Length: 0\r\n\r\n")
	<-arrived
	tp.proxy.drain.begin(time.Now())
	assert.NilError(t, idle.SetDeadline(time.Now().Add(testTimeout)))
	ended := make(chan error, 1)
	go func() {
		_, err := idle.Read(make([]byte, 1))
		ended <- err
	}()
	for open := true; open; {
		tp.server.closeIdle(time.Now().Add(time.Minute)) // repeated because the connection may not have been accepted yet
		select {
		case err := <-ended:
			assert.ErrorContains(t, err, "EOF")
			open = false
		default:
			runtime.Gosched()
		}
	}
	close(release)
	got := readResponse(bufio.NewReader(busy), "POST")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "x")
}

func TestNewConnectionsAreServedAfterLimitsChange(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, "x"))
	tp := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	before, err := net.Dial("tcp4", tp.address)
	assert.NilError(t, err)
	defer before.Close()
	assert.Equal(t, tp.sendOn(before, "POST", "/n/x", "id1", "in").status, 200)
	tp.server.applyLimits()
	assert.Equal(t, tp.send("POST", "/n/x", "id2", "in").status, 200)
	assert.Equal(t, tp.sendOn(before, "POST", "/n/x", "id3", "in").status, 200)
}

// DENIED: a raised header limit also applies to connections that are already open.
func TestRaisedHeaderLimitAppliesToOpenConnections(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, "x"))
	tp := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	connection, err := net.Dial("tcp4", tp.address)
	assert.NilError(t, err)
	defer connection.Close()
	long := fmt.Sprintf("X-Long: %015000d", 1)
	assert.Equal(t, tp.sendOn(connection, "GET", "/n/x", "id1", "", long).status, 431)
	raised := strings.Replace(fmt.Sprintf(testConfiguration, 2, longTimeout.Milliseconds()), `"maxHeaderBytes":4096`, `"maxHeaderBytes":32768`, 1)
	tp.configure(2, raised)
	tp.server.applyLimits()
	assert.Equal(t, tp.sendOn(connection, "GET", "/n/x", "id2", "", long).status, 200)
	assert.Equal(t, tp.send("GET", "/n/x", "id3", "", long).status, 200)
}

// LOST: a request in flight is served with the configuration that was current when it arrived, even if a later one changes
// or removes its route, its service, the timeouts or the limits.
func TestConfigurationChangeKeepsRequestsInFlight(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	store := newFakeStore(t, "a", func(connection net.Conn, got receivedRequest) bool {
		arrived <- struct{}{}
		<-release
		return reply(200, "x")(connection, got)
	})
	tp := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	var connections []net.Conn
	for _, path := range []string{"/n/x", "/i/x"} {
		connections = append(connections, tp.post(path, "id"+path))
		<-arrived
	}
	tp.configure(2, `{"generation":2,"routes":[{"name":"n","hostname":"h.example","pathPrefix":"/n/","kind":"non_idempotent",
"timeoutMs":1,"backend":"other"}],"services":[{"name":"other"}],"limits":{"maxBodyBytes":1,"idleTimeoutMs":1}}`)
	tp.server.applyLimits()
	close(release)
	for _, connection := range connections {
		got := readResponse(bufio.NewReader(connection), "POST")
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.body, "x")
	}
	assert.Equal(t, tp.send("POST", "/i/x", "id3", "").status, 404)
}

// RECOVER: requests that arrive just after the start wait for the first configuration and the first stores.
func TestRequestWaitsForFirstConfigurationAndStores(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, "ok"))
	tp := newTestProxy(t, longTimeout, nil, nil)
	known := tp.proxy.snapshots.load()
	tp.proxy.snapshots.current.Store(&snapshot{})
	got := make(chan clientResponse)
	go func() { got <- tp.send("POST", "/n/x", "id", "in") }()
	tp.proxy.snapshots.current.Store(known)
	tp.proxy.updates.notify()
	tp.proxy.state.Upsert(store.instance("plain"))
	tp.proxy.applyState()
	assert.Equal(t, (<-got).body, "ok")
}

func TestRequestIsRejectedWithoutStoresAfterStartup(t *testing.T) {
	tp := newTestProxy(t, longTimeout, nil, nil)
	tp.proxy.started = time.Now().Add(-startupPeriod)
	got := tp.send("POST", "/n/x", "id", "in")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}
