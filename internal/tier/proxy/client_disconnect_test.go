package proxy

import (
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// awaitConnectionsEnd waits until no client's connection is served.
func (b *testProxy) awaitConnectionsEnd() {
	for b.server.closeIdle(time.Now().Add(time.Minute)) > 0 {
		runtime.Gosched()
	}
}

// GONE: a client that leaves in the middle of its body has sent no request.
func TestClientThatLeavesInItsBodyReachesNoStore(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, ""))
	b := newTestProxy(t, longTimeout, []*fakeStore{store}, nil)
	connection, err := net.Dial("tcp4", b.address)
	assert.NilError(t, err)
	fmt.Fprintf(connection, "POST /i/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id\r\nContent-Length: 8\r\n\r\nhalf")
	connection.Close()
	assert.Equal(t, b.send("POST", "/i/x", "other", "in").status, 200)
	b.awaitConnectionsEnd()
	assert.Equal(t, len(store.requests()), 1)
}

// GONE: what a client has left is not sent again, and the store at work on it sees its connection close, for streams in
// the middle too.
func TestClientThatLeavesEndsEveryKindOfSend(t *testing.T) {
	for _, path := range []string{"/i/x", "/n/x", "/s/x", "/r/x"} {
		t.Run(path, func(t *testing.T) {
			arrived, ended := make(chan struct{}), make(chan struct{})
			answer := func(connection net.Conn, got receivedRequest) bool {
				if path == "/s/x" || path == "/r/x" {
					one := numberedEvents(1, 1)[0]
					fmt.Fprintf(connection, "%s\r\n%x\r\n%s\r\n", responseHead(got, 200, "Transfer-Encoding: chunked"), len(one), one)
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
			b := newTestProxy(t, longTimeout, plain, model)
			connection := b.post(path, "id")
			<-arrived
			connection.Close()
			<-ended
			b.awaitConnectionsEnd()
			assert.Equal(t, len(stores[0].requests())+len(stores[1].requests()), 1)
		})
	}
}
