package frames

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/proptest"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
)

func TestGarbage(t *testing.T) {
	proptest.CheckParser(t, true, func(b []byte) error {
		return readFrame(bufio.NewReader(bytes.NewReader(b)), func(byte, []byte) error { return nil })
	}, string(testbed.Frame('E', "a.3 hit 7 -\n"+strings.Repeat("v", 9000))), string(testbed.Frame('E', "a.3 hit 7 -\nvalue")), string(testbed.Frame('C', "hit")))
	proptest.CheckParser(t, false, func(b []byte) error { _, err := parseOutcome(b); return err },
		"9b1f03aa5c7e2d41.3 hit 1840277719 inflight=7,util=0.61\nvalue", "a.1 overload 0 -\n", "a.1 hit 0 %% =, nan\nvalue", "a.1 hit 0 \n")
	proptest.CheckParser(t, false, func(b []byte) error {
		if len(b) == 0 {
			return nil
		}
		return (&conn{t: New(Config{}), s: &server{}, recent: []string{"a.3"}}).receive(b[0], b[1:])
	}, "Chit", "Ea.3 hit 7 -\nvalue")
}

// A call is encoded as the protocol says, also where it is larger than a buffer.
func TestWriteCall(t *testing.T) {
	a := &gather.Attempt{Query: "9b1f03aa5c7e2d41", Shard: 3, Key: "5c0f", Text: []byte("c41e77d0")}
	big := &gather.Attempt{Query: "b", Shard: 4, Text: bytes.Repeat([]byte("x"), 60<<10)}
	all := []*gather.Attempt{a, big, big}
	var lines []string
	want := ""
	for _, a := range all {
		lines = append(lines, subqueryHeader(a, 240))
		want += lines[len(lines)-1] + string(a.Text)
	}
	if lines[0] != "9b1f03aa5c7e2d41.3 3 d=240,k=5c0f 8\n" || lines[1] != "b.4 4 d=240 61440\n" {
		t.Errorf("lines %q", lines)
	}
	var out bytes.Buffer
	if err := writeCall(&out, lines, all); err != nil || !bytes.Equal(out.Bytes(), testbed.Frame('A', want)) {
		t.Errorf("%d bytes, error %v", out.Len(), err)
	}
}

// A subquery of a second step has its own id, and describes the first step. Its answer cannot be taken for that of the
// first step, and a duplicate is ignored.
func TestSecondStep(t *testing.T) {
	list := attempts(2)
	first, second := list[0], list[1]
	second.Shard, second.FirstStep = 0, &gather.FirstStep{From: []int{0, 5, 9}, Complete: true}
	if l := subqueryHeader(second, 240); l != "q.0.load 0 d=240,from=0+5+9,whole=1 0\n" {
		t.Errorf("line %q", l)
	}
	second.Key, second.FirstStep.Complete = "5c0f", false
	if l := subqueryHeader(second, 240); l != "q.0.load 0 d=240,k=5c0f,from=0+5+9,whole=0 0\n" {
		t.Errorf("line %q", l)
	}
	tr, r := transport("127.0.0.1:1", time.Minute)
	c := parked(tr, nil)
	c.inFlight["q.0"], c.inFlight["q.0.load"] = &entry{a: first}, &entry{a: second}
	for _, x := range []struct {
		id   string
		want *gather.Attempt
	}{{"q.0.load", second}, {"q.0.load", nil}, {"q.0", first}} {
		if err := c.receive('E', []byte(x.id+" hit 7 -\nv")); err != nil {
			t.Fatal(err)
		}
		var got *gather.Attempt
		if len(r.ch) > 0 {
			got = (<-r.ch).a
		}
		if got != x.want {
			t.Errorf("%s: reported %+v", x.id, got)
		}
	}
	if err := c.receive('E', []byte("q.4.load hit 7 -\nv")); err == nil {
		t.Error("took an answer to a part of a second step that was never out")
	}
}

// A score is a finite number or missing; the answer is good all the same.
func TestScore(t *testing.T) {
	for text, want := range map[string]float64{"1840277719": 1840277719, "-3": -3, "0": 0, "-": -1, "": -1, "nan": -1, "inf": -1, "1e999": -1, "7x": -1} {
		e, err := parseOutcome([]byte("q.1 hit " + text + " -\nv"))
		got := -1.0
		if e.score != nil {
			got = *e.score
		}
		if err != nil || got != want || string(e.value) != "v" {
			t.Errorf("%q: score %v, value %q, error %v", text, got, e.value, err)
		}
	}
	proptest.CheckParser(t, false, func(b []byte) error { _, err := parseOutcome(b); return err }, "9b1f03aa5c7e2d41.3.load hit 1840277719 inflight=7\nvalue")
}

// What breaks before the last byte of its frame never ran; what breaks after it may have, all subqueries of it.
func TestBrokenConnection(t *testing.T) {
	l := testbed.Listen(t)
	script := &testbed.Script{}
	script.Set(map[int][]testbed.End{2: {testbed.Reset}, 0: {testbed.NoAnswer}, 1: {testbed.NoAnswer}})
	go testbed.Frames(l, script)
	tr, r := transport(l.Addr().String(), time.Minute)
	tr.Call(1, attempts(3))
	r.want(t, 3, decision.Reset)
	tr.Call(1, attempts(3))
	r.want(t, 3, decision.OK)
	tr.HealthCheck(1)
	r.want(t, 1, decision.OK)

	refused := testbed.Listen(t)
	refused.Close()
	tr, r = transport(refused.Addr().String(), time.Minute)
	tr.Call(1, attempts(2))
	r.want(t, 2, decision.ConnectFailed)
	tr.HealthCheck(1)
	r.want(t, 1, decision.Error)
}

// A malformed frame closes its connection at once, and its attempts may have run. They do not count as if the lot store
// had crashed, unless it says itself that it closes. An unknown id is malformed, as somebody waits in vain.
func TestMalformedFrame(t *testing.T) {
	for frame, want := range map[string]decision.Status{
		string(testbed.Frame('Z', "?")): decision.Error, string(testbed.Frame('E', "no line")): decision.Error,
		"\x00\x00\x00\x00E": decision.Error, "\xff\xff\xff\xffE": decision.Error, "\x40\x00\x00\x00Z": decision.Error,
		string(testbed.Frame('E', "q.0 what 0 -\nv")): decision.Error, string(testbed.Frame('E', "z.0 hit 0 -\nv")): decision.Error,
		"\x40\x00\x00\x00Eq.0 hit 0 -\nv": decision.Error, string(testbed.Frame('F', "what?")): decision.Reset,
	} {
		l := testbed.Listen(t)
		closed := make(chan struct{})
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			io.ReadFull(c, make([]byte, 5))
			io.WriteString(c, frame)
			io.Copy(io.Discard, c) // to the close or the reset
			close(closed)
		}()
		tr, r := transport(l.Addr().String(), time.Minute)
		tr.Call(1, attempts(2))
		r.want(t, 2, want)
		<-closed
	}
}

// A duplicate or noise behind a good answer, and an unreadable report, do no harm.
func TestNoiseBehindAnswer(t *testing.T) {
	good := string(testbed.Frame('E', "q.0 hit 0 %%\nv"))
	for _, more := range []string{good, "noise\r\n\r\n", "\x00\x00\x00\x00"} {
		l := testbed.Listen(t)
		go func() {
			if c, err := l.Accept(); err == nil {
				io.ReadFull(c, make([]byte, 5))
				io.WriteString(c, good+more)
			}
		}()
		tr, r := transport(l.Addr().String(), time.Minute)
		tr.Call(1, attempts(1))
		r.want(t, 1, decision.OK)
		if len(r.ch) > 0 {
			t.Errorf("%q: a second outcome", more)
		}
	}
}

// A server that has moved gets nothing more on connections to its old address.
func TestMovedServer(t *testing.T) {
	tr, _ := transport("127.0.0.1:1", time.Minute)
	c := parked(tr, nil)
	tr.Call(1, attempts(1))
	tr.Servers([]mem.Server{{ID: 1, Addr: "127.0.0.1:2", State: decision.Ready}})
	tr.Call(1, attempts(1))
	if c.load != 1 || c.Ready() != 0 {
		t.Errorf("load %d, ready %d", c.load, c.Ready())
	}
}

// Each call gets its own connection, as a malformed answer ends all that is in flight on it. Where a server has its share
// of all connections calls share them, with a bounded number of subqueries on each.
func TestConnections(t *testing.T) {
	l := testbed.Listen(t)
	tr, _ := transport(l.Addr().String(), time.Minute)
	tr.MaxConns = 4
	tr.Servers([]mem.Server{{ID: 2, Addr: "127.0.0.1:1", State: decision.Ready}})
	for i, want := range []int{1, 2, 2, 2, 3} {
		tr.Call(1, attempts(8))
		tr.mu.Lock()
		if n := tr.servers[1].pool.Len(); n != want {
			t.Errorf("after %d calls of 8: %d connections, want %d", i+1, n, want)
		}
		tr.mu.Unlock()
	}
}

// Nothing queued is sent to a server once it drains or is deregistered: the rule allows 250 ms after that.
func TestDrainDropsQueue(t *testing.T) {
	for _, state := range []decision.ServerState{decision.Draining, decision.Deregistered} {
		tr, r := transport("127.0.0.1:1", time.Minute)
		c := parked(tr, nil)
		tr.Call(1, attempts(3))
		tr.Servers([]mem.Server{{ID: 1, Addr: "127.0.0.1:1", State: state}})
		r.want(t, 3, decision.NotSent)
		if len(c.queue) != 0 || c.load != 0 {
			t.Errorf("queue %v, load %d", c.queue, c.load)
		}
		tr.Call(1, attempts(1))
		r.want(t, 1, decision.NotSent)
	}
}

// A retry of a deduplicated subquery that has waited past its window is not written: the lot stores would no longer drop
// it. Nor is an attempt past its time-out.
func TestStaleNotWritten(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	tr, r := transport("127.0.0.1:1", time.Minute)
	c := parked(tr, here)
	list := attempts(2)
	list[0].NotAfter = time.Now().Add(-time.Millisecond)
	list[1].Deadline = time.Now().Add(-time.Millisecond)
	tr.Call(1, list)
	if more, err := c.write(); !more || err != nil { // a write to the pipe would fail: nobody reads
		t.Errorf("more %v, error %v", more, err)
	}
	r.want(t, 2, decision.NotSent)
}

// A cancelled attempt frees its capacity, and an answer that crosses the cancellation is ignored.
func TestCancel(t *testing.T) {
	tr, r := transport("127.0.0.1:1", time.Minute)
	c := parked(tr, nil)
	list := attempts(2)
	queued, out := list[0], list[1]
	tr.Call(1, list)
	tr.Cancel(queued)
	r.want(t, 1, decision.Cancelled)
	c.inFlight["q.1"], c.queue = &entry{a: out, written: time.Now()}, nil
	tr.Cancel(out)
	if c.load != 0 || len(c.inFlight) != 0 || len(c.cancels) != 1 || c.cancels[0] != out {
		t.Errorf("load %d, out %v, give up %v", c.load, c.inFlight, c.cancels)
	}
	if err := c.receive('E', []byte("q.1 hit 0 -\nv")); err != nil || len(r.ch) != 0 {
		t.Errorf("error %v, %d reports", err, len(r.ch))
	}
}

// A cancellation is reported only when the lot store has been told, by a frame or by the close of the connection: a
// subquery sent elsewhere before that would be in flight twice.
func TestCancelReportedOnceWritten(t *testing.T) {
	here, there := net.Pipe()
	tr, r := transport("127.0.0.1:1", time.Minute)
	c := parked(tr, here)
	list := attempts(2)
	c.inFlight["q.0"], c.inFlight["q.1"], c.load = &entry{a: list[0], written: time.Now()}, &entry{a: list[1], written: time.Now()}, 2
	tr.byAttempt[list[0]], tr.byAttempt[list[1]] = c, c
	tr.Cancel(list[0])
	if len(r.ch) > 0 {
		t.Error("reported before it was told")
	}
	told := make(chan error, 1)
	go func() {
		told <- readFrame(bufio.NewReader(there), func(letter byte, rest []byte) error { return nil })
	}()
	if more, err := c.write(); !more || err != nil {
		t.Errorf("more %v, error %v", more, err)
	}
	if err := <-told; !errors.Is(err, errMalformed) { // B is no letter that a lot store sends
		t.Errorf("told %v", err)
	}
	r.want(t, 1, decision.Cancelled)
	tr.Cancel(list[1])
	c.fail(io.EOF)
	r.want(t, 1, decision.Cancelled)
}

// A connection that received nothing for long under an attempt that is cancelled takes no further calls, and is closed
// once nothing is in flight on it. One that has received something since stays.
func TestUnresponsiveConnection(t *testing.T) {
	for _, heard := range []bool{false, true} {
		tr, _ := transport("127.0.0.1:1", time.Minute)
		c := parked(tr, nil)
		list := attempts(1)
		tr.Call(1, list)
		long := time.Now().Add(-tr.unresponsiveAfter() - time.Millisecond)
		c.inFlight["q.0"], c.queue = &entry{a: list[0], written: long}, nil
		if heard {
			c.receivedAt = time.Now()
		}
		tr.Cancel(list[0])
		if c.unresponsive == heard || (c.Ready() > 0) != heard {
			t.Errorf("heard %v: silent %v, ready %d", heard, c.unresponsive, c.Ready())
		}
	}
}

// An idle connection is closed from this side, before the lot store would close it.
func TestIdleCloses(t *testing.T) {
	l := testbed.Listen(t)
	tr, r := transport(l.Addr().String(), 60*time.Millisecond)
	tr.HealthCheck(1)
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	io.ReadFull(c, make([]byte, 5))
	c.Write(testbed.Frame('C', "fault"))
	r.want(t, 1, decision.Error)
	if n, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// A deregistered server is removed: its idle connections at once, and its record with the last of them.
func TestDeregisteredServerIsRemoved(t *testing.T) {
	tr, r := transport("127.0.0.1:1", time.Minute)
	parked(tr, nil)
	busy := parked(tr, nil)
	list := attempts(1)
	busy.inFlight["q.0"], busy.load, tr.byAttempt[list[0]] = &entry{a: list[0], written: time.Now()}, 1, busy
	tr.connCount = 2
	tr.Servers([]mem.Server{{ID: 1, Addr: "127.0.0.1:1", State: decision.Deregistered}})
	if tr.connCount != 1 || len(tr.servers) != 1 {
		t.Errorf("%d connections, %d servers while one part is out", tr.connCount, len(tr.servers))
	}
	busy.fail(io.EOF)
	r.want(t, 1, decision.Reset)
	if tr.connCount != 0 || len(tr.servers) != 0 || len(tr.byAttempt) != 0 {
		t.Errorf("%d connections, %d servers, %d attempts are kept", tr.connCount, len(tr.servers), len(tr.byAttempt))
	}
}

// A malformed answer may arrive before the call is recorded as written: its attempts end as errors all the same, not as
// if the lot store had crashed.
func TestMalformedBeforeWriteIsRecorded(t *testing.T) {
	here, there := net.Pipe()
	tr, r := transport("127.0.0.1:1", time.Minute)
	c := parked(tr, here)
	tr.Call(1, attempts(1))
	go func() { // the frame is read but for its last byte, which the pipe hands over once the connection has failed
		frame := len(testbed.Frame('A', subqueryHeader(attempts(1)[0], 59999)))
		io.ReadFull(there, make([]byte, frame-1))
		c.t.mu.Lock()
		c.removed, c.endStatus = true, decision.Error // as fail leaves it
		c.t.mu.Unlock()
		io.ReadFull(there, make([]byte, 1))
	}()
	if _, err := c.write(); err != nil {
		t.Fatal(err)
	}
	r.want(t, 1, decision.Error)
}
