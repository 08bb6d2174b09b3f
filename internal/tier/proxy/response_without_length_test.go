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

// sendHTTP10 sends a request of HTTP/1.0 and reads until the connection ends; complete says that it ended in an orderly way.
func (b *testProxy) sendHTTP10(path string) (got clientResponse, complete bool) {
	connection, err := net.Dial("tcp4", b.address)
	assert.NilError(b.t, err)
	defer connection.Close()
	assert.NilError(b.t, connection.SetDeadline(time.Now().Add(testTimeout)))
	fmt.Fprintf(connection, "POST %s HTTP/1.0\r\nHost: h.example\r\nX-Request-Id: id\r\nContent-Length: 2\r\n\r\nin", path)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return clientResponse{err: err}, false
	}
	body, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err, raw: response}, err == nil
}

// newTestProxyFor makes a bench whose only store serves a path.
func newTestProxyFor(t *testing.T, path string, store *fakeStore) *testProxy {
	if strings.HasPrefix(path, "/n/") {
		return newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	}
	return newTestProxy(t, longTimeout, nil, []*fakeStore{store})
}

// MIXED: an answer without a length is whole where its connection ends in an orderly way, and looks broken where it is reset;
// to clients of HTTP/1.0 too, whose connections end with the answer.
func TestAnswerWithoutLength(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 3*responseBufferBytes/16)
	for name, c := range map[string]struct {
		path, text, body string
	}{
		"short":  {"/n/x", "HEAD\r\nbody", "body"},
		"empty":  {"/n/x", "HEAD\r\n", ""},
		"long":   {"/n/x", "HEAD\r\n" + long, long},
		"stream": {"/s/x", eventHead + eventText(1, 3), eventText(1, 3)},
		"turn":   {"/t/x", eventHead + eventText(1, 3), eventText(1, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore(t, "a", closeAfter(c.text))
			b := newTestProxyFor(t, c.path, store)
			got := b.send("POST", c.path, "id", "in")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, 200)
			assert.Assert(t, got.body == c.body)
			assert.Equal(t, got.header.Get("X-Response-Signature"), "stamp-a")
			got, complete := b.sendHTTP10(c.path)
			assert.Assert(t, complete, "%v", got.err)
			assert.Assert(t, got.body == c.body)
			assert.Equal(t, store.connections(), 2)
		})
		t.Run(name+", reset", func(t *testing.T) {
			store := newFakeStore(t, "a", resetAfter(c.text))
			b := newTestProxyFor(t, c.path, store)
			got := b.send("POST", c.path, "id", "in")
			assert.Assert(t, got.err != nil || got.status == 502, "%d", got.status)
			got, complete := b.sendHTTP10(c.path)
			assert.Assert(t, !complete || got.status == 502, "%d", got.status)
			assert.Equal(t, len(store.requests()), 2)
			assert.Equal(t, len(b.turnStores.records), 0)
		})
	}
}

// MIXED: what was passed on of an answer that breaks off does not look whole to a client whose answer ends with its
// connection, however the store's answer was framed.
func TestBrokenAnswerToAnOldClientIsReset(t *testing.T) {
	long := strings.Repeat("x", 2*responseBufferBytes)
	for name, c := range map[string]struct {
		path string
		script
	}{
		"chunks": {"/n/x", closeAfter(fmt.Sprintf("HEADTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long))},
		"events": {"/s/x", streamEvents(false, numberedEvents(1, 2)...)},
		"length": {"/n/x", closeAfter(fmt.Sprintf("HEADContent-Length: %d\r\n\r\n%s", len(long)+1, long))},
	} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore(t, "a", c.script)
			b := newTestProxyFor(t, c.path, store)
			got, complete := b.sendHTTP10(c.path)
			assert.Equal(t, got.status, 200)
			assert.Assert(t, !complete)
		})
	}
}

// ORDER: an orderly end within an event, or before the first one, is no whole stream.
func TestStreamWithoutLengthThatEndsWithinAnEvent(t *testing.T) {
	store := newFakeStore(t, "a", closeAfter(eventHead+eventText(1, 2)+"id: 3\nda"))
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	got := b.send("POST", "/s/x", "id", "in")
	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	assert.Equal(t, got.body, eventText(1, 2))
	for _, before := range []string{"", ": comment\n\n"} {
		store = newFakeStore(t, "a", closeAfter(eventHead+before))
		b = newTestProxy(t, longTimeout, nil, []*fakeStore{store})
		got = b.send("POST", "/s/x", "id", "in")
		assert.Assert(t, got.err != nil || got.status == 502, "%d", got.status)
	}
}

// A promise without a length is believed at once: its connection need not end first.
func TestPromiseWithoutLengthIsNotWaitedFor(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	answer := sequence(func(connection net.Conn, got receivedRequest) bool {
		io.WriteString(connection, responseHead(got, 503, "X-Not-Executed: 1")+"\r\nfull")
		<-release
		return false
	}, reply(200, "ok"))
	store, other := newFakeStore(t, "a", answer), newFakeStore(t, "b", answer)
	b := newTestProxy(t, longTimeout, []*fakeStore{store, other}, nil)
	assert.Equal(t, b.send("POST", "/n/x", "id", "input").status, 200)
}

// Answers that have no body have no length either.
func TestAnswersWithoutABody(t *testing.T) {
	store := newFakeStore(t, "a", func(connection net.Conn, got receivedRequest) bool {
		status := map[string]int{"HEAD": 200, "GET": 204}[got.method]
		io.WriteString(connection, responseHead(got, status, "Keep-Alive: timeout=60")+"\r\n")
		return true
	})
	b := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
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
	store := newFakeStore(t, "a", func(connection net.Conn, got receivedRequest) bool {
		io.WriteString(connection, responseHead(got, 200, "Versions: 4", "Transfer-Encoding: chunked")+"\r\n")
		for _, one := range list {
			fmt.Fprintf(connection, "%x\r\n%s\r\n", len(one), one)
		}
		io.WriteString(connection, "0\r\n\r\n")
		return true
	})
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	got := b.send("POST", "/t/x", "id", "in")
	assert.NilError(t, got.err)
	assert.Equal(t, got.header.Get("Versions"), "4")
	assert.Equal(t, got.body, strings.Join(list, ""))
	assert.Equal(t, string(b.turnStores.records["id"].Output), "one\ntwo\nthree\n")
}

// A store of another version declines, and the request goes to another store; where all do, it has provably not run.
func TestStoresOfAnotherVersionDecline(t *testing.T) {
	declined := reply(421, "", "Versions: 4")
	store, other := newFakeStore(t, "a", declined), newFakeStore(t, "b", declined)
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store, other})
	got := b.send("POST", "/s/x", "id", "in", "Expect-Version: 5")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	for _, one := range append(store.requests(), other.requests()...) {
		assert.Equal(t, one.header.Get("Expect-Version"), "5")
	}
}
