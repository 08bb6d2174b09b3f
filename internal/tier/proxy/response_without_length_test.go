package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// eventHead is the head of an event stream without a length, for closeAfter.
const eventHead = "HEADContent-Type: text/event-stream\r\n\r\n"

// MIXED: a response without a length is complete if the store closes the connection, and truncated if the store resets it.
// HTTP/1.0 clients, whose response also ends with the connection, can tell the difference as well.
func TestResponseWithoutLength(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 3*responseBufferBytes/16)
	for name, test := range map[string]struct {
		path, text, body string
	}{
		"short":  {"/n/x", "HEAD\r\nbody", "body"},
		"empty":  {"/n/x", "HEAD\r\n", ""},
		"long":   {"/n/x", "HEAD\r\n" + long, long},
		"stream": {"/s/x", eventHead + eventText(1, 3), eventText(1, 3)},
		"turn":   {"/t/x", eventHead + eventText(1, 3), eventText(1, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore(t, "a", closeAfter(test.text))
			tp := newTestProxyFor(t, test.path, store)
			got := tp.send("POST", test.path, "id", "in")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, 200)
			assert.Assert(t, got.body == test.body)
			assert.Equal(t, got.header.Get("X-Response-Signature"), "signature-a")
			got, complete := tp.sendHTTP10(test.path)
			assert.Assert(t, complete, "%v", got.err)
			assert.Assert(t, got.body == test.body)
			assert.Equal(t, store.connections(), 2)
		})
		t.Run(name+", reset", func(t *testing.T) {
			store := newFakeStore(t, "a", resetAfter(test.text))
			tp := newTestProxyFor(t, test.path, store)
			got := tp.send("POST", test.path, "id", "in")
			assert.Assert(t, got.err != nil || got.status == 502, "%d", got.status)
			got, complete := tp.sendHTTP10(test.path)
			assert.Assert(t, !complete || got.status == 502, "%d", got.status)
			assert.Equal(t, len(store.requests()), 2)
			assert.Equal(t, len(tp.turnStores.records), 0)
		})
	}
}

// MIXED: however the store's response was framed, an HTTP/1.0 client can tell that it is truncated, because its connection
// is reset.
func TestTruncatedResponseToHTTP10ClientIsReset(t *testing.T) {
	long := strings.Repeat("x", 2*responseBufferBytes)
	for name, test := range map[string]struct {
		path string
		script
	}{
		"chunks": {"/n/x", closeAfter(fmt.Sprintf("HEADTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long))},
		"events": {"/s/x", streamEvents(false, numberedEvents(1, 2)...)},
		"length": {"/n/x", closeAfter(fmt.Sprintf("HEADContent-Length: %d\r\n\r\n%s", len(long)+1, long))},
	} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore(t, "a", test.script)
			tp := newTestProxyFor(t, test.path, store)
			got, complete := tp.sendHTTP10(test.path)
			assert.Equal(t, got.status, 200)
			assert.Assert(t, !complete)
		})
	}
}

// ORDER: a stream without a length is truncated if the store closes the connection within an event or before the first
// one.
func TestStreamWithoutLengthTruncatedWithinEventIsAborted(t *testing.T) {
	store := newFakeStore(t, "a", closeAfter(eventHead+eventText(1, 2)+"id: 3\nda"))
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	got := tp.send("POST", "/s/x", "id", "in")
	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	assert.Equal(t, got.body, eventText(1, 2))
	for _, before := range []string{"", ": comment\n\n"} {
		store = newFakeStore(t, "a", closeAfter(eventHead+before))
		tp = newTestProxy(t, longTimeout, nil, []*fakeStore{store})
		got = tp.send("POST", "/s/x", "id", "in")
		assert.Assert(t, got.err != nil || got.status == 502, "%d", got.status)
	}
}

// A not-executed response without a length takes effect at once, without waiting for the end of its connection.
func TestNotExecutedResponseWithoutLengthIsUsedAtOnce(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	answer := sequence(func(connection net.Conn, got receivedRequest) bool {
		io.WriteString(connection, responseHead(got, 503, "X-Not-Executed: 1")+"\r\nfull")
		<-release
		return false
	}, reply(200, "ok"))
	store, other := newFakeStore(t, "a", answer), newFakeStore(t, "b", answer)
	tp := newTestProxy(t, longTimeout, []*fakeStore{store, other}, nil)
	assert.Equal(t, tp.send("POST", "/n/x", "id", "input").status, 200)
}

// Responses without a body (to HEAD, or status 204) are complete after their head and get no Content-Length.
func TestResponsesWithoutBody(t *testing.T) {
	store := newFakeStore(t, "a", func(connection net.Conn, got receivedRequest) bool {
		status := map[string]int{"HEAD": 200, "GET": 204}[got.method]
		io.WriteString(connection, responseHead(got, status, "Keep-Alive: timeout=60")+"\r\n")
		return true
	})
	tp := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	for method, status := range map[string]int{"HEAD": 200, "GET": 204} {
		got := tp.send(method, "/n/x", "id-"+method, "")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, status)
		assert.Equal(t, got.header.Get("Content-Length"), "")
	}
	assert.Equal(t, store.connections(), 1)
}

// The weights versions in headers and events are forwarded, but are not part of a turn's record.
func TestWeightsVersionsAreForwarded(t *testing.T) {
	list := []string{"versions: 4\nid: 1\ndata: one\n\n", "id: 2\ndata: two\n\n", "versions: 5\nid: 3\ndata: three\n\n"}
	store := newFakeStore(t, "a", func(connection net.Conn, got receivedRequest) bool {
		io.WriteString(connection, responseHead(got, 200, "Versions: 4", "Transfer-Encoding: chunked")+"\r\n")
		for _, event := range list {
			fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event)
		}
		io.WriteString(connection, "0\r\n\r\n")
		return true
	})
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	got := tp.send("POST", "/t/x", "id", "in")
	assert.NilError(t, got.err)
	assert.Equal(t, got.header.Get("Versions"), "4")
	assert.Equal(t, got.body, strings.Join(list, ""))
	assert.Equal(t, string(tp.turnStores.records["id"].Output), "one\ntwo\nthree\n")
}

// Stores with another weights version decline a request with a 421. If all stores do, the client gets a 503.
func TestStoresOfAnotherVersionDeclineRequest(t *testing.T) {
	declined := reply(421, "", "Versions: 4")
	store, other := newFakeStore(t, "a", declined), newFakeStore(t, "b", declined)
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store, other})
	got := tp.send("POST", "/s/x", "id", "in", "Expect-Version: 5")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	for _, sent := range append(store.requests(), other.requests()...) {
		assert.Equal(t, sent.header.Get("Expect-Version"), "5")
	}
}
