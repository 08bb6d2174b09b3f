package proxy

import (
	"fmt"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// GONE: if a client disconnects before its request body is complete, nothing is sent to a store.
func TestDisconnectDuringBodySendsNothingToStores(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, ""))
	tp := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	connection, err := net.Dial("tcp4", tp.address)
	assert.NilError(t, err)
	fmt.Fprintf(connection, "POST /i/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id\r\nContent-Length: 8\r\n\r\nhalf")
	connection.Close()
	assert.Equal(t, tp.send("POST", "/i/x", "other", "in").status, 200)
	tp.awaitConnectionsEnd()
	assert.Equal(t, len(store.requests()), 1)
}

// GONE: when a client disconnects, the connection to the store that executes its request is closed, also in the middle of
// a stream, and the request is not retried.
func TestDisconnectCancelsAttemptOnEveryRouteKind(t *testing.T) {
	for _, path := range []string{"/i/x", "/n/x", "/s/x", "/r/x"} {
		t.Run(path, func(t *testing.T) {
			arrived, ended := make(chan struct{}), make(chan struct{})
			answer := func(connection net.Conn, got receivedRequest) bool {
				if path == "/s/x" || path == "/r/x" {
					event := numberedEvents(1, 1)[0]
					fmt.Fprintf(connection, "%s\r\n%x\r\n%s\r\n", responseHead(got, 200, "Transfer-Encoding: chunked"), len(event), event)
				}
				close(arrived)
				_, _ = connection.Read(make([]byte, 1))
				close(ended)
				return false
			}
			stores := []*fakeStore{newFakeStore(t, "a", answer), newFakeStore(t, "b", answer)}
			plain, model := stores, []*fakeStore(nil)
			if path == "/s/x" || path == "/r/x" {
				plain, model = nil, stores
			}
			tp := newTestProxy(t, longTimeout, plain, model)
			connection := tp.post(path, "id")
			<-arrived
			connection.Close()
			<-ended
			tp.awaitConnectionsEnd()
			assert.Equal(t, len(stores[0].requests())+len(stores[1].requests()), 1)
		})
	}
}
