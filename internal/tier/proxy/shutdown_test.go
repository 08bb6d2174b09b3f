package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// LOST: after the listener is closed, a connection whose last response did not ask the client to close it still serves one
// more request, whose response does. A connection that stays idle is closed.
func TestIdleConnectionIsClosedAfterListenerIsClosed(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, "x"))
	tp := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	var open [2]net.Conn
	for i := range open {
		open[i] = tp.post("/n/x", fmt.Sprint("first-", i))
		assert.Assert(t, !readResponse(bufio.NewReader(open[i]), "POST").raw.Close)
	}
	tp.proxy.drain.begin(time.Now())
	tp.server.stopAccepting()
	tp.server.closeIdle(time.Now().Add(-time.Second)) // at this time neither connection has been idle long enough
	got := tp.sendOn(open[0], "POST", "/n/x", "second", "in")
	assert.Equal(t, got.status, 200)
	assert.Assert(t, got.raw.Close)
	tp.awaitConnectionsEnd()
	_, err := open[1].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// LOST: at the end of the grace period pending requests are answered, with a not-executed guarantee only if they were not
// sent to a store.
func TestPendingRequestsAreAnsweredAtEndOfGracePeriod(t *testing.T) {
	t.Run("waiting for a store", func(t *testing.T) {
		arrived, release := make(chan struct{}), make(chan struct{})
		defer close(release)
		store := newFakeStore(t, "a", func(net.Conn, receivedRequest) bool { close(arrived); <-release; return false })
		tp := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
		connection := tp.post("/n/x", "id")
		<-arrived
		tp.proxy.drain.begin(time.Now())
		tp.server.cancelRequests(errShutdown)
		got := readResponse(bufio.NewReader(connection), "POST")
		assert.Equal(t, got.status, 504)
		assert.Assert(t, got.raw.Close)
	})
	t.Run("waiting for its chain", func(t *testing.T) {
		store := newFakeStore(t, "a", streamEvents(true))
		tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
		waiting := make(chan struct{})
		tp.turnStores.onChain = func(ctx context.Context) { close(waiting); <-ctx.Done() }
		tp.turnStores.chainErr = turns.ErrUncertain
		connection := tp.post("/t/x", "id", "Previous: p")
		<-waiting
		before := results.Value(string(resultShutdown))
		tp.server.cancelRequests(errShutdown)
		got := readResponse(bufio.NewReader(connection), "POST")
		assert.Equal(t, got.status, 503)
		tp.awaitConnectionsEnd()
		assert.Equal(t, results.Value(string(resultShutdown)), before+1)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		assert.Equal(t, len(store.requests()), 0)
	})
}

// The shutdown waits for budget settlements in flight, but only until its timeout.
func TestShutdownWaitsForBudgetSettlements(t *testing.T) {
	tp := newTestProxy(t, longTimeout, nil, nil)
	settled := false
	tp.turnStores.onWait = func() { settled = true }
	tp.proxy.awaitTurnStoreCalls(testTimeout)
	assert.Assert(t, settled)

	release := make(chan struct{})
	defer close(release)
	tp.turnStores.onWait = func() { <-release }
	tp.proxy.awaitTurnStoreCalls(time.Millisecond) // returns although no settlement finishes
}

// GONE: when a client disconnects while its turn waits for its chain or its reservation, the wait is cancelled and nothing
// is sent to a store.
func TestDisconnectCancelsTurnPreparation(t *testing.T) {
	for name, arrange := range map[string]func(*fakeTurnStores, func(context.Context)){
		"chain":       func(s *fakeTurnStores, wait func(context.Context)) { s.onChain = wait },
		"reservation": func(s *fakeTurnStores, wait func(context.Context)) { s.onReserve = wait },
	} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore(t, "a", streamEvents(true))
			tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
			tp.turnStores.records["p"] = &tierpb.TurnRecord{Id: "p"}
			waiting, released := make(chan struct{}), make(chan struct{})
			arrange(tp.turnStores, func(ctx context.Context) {
				close(waiting)
				<-ctx.Done()
				close(released)
			})
			connection := tp.post("/t/x", "id", "Previous: p", "Program: q", "Budget: 100", "X-Token-Usage: 1,9")
			<-waiting
			connection.Close()
			<-released
			tp.server.close()
			tp.server.awaitConnectionsClosed(time.Now().Add(testTimeout))
			assert.Equal(t, len(store.requests()), 0)
		})
	}
}

// A stream that the end of the grace period cuts has another result than one that its store breaks off.
func TestStreamCutByShutdownHasItsOwnResult(t *testing.T) {
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{newFakeStore(t, "a", stallAfterEvents(t))})
	connection := tp.post("/s/x", "id")
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	before := results.Value(string(resultAbortedByShutdown))
	tp.proxy.drain.begin(time.Now())
	tp.server.cancelRequests(errShutdown)
	_, err = io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	tp.awaitConnectionsEnd()
	assert.Equal(t, results.Value(string(resultAbortedByShutdown)), before+1)
}
