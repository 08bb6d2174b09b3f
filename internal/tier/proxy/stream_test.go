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
	odd := "versions: 3\n: comment\nid: 4\ndata: a\ndata: b\n\n"
	store := newFakeStore(t, "a", streamEvents(true, append(numberedEvents(1, 3), odd)...))
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	got := b.send("POST", "/s/x", "id", "in")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3)+odd)
	assert.Equal(t, got.header.Get("X-Response-Signature"), "stamp-a")
}

// An event is forwarded before the next one arrives.
func TestEventsAreForwardedImmediately(t *testing.T) {
	next := make(chan struct{})
	store := newFakeStore(t, "a", func(connection net.Conn, got receivedRequest) bool {
		io.WriteString(connection, responseHead(got, 200, "Transfer-Encoding: chunked")+"\r\n")
		for _, one := range numberedEvents(1, 3) {
			fmt.Fprintf(connection, "%x\r\n%s\r\n", len(one), one)
			<-next
		}
		io.WriteString(connection, "0\r\n\r\n")
		return true
	})
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	connection, err := net.Dial("tcp4", b.address)
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
		next <- struct{}{}
	}
}

// ORDER, MIXED: a truncated stream does not look complete, and a partial event is not forwarded.
func TestTruncatedStreamDoesNotLookComplete(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(false, append(numberedEvents(1, 2), "id: 3\nda")...))
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	got := b.send("POST", "/s/x", "id", "in")
	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	assert.Equal(t, got.body, eventText(1, 2))
	assert.Equal(t, len(store.requests()), 1)
}

// TWICE: a stream that may not be resumed is not retried, not even before its first event.
func TestStreamIsNotRetriedBeforeItsFirstEvent(t *testing.T) {
	store, other := newFakeStore(t, "a", streamEvents(false)), newFakeStore(t, "b", streamEvents(false))
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store, other})
	assert.Equal(t, b.send("POST", "/s/x", "id", "in").status, 502)
	assert.Equal(t, len(store.requests())+len(other.requests()), 1)
}

// ORDER: a resumable stream continues at another store within the same response, with the first head.
func TestResumableStreamResumesAtAnotherStore(t *testing.T) {
	answer := sequence(streamEvents(false, append(numberedEvents(1, 2), "id: 3\nda")...), streamEvents(true, numberedEvents(3, 5)...))
	store, other := newFakeStore(t, "a", answer), newFakeStore(t, "b", answer)
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store, other})
	got := b.send("POST", "/r/x", "id", "in", "Last-Event-Id: 0")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 5))
	first, second := store, other
	if first.requests()[0].header.Get("Last-Event-Id") != "0" {
		first, second = other, store
	}
	assert.Equal(t, got.header.Get("X-Response-Signature"), "stamp-"+first.id)
	assert.Equal(t, second.requests()[0].header.Get("Last-Event-Id"), "2")
}

func TestResumedStreamWithGapIsAborted(t *testing.T) {
	for name, second := range map[string]script{
		"gap":     streamEvents(true, numberedEvents(4, 5)...),
		"repeat":  streamEvents(true, numberedEvents(1, 5)...),
		"failure": reply(500, ""),
		"full":    reply(503, "", "X-Not-Executed: 1"),
	} {
		t.Run(name, func(t *testing.T) {
			answer := sequence(streamEvents(false, numberedEvents(1, 2)...), second)
			store, other := newFakeStore(t, "a", answer), newFakeStore(t, "b", answer)
			b := newTestProxy(t, longTimeout, nil, []*fakeStore{store, other})
			got := b.send("POST", "/r/x", "id", "in")
			assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
			assert.Equal(t, got.body, eventText(1, 2))
		})
	}
}

func TestResumableStreamIsRetriedBeforeItsFirstEvent(t *testing.T) {
	answer := sequence(streamEvents(false), streamEvents(true, numberedEvents(1, 2)...))
	store, other := newFakeStore(t, "a", answer), newFakeStore(t, "b", answer)
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store, other})
	assert.Equal(t, b.send("POST", "/r/x", "id", "in").body, eventText(1, 2))
}

// UNASKED: the store gets the chain's inputs and outputs, oldest first, then the new input.
func TestTurnIsSentWithItsChain(t *testing.T) {
	store := newFakeStore(t, "a", sequence(streamEvents(true, "id: 1\ndata: one\n\n", "data: l1\ndata: l2\n\n"), streamEvents(true, "data:two\n\n"), reply(404, "")))
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	assert.NilError(t, b.send("POST", "/t/x", "t1", "in1").err)
	assert.NilError(t, b.send("POST", "/t/x", "t2", "in2", "Previous: t1").err)
	b.send("POST", "/t/x", "t3", "in3", "Previous: t2")
	sent := store.requests()
	assert.Equal(t, sent[0].body, "in1")
	assert.Equal(t, sent[1].body, "in1one\nl1\nl2\nin2")
	assert.Equal(t, sent[2].body, "in1one\nl1\nl2\nin2two\nin3")
	assert.Equal(t, sent[1].header.Get("Previous"), "t1")
	assert.Equal(t, b.turnStores.records["t2"].RetentionMs, uint32(60000))
	assert.Equal(t, len(b.turnStores.records), 2)
}

// LOST: the record is durable before the client sees the end of the response; otherwise the response is aborted.
func TestTurnIsSavedBeforeResponseEnds(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(true, numberedEvents(1, 2)...))
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	b.turnStores.saveErr = replica.ErrUncertain
	got := b.send("POST", "/t/x", "t1", "in1")
	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	assert.Equal(t, got.body, eventText(1, 2))
}

func TestAbortedTurnIsNotSaved(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(false, numberedEvents(1, 2)...))
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	assert.Assert(t, b.send("POST", "/t/x", "t1", "in1").err != nil)
	assert.Equal(t, len(b.turnStores.records), 0)
}

// LOST: 404 is sent only if it is certain that there is no such turn.
func TestPreviousTurnUnknownOrUncertain(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(true))
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	assert.Equal(t, b.send("POST", "/t/x", "t2", "in", "Previous: t1").status, 404)
	b.turnStores.chainErr = turns.ErrUncertain
	got := b.send("POST", "/t/x", "t2", "in", "Previous: t1", "Program: p", "Budget: 90", "X-Token-Usage: 5,9")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(store.requests()), 0)
	assert.Assert(t, b.turnStores.withdrawn["t2"])
}

// BUDGET: a turn's maximum is reserved before it is sent, and what it generated is settled at its end.
func TestBudgetIsReservedAndSettled(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(true, numberedEvents(1, 2)...))
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	assert.NilError(t, b.send("POST", "/s/x", "t1", "in", limited...).err)
	assert.Equal(t, b.turnStores.reserved["t1"], uint64(9))
	assert.Equal(t, b.turnStores.settled["t1"], uint64(6))
	assert.Assert(t, !b.turnStores.withdrawn["t1"])
}

// BUDGET: no more events are forwarded than were reserved.
func TestTurnIsAbortedAtItsReservation(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(true, numberedEvents(1, 5)...))
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	got := b.send("POST", "/s/x", "t1", "in", limited...)
	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	assert.Equal(t, got.body, eventText(1, 3))
	assert.Equal(t, len(b.turnStores.settled), 0)
	assert.Assert(t, !b.turnStores.withdrawn["t1"])
}

// REFUSED: 402 and 503 are sent before anything is sent to a store.
// A Budget that cannot be read is no budget without limit: the request is malformed, and nothing is run or reserved for it.
func TestTurnWithMalformedBudgetIsNotSent(t *testing.T) {
	for _, malformed := range []string{"many", "-1", "1.5", "9 tokens", "99999999999999999999"} {
		store := newFakeStore(t, "a", streamEvents(true, numberedEvents(1, 3)...))
		b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
		b.turnStores.onReserve = func(context.Context) { t.Errorf("%q: reserved", malformed) }
		got := b.send("POST", "/t/x", "t1", "in", "Program: p", "Budget: "+malformed, "X-Token-Usage: 5,9")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 400, "%q", malformed)
		assert.Equal(t, len(store.requests()), 0, "%q", malformed)
	}
}

func TestTurnBeyondBudgetIsNotSent(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(true))
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	b.turnStores.reserveErr = budget.ErrExhausted
	assert.Equal(t, b.send("POST", "/s/x", "t1", "in", limited...).status, 402)
	b.turnStores.reserveErr = budget.ErrUncertain
	assert.Equal(t, b.send("POST", "/s/x", "t1", "in", limited...).status, 503)
	assert.Equal(t, len(store.requests()), 0)
}

func TestAbortedTurnStaysFullyReserved(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(false, numberedEvents(1, 2)...))
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	assert.Assert(t, b.send("POST", "/s/x", "t1", "in", limited...).err != nil)
	assert.Equal(t, len(b.turnStores.settled)+len(b.turnStores.withdrawn), 0)
}

func TestDeclinedTurnIsWithdrawnFromBudget(t *testing.T) {
	store := newFakeStore(t, "a", reply(503, "", "X-Not-Executed: 1"))
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	assert.Equal(t, b.send("POST", "/s/x", "t1", "in", limited...).status, 503)
	assert.Assert(t, b.turnStores.withdrawn["t1"])
}

// ROUTE, CONFIG: a new configuration applies at once, an older one never again.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, "ok"))
	b := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	newer := strings.ReplaceAll(fmt.Sprintf(testConfiguration, 7, 1000), "/n/", "/new/")
	b.configure(7, newer)
	assert.Equal(t, b.send("POST", "/new/x", "id", "").status, 200)
	assert.Equal(t, b.send("POST", "/n/x", "id", "").status, 404)
	b.proxy.snapshots.apply(&tierpb.ControlState{Version: 1, Configuration: &tierpb.Configuration{Generation: 1, Body: []byte(fmt.Sprintf(testConfiguration, 1, 1000))}})
	assert.Equal(t, b.send("POST", "/n/x", "id", "").status, 404)
}

// DRAIN, ROUTE: a draining store gets no new requests.
func TestDrainingStoreGetsNoRequests(t *testing.T) {
	leaving, staying := newFakeStore(t, "a", reply(200, "a")), newFakeStore(t, "b", reply(200, "b"))
	b := newTestProxy(t, longTimeout, []*fakeStore{leaving, staying}, nil)
	told := leaving.instance("plain")
	told.Sequence, told.State = 2, tierpb.InstanceState_INSTANCE_DRAINING
	b.proxy.state.Upsert(told)
	b.proxy.applyState()
	for i := range 10 {
		assert.Equal(t, b.send("POST", "/n/x", fmt.Sprint(i), "").body, "b")
	}
	assert.Equal(t, len(leaving.requests()), 0)
}

// ORDER: a stream whose store stops sending midway is resumed at another store.
func TestStalledStreamResumesAtAnotherStore(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	silent := func(connection net.Conn, got receivedRequest) bool {
		streamEvents(false, numberedEvents(1, 2)...)(connection, got)
		<-release
		return false
	}
	answer := sequence(silent, streamEvents(true, numberedEvents(3, 4)...))
	store, other := newFakeStore(t, "a", answer), newFakeStore(t, "b", answer)
	b := newTestProxy(t, time.Second, nil, []*fakeStore{store, other})
	got := b.send("POST", "/r/x", "id", "in")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 4))
}
