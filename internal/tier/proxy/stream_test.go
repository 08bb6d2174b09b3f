package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

func TestStreamIsForwardedUnchanged(t *testing.T) {
	otherFields := "versions: 3\n: comment\nid: 4\ndata: a\ndata: b\n\n"
	store := newFakeStore(t, "a", streamEvents(true, append(numberedEvents(1, 3), otherFields)...))
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	got := tp.send("POST", "/s/x", "id", "in")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3)+otherFields)
	assert.Equal(t, got.header.Get("X-Response-Signature"), "signature-a")
}

// Each event is forwarded before the next one arrives.
func TestEventsAreForwardedImmediately(t *testing.T) {
	sendNext := make(chan struct{})
	store := newFakeStore(t, "a", func(connection net.Conn, got receivedRequest) bool {
		io.WriteString(connection, responseHead(got, 200, "Transfer-Encoding: chunked")+"\r\n")
		for _, event := range numberedEvents(1, 3) {
			fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event)
			<-sendNext
		}
		io.WriteString(connection, "0\r\n\r\n")
		return true
	})
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	connection, err := net.Dial("tcp4", tp.address)
	assert.NilError(t, err)
	defer connection.Close()
	assert.NilError(t, connection.SetDeadline(time.Now().Add(testTimeout)))
	fmt.Fprintf(connection, "POST /s/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id\r\nContent-Length: 0\r\n\r\n")
	reader := bufio.NewReader(connection)
	for i := 1; i <= 3; i++ {
		for line := ""; line != fmt.Sprintf("data: piece %d\n", i); {
			line, err = reader.ReadString('\n')
			assert.NilError(t, err)
		}
		sendNext <- struct{}{}
	}
}

// ORDER, MIXED: a truncated stream does not look complete to the client, and a partial event is not forwarded.
func TestTruncatedStreamDoesNotLookComplete(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(false, append(numberedEvents(1, 2), "id: 3\nda")...))
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	got := tp.send("POST", "/s/x", "id", "in")
	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	assert.Equal(t, got.body, eventText(1, 2))
	assert.Equal(t, len(store.requests()), 1)
}

// TWICE: a stream that is not resumable is not retried, not even before its first event.
func TestNonResumableStreamIsNotRetriedBeforeItsFirstEvent(t *testing.T) {
	store, other := newFakeStore(t, "a", streamEvents(false)), newFakeStore(t, "b", streamEvents(false))
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store, other})
	assert.Equal(t, tp.send("POST", "/s/x", "id", "in").status, 502)
	assert.Equal(t, len(store.requests())+len(other.requests()), 1)
}

// ORDER: a resumable stream that is truncated continues at another store within the same response. The client gets only
// the first store's head.
func TestResumableStreamResumesAtAnotherStore(t *testing.T) {
	answer := sequence(streamEvents(false, append(numberedEvents(1, 2), "id: 3\nda")...), streamEvents(true, numberedEvents(3, 5)...))
	store, other := newFakeStore(t, "a", answer), newFakeStore(t, "b", answer)
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store, other})
	got := tp.send("POST", "/r/x", "id", "in", "Last-Event-Id: 0")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 5))
	first, second := store, other
	if first.requests()[0].header.Get("Last-Event-Id") != "0" {
		first, second = other, store
	}
	assert.Equal(t, got.header.Get("X-Response-Signature"), "signature-"+first.id)
	assert.Equal(t, second.requests()[0].header.Get("Last-Event-Id"), "2")
}

func TestResumedStreamWithGapIsAborted(t *testing.T) {
	for name, second := range map[string]script{
		"gap":      streamEvents(true, numberedEvents(4, 5)...),
		"repeat":   streamEvents(true, numberedEvents(1, 5)...),
		"error":    reply(500, ""),
		"declined": reply(503, "", "X-Not-Executed: 1"),
	} {
		t.Run(name, func(t *testing.T) {
			answer := sequence(streamEvents(false, numberedEvents(1, 2)...), second)
			store, other := newFakeStore(t, "a", answer), newFakeStore(t, "b", answer)
			tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store, other})
			got := tp.send("POST", "/r/x", "id", "in")
			assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
			assert.Equal(t, got.body, eventText(1, 2))
		})
	}
}

func TestResumableStreamIsRetriedBeforeItsFirstEvent(t *testing.T) {
	answer := sequence(streamEvents(false), streamEvents(true, numberedEvents(1, 2)...))
	store, other := newFakeStore(t, "a", answer), newFakeStore(t, "b", answer)
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store, other})
	assert.Equal(t, tp.send("POST", "/r/x", "id", "in").body, eventText(1, 2))
}

// UNASKED: the store receives the inputs and outputs of the previous turns, oldest first, and then the new input.
func TestTurnIsSentWithItsChain(t *testing.T) {
	store := newFakeStore(t, "a", sequence(streamEvents(true, "id: 1\ndata: one\n\n", "data: l1\ndata: l2\n\n"), streamEvents(true, "data:two\n\n"), reply(404, "")))
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	assert.NilError(t, tp.send("POST", "/t/x", "t1", "in1").err)
	assert.NilError(t, tp.send("POST", "/t/x", "t2", "in2", "Previous: t1").err)
	tp.send("POST", "/t/x", "t3", "in3", "Previous: t2")
	sent := store.requests()
	assert.Equal(t, sent[0].body, "in1")
	assert.Equal(t, sent[1].body, "in1one\nl1\nl2\nin2")
	assert.Equal(t, sent[2].body, "in1one\nl1\nl2\nin2two\nin3")
	assert.Equal(t, sent[1].header.Get("Previous"), "t1")
	assert.Equal(t, tp.turnStores.records["t2"].RetentionMs, uint32(60000))
	assert.Equal(t, len(tp.turnStores.records), 2)
}

// LOST: the client receives the end of the response only after the turn's record is durable. If the record cannot be saved,
// the response is aborted.
func TestTurnIsSavedBeforeResponseEnds(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(true, numberedEvents(1, 2)...))
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	tp.turnStores.saveErr = replica.ErrUncertain
	got := tp.send("POST", "/t/x", "t1", "in1")
	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	assert.Equal(t, got.body, eventText(1, 2))
}

func TestAbortedTurnIsNotSaved(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(false, numberedEvents(1, 2)...))
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	assert.Assert(t, tp.send("POST", "/t/x", "t1", "in1").err != nil)
	assert.Equal(t, len(tp.turnStores.records), 0)
}

// LOST: a 404 is sent only if the previous turn certainly does not exist.
func TestPreviousTurnUnknownOrUncertain(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(true))
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	assert.Equal(t, tp.send("POST", "/t/x", "t2", "in", "Previous: t1").status, 404)
	tp.turnStores.chainErr = turns.ErrUncertain
	got := tp.send("POST", "/t/x", "t2", "in", "Previous: t1", "Program: p", "Budget: 90", "X-Token-Usage: 5,9")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(store.requests()), 0)
	assert.Assert(t, tp.turnStores.withdrawn["t2"])
}

// BUDGET: a turn's maximum number of tokens is reserved, and the number it generated is settled at its end.
func TestBudgetIsReservedAndSettled(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(true, numberedEvents(1, 2)...))
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	assert.NilError(t, tp.send("POST", "/s/x", "t1", "in", budgetFields...).err)
	assert.Equal(t, tp.turnStores.reserved["t1"], uint64(9))
	assert.Equal(t, tp.turnStores.settled["t1"], uint64(6))
	assert.Assert(t, !tp.turnStores.withdrawn["t1"])
}

// BUDGET: a turn is aborted when it would exceed its reservation.
func TestTurnIsAbortedAtItsReservation(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(true, numberedEvents(1, 5)...))
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	got := tp.send("POST", "/s/x", "t1", "in", budgetFields...)
	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Equal(t, len(tp.turnStores.settled), 0)
	assert.Assert(t, !tp.turnStores.withdrawn["t1"])
}

// A malformed Budget does not mean an unlimited one: the request gets a 400, and nothing is sent or reserved for it.
func TestTurnWithMalformedBudgetIsNotSent(t *testing.T) {
	for _, malformed := range []string{"many", "-1", "1.5", "9 tokens", "99999999999999999999"} {
		store := newFakeStore(t, "a", streamEvents(true, numberedEvents(1, 3)...))
		tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
		tp.turnStores.onReserve = func(context.Context) { t.Errorf("%q: reserved", malformed) }
		got := tp.send("POST", "/t/x", "t1", "in", "Program: p", "Budget: "+malformed, "X-Token-Usage: 5,9")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 400, "%q", malformed)
		assert.Equal(t, len(store.requests()), 0, "%q", malformed)
	}
}

// REFUSED: a turn whose budget is exhausted, or cannot be reserved, gets a 402 or 503 and is not sent to a store.
func TestTurnBeyondBudgetIsNotSent(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(true))
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	tp.turnStores.reserveErr = budget.ErrExhausted
	assert.Equal(t, tp.send("POST", "/s/x", "t1", "in", budgetFields...).status, 402)
	tp.turnStores.reserveErr = budget.ErrUncertain
	assert.Equal(t, tp.send("POST", "/s/x", "t1", "in", budgetFields...).status, 503)
	assert.Equal(t, len(store.requests()), 0)
}

func TestAbortedTurnStaysFullyReserved(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(false, numberedEvents(1, 2)...))
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	assert.Assert(t, tp.send("POST", "/s/x", "t1", "in", budgetFields...).err != nil)
	assert.Equal(t, len(tp.turnStores.settled)+len(tp.turnStores.withdrawn), 0)
}

func TestDeclinedTurnIsWithdrawnFromBudget(t *testing.T) {
	store := newFakeStore(t, "a", reply(503, "", "X-Not-Executed: 1"))
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	assert.Equal(t, tp.send("POST", "/s/x", "t1", "in", budgetFields...).status, 503)
	assert.Assert(t, tp.turnStores.withdrawn["t1"])
}

// ROUTE, CONFIG: a newer configuration applies at once, and an older one is ignored.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, "ok"))
	tp := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	newer := strings.ReplaceAll(fmt.Sprintf(testConfiguration, 7, 1000), "/n/", "/new/")
	tp.configure(7, newer)
	assert.Equal(t, tp.send("POST", "/new/x", "id", "").status, 200)
	assert.Equal(t, tp.send("POST", "/n/x", "id", "").status, 404)
	tp.proxy.snapshots.apply(&tierpb.ControlState{Version: 1, Configuration: &tierpb.Configuration{Generation: 1, Body: []byte(fmt.Sprintf(testConfiguration, 1, 1000))}})
	assert.Equal(t, tp.send("POST", "/n/x", "id", "").status, 404)
}

// DRAIN, ROUTE: no new requests are sent to a draining store.
func TestDrainingStoreGetsNoRequests(t *testing.T) {
	draining, active := newFakeStore(t, "a", reply(200, "a")), newFakeStore(t, "b", reply(200, "b"))
	tp := newTestProxy(t, longTimeout, []*fakeStore{draining, active}, nil)
	update := draining.instance("plain")
	update.Sequence, update.State = 2, tierpb.InstanceState_INSTANCE_DRAINING
	tp.proxy.state.Upsert(update)
	tp.proxy.applyState()
	for i := range 10 {
		assert.Equal(t, tp.send("POST", "/n/x", fmt.Sprint(i), "").body, "b")
	}
	assert.Equal(t, len(draining.requests()), 0)
}

// ORDER: a resumable stream whose store stops sending midway is resumed at another store.
func TestStalledStreamResumesAtAnotherStore(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	stallAfterTwo := func(connection net.Conn, got receivedRequest) bool {
		streamEvents(false, numberedEvents(1, 2)...)(connection, got)
		<-release
		return false
	}
	answer := sequence(stallAfterTwo, streamEvents(true, numberedEvents(3, 4)...))
	store, other := newFakeStore(t, "a", answer), newFakeStore(t, "b", answer)
	tp := newTestProxy(t, time.Second, nil, []*fakeStore{store, other})
	got := tp.send("POST", "/r/x", "id", "in")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 4))
}
