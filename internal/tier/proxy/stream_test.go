package proxy

import (
	"bufio"
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

func text(first, last int) string { return strings.Join(numbered(first, last), "") }

func TestStreamIsPassedOn(t *testing.T) {
	odd := "versions: 3\n: comment\nid: 4\ndata: a\ndata: b\n\n"
	store := newStandIn(t, "a", events(true, append(numbered(1, 3), odd)...))
	b := newBench(t, longTimeout, nil, []*standIn{store})
	got := b.send("POST", "/s/x", "id", "in")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, text(1, 3)+odd)
	assert.Equal(t, got.header.Get("X-Response-Signature"), "stamp-a")
}

// An event is passed on before the next one comes.
func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	next := make(chan struct{})
	store := newStandIn(t, "a", func(connection net.Conn, got received) bool {
		io.WriteString(connection, head(got, 200, "Transfer-Encoding: chunked")+"\r\n")
		for _, one := range numbered(1, 3) {
			fmt.Fprintf(connection, "%x\r\n%s\r\n", len(one), one)
			<-next
		}
		io.WriteString(connection, "0\r\n\r\n")
		return true
	})
	b := newBench(t, longTimeout, nil, []*standIn{store})
	connection, err := net.Dial("tcp4", b.addr)
	assert.NilError(t, err)
	defer connection.Close()
	assert.NilError(t, connection.SetDeadline(time.Now().Add(patienceOfTests)))
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

// ORDER, MIXED: a stream that broke off does not look complete, and half an event is not passed on.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	store := newStandIn(t, "a", events(false, append(numbered(1, 2), "id: 3\nda")...))
	b := newBench(t, longTimeout, nil, []*standIn{store})
	got := b.send("POST", "/s/x", "id", "in")
	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	assert.Equal(t, got.body, text(1, 2))
	assert.Equal(t, len(store.requests()), 1)
}

// TWICE: a stream that may not be resumed is not sent again, also before its first event.
func TestStreamBeforeItsFirstEventIsSentOnce(t *testing.T) {
	store, other := newStandIn(t, "a", events(false)), newStandIn(t, "b", events(false))
	b := newBench(t, longTimeout, nil, []*standIn{store, other})
	assert.Equal(t, b.send("POST", "/s/x", "id", "in").status, 502)
	assert.Equal(t, len(store.requests())+len(other.requests()), 1)
}

// ORDER: a resumable stream goes on at another store inside the same answer, with the first head.
func TestResumableStreamGoesOn(t *testing.T) {
	answer := inTurn(events(false, append(numbered(1, 2), "id: 3\nda")...), events(true, numbered(3, 5)...))
	store, other := newStandIn(t, "a", answer), newStandIn(t, "b", answer)
	b := newBench(t, longTimeout, nil, []*standIn{store, other})
	got := b.send("POST", "/r/x", "id", "in", "Last-Event-Id: 0")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, text(1, 5))
	first, second := store, other
	if first.requests()[0].header.Get("Last-Event-Id") != "0" {
		first, second = other, store
	}
	assert.Equal(t, got.header.Get("X-Response-Signature"), "stamp-"+first.id)
	assert.Equal(t, second.requests()[0].header.Get("Last-Event-Id"), "2")
}

func TestResumedStreamWithAGapIsBrokenOff(t *testing.T) {
	for name, second := range map[string]script{
		"gap":     events(true, numbered(4, 5)...),
		"repeat":  events(true, numbered(1, 5)...),
		"failure": whole(500, ""),
		"full":    whole(503, "", "X-Not-Executed: 1"),
	} {
		t.Run(name, func(t *testing.T) {
			answer := inTurn(events(false, numbered(1, 2)...), second)
			store, other := newStandIn(t, "a", answer), newStandIn(t, "b", answer)
			b := newBench(t, longTimeout, nil, []*standIn{store, other})
			got := b.send("POST", "/r/x", "id", "in")
			assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
			assert.Equal(t, got.body, text(1, 2))
		})
	}
}

func TestResumableStreamStartsAnew(t *testing.T) {
	answer := inTurn(events(false), events(true, numbered(1, 2)...))
	store, other := newStandIn(t, "a", answer), newStandIn(t, "b", answer)
	b := newBench(t, longTimeout, nil, []*standIn{store, other})
	assert.Equal(t, b.send("POST", "/r/x", "id", "in").body, text(1, 2))
}

// UNASKED: the store gets the chain's inputs and outputs, oldest first, then the new input.
func TestTurnGetsItsChain(t *testing.T) {
	store := newStandIn(t, "a", inTurn(events(true, "id: 1\ndata: one\n\n", "data: l1\ndata: l2\n\n"), events(true, "data:two\n\n"), whole(404, "")))
	b := newBench(t, longTimeout, nil, []*standIn{store})
	assert.NilError(t, b.send("POST", "/t/x", "t1", "in1").err)
	assert.NilError(t, b.send("POST", "/t/x", "t2", "in2", "Previous: t1").err)
	b.send("POST", "/t/x", "t3", "in3", "Previous: t2")
	sent := store.requests()
	assert.Equal(t, sent[0].body, "in1")
	assert.Equal(t, sent[1].body, "in1one\nl1\nl2\nin2")
	assert.Equal(t, sent[2].body, "in1one\nl1\nl2\nin2two\nin3")
	assert.Equal(t, sent[1].header.Get("Previous"), "t1")
	assert.Equal(t, b.keeper.records["t2"].RetentionMs, uint32(60000))
	assert.Equal(t, len(b.keeper.records), 2)
}

// LOST: the record stands before the client sees the end of the answer; where it does not, the answer breaks off.
func TestTurnIsSavedBeforeItsEnd(t *testing.T) {
	store := newStandIn(t, "a", events(true, numbered(1, 2)...))
	b := newBench(t, longTimeout, nil, []*standIn{store})
	b.keeper.saveErr = replica.ErrUncertain
	got := b.send("POST", "/t/x", "t1", "in1")
	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	assert.Equal(t, got.body, text(1, 2))
}

func TestBrokenTurnIsNotSaved(t *testing.T) {
	store := newStandIn(t, "a", events(false, numbered(1, 2)...))
	b := newBench(t, longTimeout, nil, []*standIn{store})
	assert.Assert(t, b.send("POST", "/t/x", "t1", "in1").err != nil)
	assert.Equal(t, len(b.keeper.records), 0)
}

// LOST: 404 only where it is sure that there is no such turn.
func TestTurnBeforeIsUnknownOrUncertain(t *testing.T) {
	store := newStandIn(t, "a", events(true))
	b := newBench(t, longTimeout, nil, []*standIn{store})
	assert.Equal(t, b.send("POST", "/t/x", "t2", "in", "Previous: t1").status, 404)
	b.keeper.chainErr = turns.ErrUncertain
	got := b.send("POST", "/t/x", "t2", "in", "Previous: t1", "Program: p", "Budget: 90", "X-Token-Usage: 5,9")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(store.requests()), 0)
	assert.Assert(t, b.keeper.withdrawn["t2"])
}

var limited = []string{"Program: p", "Budget: 90", "X-Token-Usage: 100,9"}

// BUDGET: a turn's most is reserved before it is sent, and what it generated is settled at its end.
func TestTurnIsReservedAndSettled(t *testing.T) {
	store := newStandIn(t, "a", events(true, numbered(1, 2)...))
	b := newBench(t, longTimeout, nil, []*standIn{store})
	assert.NilError(t, b.send("POST", "/s/x", "t1", "in", limited...).err)
	assert.Equal(t, b.keeper.reserved["t1"], uint64(9))
	assert.Equal(t, b.keeper.settled["t1"], uint64(6))
	assert.Assert(t, !b.keeper.withdrawn["t1"])
}

// BUDGET: no more events are passed on than were reserved.
func TestTurnIsCutAtItsMost(t *testing.T) {
	store := newStandIn(t, "a", events(true, numbered(1, 5)...))
	b := newBench(t, longTimeout, nil, []*standIn{store})
	got := b.send("POST", "/s/x", "t1", "in", limited...)
	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	assert.Equal(t, got.body, text(1, 3))
	assert.Equal(t, len(b.keeper.settled), 0)
	assert.Assert(t, !b.keeper.withdrawn["t1"])
}

// REFUSED: 402 and 503 come before anything is sent.
func TestTurnWithoutRoomIsNotSent(t *testing.T) {
	store := newStandIn(t, "a", events(true))
	b := newBench(t, longTimeout, nil, []*standIn{store})
	b.keeper.reserveErr = budget.ErrExhausted
	assert.Equal(t, b.send("POST", "/s/x", "t1", "in", limited...).status, 402)
	b.keeper.reserveErr = budget.ErrUncertain
	assert.Equal(t, b.send("POST", "/s/x", "t1", "in", limited...).status, 503)
	assert.Equal(t, len(store.requests()), 0)
}

func TestBrokenTurnStaysAtItsMost(t *testing.T) {
	store := newStandIn(t, "a", events(false, numbered(1, 2)...))
	b := newBench(t, longTimeout, nil, []*standIn{store})
	assert.Assert(t, b.send("POST", "/s/x", "t1", "in", limited...).err != nil)
	assert.Equal(t, len(b.keeper.settled)+len(b.keeper.withdrawn), 0)
}

func TestTurnThatNoStoreTookIsWithdrawn(t *testing.T) {
	store := newStandIn(t, "a", whole(503, "", "X-Not-Executed: 1"))
	b := newBench(t, longTimeout, nil, []*standIn{store})
	assert.Equal(t, b.send("POST", "/s/x", "t1", "in", limited...).status, 503)
	assert.Assert(t, b.keeper.withdrawn["t1"])
}

// ROUTE, CONFIG: a new configuration is in force at once, an older one never again.
func TestConfigurationNeverGoesBack(t *testing.T) {
	store := newStandIn(t, "a", whole(200, "ok"))
	b := newBench(t, longTimeout, []*standIn{store}, nil)
	newer := strings.ReplaceAll(fmt.Sprintf(testConfiguration, 7, 1000), "/n/", "/new/")
	b.configure(7, newer)
	assert.Equal(t, b.send("POST", "/new/x", "id", "").status, 200)
	assert.Equal(t, b.send("POST", "/n/x", "id", "").status, 404)
	b.proxy.views.take(&tierpb.ControlState{Version: 1, Configuration: &tierpb.Configuration{Generation: 1, Body: []byte(fmt.Sprintf(testConfiguration, 1, 1000))}})
	assert.Equal(t, b.send("POST", "/n/x", "id", "").status, 404)
}

// DRAIN, ROUTE: a store that leaves gets nothing more.
func TestDrainingStoreGetsNothing(t *testing.T) {
	leaving, staying := newStandIn(t, "a", whole(200, "a")), newStandIn(t, "b", whole(200, "b"))
	b := newBench(t, longTimeout, []*standIn{leaving, staying}, nil)
	told := leaving.instance("plain")
	told.Sequence, told.State = 2, tierpb.InstanceState_INSTANCE_DRAINING
	b.proxy.state.Upsert(told)
	b.proxy.refresh()
	for i := range 10 {
		assert.Equal(t, b.send("POST", "/n/x", fmt.Sprint(i), "").body, "b")
	}
	assert.Equal(t, len(leaving.requests()), 0)
}

// ORDER: a store that falls silent midway is left, and another goes on.
func TestStreamThatFallsSilentGoesOnElsewhere(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	silent := func(connection net.Conn, got received) bool {
		events(false, numbered(1, 2)...)(connection, got)
		<-release
		return false
	}
	answer := inTurn(silent, events(true, numbered(3, 4)...))
	store, other := newStandIn(t, "a", answer), newStandIn(t, "b", answer)
	b := newBench(t, time.Second, nil, []*standIn{store, other})
	got := b.send("POST", "/r/x", "id", "in")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, text(1, 4))
}
