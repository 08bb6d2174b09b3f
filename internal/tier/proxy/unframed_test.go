package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const eventHead = "HEADContent-Type: text/event-stream\r\n\r\n"

// sendOld sends a request of HTTP/1.0 and reads until the connection ends; complete says that it ended in an orderly way.
func (b *bench) sendOld(path string) (got answer, complete bool) {
	connection, err := net.Dial("tcp4", b.addr)
	assert.NilError(b.t, err)
	defer connection.Close()
	assert.NilError(b.t, connection.SetDeadline(time.Now().Add(patienceOfTests)))
	fmt.Fprintf(connection, "POST %s HTTP/1.0\r\nHost: h.example\r\nX-Request-Id: id\r\nContent-Length: 2\r\n\r\nin", path)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return answer{err: err}, false
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err, raw: response}, err == nil
}

// newBenchFor makes a bench whose only store serves a path.
func newBenchFor(t *testing.T, path string, store *standIn) *bench {
	if strings.HasPrefix(path, "/n/") {
		return newBench(t, longTimeout, []*standIn{store}, nil)
	}
	return newBench(t, longTimeout, nil, []*standIn{store})
}

// MIXED: an answer without a length is whole where its connection ends in an orderly way, and looks broken where it is reset;
// to clients of HTTP/1.0 too, whose connections end with the answer.
func TestAnswerWithoutLength(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 3*plainBufferBytes/16)
	for name, c := range map[string]struct {
		path, text, body string
	}{
		"short":  {"/n/x", "HEAD\r\nbody", "body"},
		"empty":  {"/n/x", "HEAD\r\n", ""},
		"long":   {"/n/x", "HEAD\r\n" + long, long},
		"stream": {"/s/x", eventHead + text(1, 3), text(1, 3)},
		"turn":   {"/t/x", eventHead + text(1, 3), text(1, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			store := newStandIn(t, "a", cut(c.text))
			b := newBenchFor(t, c.path, store)
			got := b.send("POST", c.path, "id", "in")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, 200)
			assert.Assert(t, got.body == c.body)
			assert.Equal(t, got.header.Get("X-Response-Signature"), "stamp-a")
			got, complete := b.sendOld(c.path)
			assert.Assert(t, complete, "%v", got.err)
			assert.Assert(t, got.body == c.body)
			assert.Equal(t, store.connections(), 2)
		})
		t.Run(name+", reset", func(t *testing.T) {
			store := newStandIn(t, "a", reset(c.text))
			b := newBenchFor(t, c.path, store)
			got := b.send("POST", c.path, "id", "in")
			assert.Assert(t, got.err != nil || got.status == 502, "%d", got.status)
			got, complete := b.sendOld(c.path)
			assert.Assert(t, !complete || got.status == 502, "%d", got.status)
			assert.Equal(t, len(store.requests()), 2)
			assert.Equal(t, len(b.keeper.records), 0)
		})
	}
}

// MIXED: what was passed on of an answer that breaks off does not look whole to a client whose answer ends with its
// connection, however the store's answer was framed.
func TestBrokenAnswerToAnOldClientIsReset(t *testing.T) {
	long := strings.Repeat("x", 2*plainBufferBytes)
	for name, c := range map[string]struct {
		path string
		script
	}{
		"chunks": {"/n/x", cut(fmt.Sprintf("HEADTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long))},
		"events": {"/s/x", events(false, numbered(1, 2)...)},
		"length": {"/n/x", cut(fmt.Sprintf("HEADContent-Length: %d\r\n\r\n%s", len(long)+1, long))},
	} {
		t.Run(name, func(t *testing.T) {
			store := newStandIn(t, "a", c.script)
			b := newBenchFor(t, c.path, store)
			got, complete := b.sendOld(c.path)
			assert.Equal(t, got.status, 200)
			assert.Assert(t, !complete)
		})
	}
}

// ORDER: an orderly end within an event, or before the first one, is no whole stream.
func TestStreamWithoutLengthThatEndsWithinAnEvent(t *testing.T) {
	store := newStandIn(t, "a", cut(eventHead+text(1, 2)+"id: 3\nda"))
	b := newBench(t, longTimeout, nil, []*standIn{store})
	got := b.send("POST", "/s/x", "id", "in")
	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	assert.Equal(t, got.body, text(1, 2))
	for _, before := range []string{"", ": comment\n\n"} {
		store = newStandIn(t, "a", cut(eventHead+before))
		b = newBench(t, longTimeout, nil, []*standIn{store})
		got = b.send("POST", "/s/x", "id", "in")
		assert.Assert(t, got.err != nil || got.status == 502, "%d", got.status)
	}
}

// A promise without a length is believed at once: its connection need not end first.
func TestPromiseWithoutLengthIsNotWaitedFor(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	answer := inTurn(func(connection net.Conn, got received) bool {
		io.WriteString(connection, head(got, 503, "X-Not-Executed: 1")+"\r\nfull")
		<-release
		return false
	}, whole(200, "ok"))
	store, other := newStandIn(t, "a", answer), newStandIn(t, "b", answer)
	b := newBench(t, longTimeout, []*standIn{store, other}, nil)
	assert.Equal(t, b.send("POST", "/n/x", "id", "input").status, 200)
}

// Answers that have no body have no length either.
func TestAnswersWithoutABody(t *testing.T) {
	store := newStandIn(t, "a", func(connection net.Conn, got received) bool {
		status := map[string]int{"HEAD": 200, "GET": 204}[got.method]
		io.WriteString(connection, head(got, status, "Keep-Alive: timeout=60")+"\r\n")
		return true
	})
	b := newBench(t, longTimeout, []*standIn{store}, nil)
	for method, status := range map[string]int{"HEAD": 200, "GET": 204} {
		got := b.send(method, "/n/x", "id-"+method, "")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, status)
		assert.Equal(t, got.header.Get("Content-Length"), "")
	}
	assert.Equal(t, store.connections(), 1)
}

// Headers and events that tell the version of a store's weights are passed on, and are no part of a turn's record.
func TestVersionsArePassedOn(t *testing.T) {
	list := []string{"versions: 4\nid: 1\ndata: one\n\n", "id: 2\ndata: two\n\n", "versions: 5\nid: 3\ndata: three\n\n"}
	store := newStandIn(t, "a", func(connection net.Conn, got received) bool {
		io.WriteString(connection, head(got, 200, "Versions: 4", "Transfer-Encoding: chunked")+"\r\n")
		for _, one := range list {
			fmt.Fprintf(connection, "%x\r\n%s\r\n", len(one), one)
		}
		io.WriteString(connection, "0\r\n\r\n")
		return true
	})
	b := newBench(t, longTimeout, nil, []*standIn{store})
	got := b.send("POST", "/t/x", "id", "in")
	assert.NilError(t, got.err)
	assert.Equal(t, got.header.Get("Versions"), "4")
	assert.Equal(t, got.body, strings.Join(list, ""))
	assert.Equal(t, string(b.keeper.records["id"].Output), "one\ntwo\nthree\n")
}

// A store of another version declines, and the request goes to another store; where all do, it has provably not run.
func TestStoresOfAnotherVersionDecline(t *testing.T) {
	declined := whole(421, "", "Versions: 4")
	store, other := newStandIn(t, "a", declined), newStandIn(t, "b", declined)
	b := newBench(t, longTimeout, nil, []*standIn{store, other})
	got := b.send("POST", "/s/x", "id", "in", "Expect-Version: 5")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	for _, one := range append(store.requests(), other.requests()...) {
		assert.Equal(t, one.header.Get("Expect-Version"), "5")
	}
}
