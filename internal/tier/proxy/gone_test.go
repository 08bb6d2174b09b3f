package proxy

import (
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// awaitHandlers waits until no client's connection is served.
func (b *bench) awaitHandlers() {
	for b.front.expireResting(time.Now().Add(time.Minute)) > 0 {
		runtime.Gosched()
	}
}

// GONE: a client that leaves in the middle of its body has sent no request.
func TestClientThatLeavesInItsBodyReachesNoStore(t *testing.T) {
	store := newStandIn(t, "a", whole(200, ""))
	b := newBench(t, longTimeout, []*standIn{store}, nil)
	connection, err := net.Dial("tcp4", b.addr)
	assert.NilError(t, err)
	fmt.Fprintf(connection, "POST /i/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id\r\nContent-Length: 8\r\n\r\nhalf")
	connection.Close()
	assert.Equal(t, b.send("POST", "/i/x", "other", "in").status, 200)
	b.awaitHandlers()
	assert.Equal(t, len(store.requests()), 1)
}

// GONE: what a client has left is not sent again, and the store at work on it sees its connection close, for streams in
// the middle too.
func TestClientThatLeavesEndsEveryKindOfSend(t *testing.T) {
	for _, path := range []string{"/i/x", "/n/x", "/s/x", "/r/x"} {
		t.Run(path, func(t *testing.T) {
			arrived, ended := make(chan struct{}), make(chan struct{})
			answer := func(connection net.Conn, got received) bool {
				if path == "/s/x" || path == "/r/x" {
					one := numbered(1, 1)[0]
					fmt.Fprintf(connection, "%s\r\n%x\r\n%s\r\n", head(got, 200, "Transfer-Encoding: chunked"), len(one), one)
				}
				close(arrived)
				_, _ = connection.Read(make([]byte, 1))
				close(ended)
				return false
			}
			stores := []*standIn{newStandIn(t, "a", answer), newStandIn(t, "b", answer)}
			plain, model := stores, []*standIn(nil)
			if path == "/s/x" || path == "/r/x" {
				plain, model = nil, stores
			}
			b := newBench(t, longTimeout, plain, model)
			connection := b.post(path, "id")
			<-arrived
			connection.Close()
			<-ended
			b.awaitHandlers()
			assert.Equal(t, len(stores[0].requests())+len(stores[1].requests()), 1)
		})
	}
}
