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

func TestReadiness(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, ""))
	b := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	ask := func() int {
		recorder := httptest.NewRecorder()
		b.proxy.readinessRouter().ServeHTTP(recorder, httptest.NewRequest("GET", "/v1/readyz", nil))
		return recorder.Code
	}
	assert.Equal(t, ask(), 200)
	b.proxy.draining.Store(true)
	assert.Equal(t, ask(), 503)
}

// LOST: while the process shuts down, answers ask for the connection to be closed.
func TestAnswersOfADrainingProxyCloseTheConnection(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, "x"))
	b := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	connection, err := net.Dial("tcp4", b.address)
	assert.NilError(t, err)
	defer connection.Close()
	assert.Assert(t, !b.sendOn(connection, "POST", "/n/x", "id1", "in").raw.Close)
	b.proxy.draining.Store(true)
	assert.Assert(t, b.sendOn(connection, "POST", "/n/x", "id2", "in").raw.Close)
	_, err = connection.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}

// LOST: a connection on which a request has begun is not expired; one that rests is closed.
func TestOnlyRestingConnectionsAreExpired(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	store := newFakeStore(t, "a", func(connection net.Conn, got receivedRequest) bool {
		close(arrived)
		<-release
		return reply(200, "x")(connection, got)
	})
	b := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	busy, err := net.Dial("tcp4", b.address)
	assert.NilError(t, err)
	defer busy.Close()
	resting, err := net.Dial("tcp4", b.address)
	assert.NilError(t, err)
	defer resting.Close()
	fmt.Fprintf(busy, "POST /n/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id\r\nContent-Length: 0\r\n\r\n")
	<-arrived
	b.proxy.draining.Store(true)
	assert.NilError(t, resting.SetDeadline(time.Now().Add(testTimeout)))
	ended := make(chan error, 1)
	go func() {
		_, err := resting.Read(make([]byte, 1))
		ended <- err
	}()
	for open := true; open; {
		b.server.closeIdle(time.Now().Add(time.Minute)) // again and again, as it may not have been accepted yet
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

func TestLimitsChangeForNewConnections(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, "x"))
	b := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	before, err := net.Dial("tcp4", b.address)
	assert.NilError(t, err)
	defer before.Close()
	assert.Equal(t, b.sendOn(before, "POST", "/n/x", "id1", "in").status, 200)
	b.server.applyLimits()
	assert.Equal(t, b.send("POST", "/n/x", "id2", "in").status, 200)
	assert.Equal(t, b.sendOn(before, "POST", "/n/x", "id3", "in").status, 200)
}

// DENIED: a limit that is raised holds on connections that were open before, too.
func TestRaisedLimitHoldsOnOpenConnections(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, "x"))
	b := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	connection, err := net.Dial("tcp4", b.address)
	assert.NilError(t, err)
	defer connection.Close()
	long := fmt.Sprintf("X-Long: %015000d", 1)
	assert.Equal(t, b.sendOn(connection, "GET", "/n/x", "id1", "", long).status, 431)
	raised := strings.Replace(fmt.Sprintf(testConfiguration, 2, longTimeout.Milliseconds()), `"maxHeaderBytes":4096`, `"maxHeaderBytes":32768`, 1)
	b.configure(2, raised)
	b.server.applyLimits()
	assert.Equal(t, b.sendOn(connection, "GET", "/n/x", "id2", "", long).status, 200)
	assert.Equal(t, b.send("GET", "/n/x", "id3", "", long).status, 200)
}

// LOST: a request in hand is served to its end by the configuration it came under, whatever of its route, its service,
// the timeouts or the limits a later one changes or drops.
func TestConfigurationChangeLeavesRequestsInHand(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	store := newFakeStore(t, "a", func(connection net.Conn, got receivedRequest) bool {
		arrived <- struct{}{}
		<-release
		return reply(200, "x")(connection, got)
	})
	b := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	var connections []net.Conn
	for _, path := range []string{"/n/x", "/i/x"} {
		connections = append(connections, b.post(path, "id"+path))
		<-arrived
	}
	b.configure(2, `{"generation":2,"routes":[{"name":"n","hostname":"h.example","pathPrefix":"/n/","kind":"non_idempotent",
"timeoutMs":1,"backend":"other"}],"services":[{"name":"other"}],"limits":{"maxBodyBytes":1,"idleTimeoutMs":1}}`)
	b.server.applyLimits()
	close(release)
	for _, connection := range connections {
		got := readResponse(bufio.NewReader(connection), "POST")
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.body, "x")
	}
	assert.Equal(t, b.send("POST", "/i/x", "id3", "").status, 404)
}

// RECOVER: what comes just after the start waits for the first configuration and the first stores.
func TestRequestWaitsForTheFirstConfigurationAndStores(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, "ok"))
	b := newTestProxy(t, longTimeout, nil, nil)
	known := b.proxy.snapshots.load()
	b.proxy.snapshots.current.Store(&snapshot{})
	got := make(chan clientResponse)
	go func() { got <- b.send("POST", "/n/x", "id", "in") }()
	b.proxy.snapshots.current.Store(known)
	b.proxy.updates.notify()
	b.proxy.state.Upsert(store.instance("plain"))
	b.proxy.applyState()
	assert.Equal(t, (<-got).body, "ok")
}

func TestRequestIsRefusedWhereNoStoreCameForLong(t *testing.T) {
	b := newTestProxy(t, longTimeout, nil, nil)
	b.proxy.started = time.Now().Add(-startupPeriod)
	got := b.send("POST", "/n/x", "id", "in")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}
