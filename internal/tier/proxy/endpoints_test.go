package proxy

import (
	"fmt"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// DRAIN, LOST: what a store has in hand when it is told to be gone goes on to its end; nothing more is sent there.
func TestStoreThatIsGoneFinishesWhatItHas(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	store := newFakeStore(t, "a", func(connection net.Conn, got receivedRequest) bool {
		io.WriteString(connection, responseHead(got, 200, "Transfer-Encoding: chunked")+"\r\n")
		for i, one := range numberedEvents(1, 2) {
			fmt.Fprintf(connection, "%x\r\n%s\r\n", len(one), one)
			if i == 0 {
				close(begun)
				<-release
			}
		}
		io.WriteString(connection, "0\r\n\r\n")
		return true
	})
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	answered := make(chan clientResponse)
	go func() { answered <- b.send("POST", "/s/x", "id-1", "in") }()
	<-begun
	b.proxy.state.Upsert(&tierpb.Instance{Id: "a", State: tierpb.InstanceState_INSTANCE_DEREGISTERED})
	other := newFakeStore(t, "b", streamEvents(true, numberedEvents(1, 1)...))
	b.proxy.state.Upsert(other.instance("model"))
	b.proxy.applyState()
	assert.Equal(t, b.send("POST", "/s/x", "id-2", "in").body, eventText(1, 1))
	close(release)
	got := <-answered
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 2))
	assert.Equal(t, len(store.requests()), 1)
}

// ROUTE: a store that registers for another service serves that one only.
func TestStoreThatChangesItsServiceLeavesTheOtherOne(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, "x"))
	b := newTestProxy(t, shortTimeout, []*fakeStore{store}, nil)
	moved := store.instance("model")
	moved.Sequence = 2
	b.proxy.state.Upsert(moved)
	b.proxy.applyState()
	assert.Equal(t, b.send("POST", "/n/x", "id", "in").status, 503)
	assert.Equal(t, len(store.requests()), 0)
}
