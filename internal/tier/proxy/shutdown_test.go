package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// LOST: after the listener is closed, a connection whose last response did not ask for the close may still carry one
// more request; the response to that asks for it. An idle connection is closed.
func TestIdleConnectionIsClosedAfterListenerIsClosed(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, "x"))
	b := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	var open [2]net.Conn
	for i := range open {
		open[i] = b.post("/n/x", fmt.Sprint("first-", i))
		assert.Assert(t, !readResponse(bufio.NewReader(open[i]), "POST").raw.Close)
	}
	b.proxy.draining.Store(true)
	b.server.stopAccepting()
	b.server.closeIdle(time.Now().Add(-time.Second)) // neither has rested long, as this moment has it
	got := b.sendOn(open[0], "POST", "/n/x", "second", "in")
	assert.Equal(t, got.status, 200)
	assert.Assert(t, got.raw.Close)
	b.awaitConnectionsEnd()
	_, err := open[1].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// LOST: at the end of the grace period pending requests are answered, with a not-executed guarantee only if nothing
// was sent.
func TestPendingRequestsAreAnsweredAtEndOfGracePeriod(t *testing.T) {
	t.Run("at a store", func(t *testing.T) {
		arrived, release := make(chan struct{}), make(chan struct{})
		defer close(release)
		store := newFakeStore(t, "a", func(net.Conn, receivedRequest) bool { close(arrived); <-release; return false })
		b := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
		connection := b.post("/n/x", "id")
		<-arrived
		b.proxy.draining.Store(true)
		b.server.cancelRequests(errShutdown)
		got := readResponse(bufio.NewReader(connection), "POST")
		assert.Equal(t, got.status, 504)
		assert.Assert(t, got.raw.Close)
	})
	t.Run("waiting for its chain", func(t *testing.T) {
		store := newFakeStore(t, "a", streamEvents(true))
		b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
		waiting := make(chan struct{})
		b.turnStores.onChain = func(ctx context.Context) { close(waiting); <-ctx.Done() }
		b.turnStores.chainErr = turns.ErrUncertain
		connection := b.post("/t/x", "id", "Previous: p")
		<-waiting
		before := results.Value(string(resultShutdown))
		b.server.cancelRequests(errShutdown)
		got := readResponse(bufio.NewReader(connection), "POST")
		assert.Equal(t, got.status, 503)
		b.awaitConnectionsEnd()
		assert.Equal(t, results.Value(string(resultShutdown)), before+1)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		assert.Equal(t, len(store.requests()), 0)
	})
}

// Budget settlements in flight when the process is told to stop are finished before it ends.
func TestShutdownWaitsForBudgetSettlements(t *testing.T) {
	b := newTestProxy(t, longTimeout, nil, nil)
	settled := false
	b.turnStores.onWait = func() { settled = true }
	b.proxy.awaitSettlement(testTimeout)
	assert.Assert(t, settled)

	never := make(chan struct{})
	defer close(never)
	b.turnStores.onWait = func() { <-never }
	b.proxy.awaitSettlement(time.Millisecond) // comes back all the same
}

// GONE: a client that disconnects while its turn waits for its chain or its reservation is released, and no store gets
// anything.
func TestDisconnectCancelsTurnPreparation(t *testing.T) {
	for name, arrange := range map[string]func(*fakeTurnStores, func(context.Context)){
		"chain": func(k *fakeTurnStores, wait func(context.Context)) { k.onChain = wait },
		"claim": func(k *fakeTurnStores, wait func(context.Context)) { k.onReserve = wait },
	} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore(t, "a", streamEvents(true))
			b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
			b.turnStores.records["p"] = &tierpb.TurnRecord{Id: "p"}
			waiting, released := make(chan struct{}), make(chan struct{})
			arrange(b.turnStores, func(ctx context.Context) {
				close(waiting)
				<-ctx.Done()
				close(released)
			})
			connection := b.post("/t/x", "id", "Previous: p", "Program: q", "Budget: 100", "X-Token-Usage: 1,9")
			<-waiting
			connection.Close()
			<-released
			b.server.close()
			b.server.awaitConnectionsClosed(time.Now().Add(testTimeout))
			assert.Equal(t, len(store.requests()), 0)
		})
	}
}
