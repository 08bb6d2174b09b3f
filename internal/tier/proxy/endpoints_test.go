package proxy

import (
	"fmt"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// DRAIN, LOST: requests in flight at a store that deregisters are completed, and no new ones are sent there.
func TestDeregisteredStoreFinishesRequestsInFlight(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	store := newFakeStore(t, "a", func(connection net.Conn, got receivedRequest) bool {
		io.WriteString(connection, responseHead(got, 200, "Transfer-Encoding: chunked")+"\r\n")
		for i, event := range numberedEvents(1, 2) {
			fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event)
			if i == 0 {
				close(begun)
				<-release
			}
		}
		io.WriteString(connection, "0\r\n\r\n")
		return true
	})
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	answered := make(chan clientResponse)
	go func() { answered <- tp.send("POST", "/s/x", "id-1", "in") }()
	<-begun
	tp.proxy.state.Upsert(&tierpb.Instance{Id: "a", State: tierpb.InstanceState_INSTANCE_DEREGISTERED})
	other := newFakeStore(t, "b", streamEvents(true, numberedEvents(1, 1)...))
	tp.proxy.state.Upsert(other.instance("model"))
	tp.proxy.applyState()
	assert.Equal(t, tp.send("POST", "/s/x", "id-2", "in").body, eventText(1, 1))
	close(release)
	got := <-answered
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 2))
	assert.Equal(t, len(store.requests()), 1)
}

// ROUTE: a store that registers for another service gets no more requests of its previous service.
func TestStoreThatChangesServiceIsRemovedFromTheOldOne(t *testing.T) {
	store := newFakeStore(t, "a", reply(200, "x"))
	tp := newTestProxy(t, shortTimeout, []*fakeStore{store}, nil)
	moved := store.instance("model")
	moved.Sequence = 2
	tp.proxy.state.Upsert(moved)
	tp.proxy.applyState()
	assert.Equal(t, tp.send("POST", "/n/x", "id", "in").status, 503)
	assert.Equal(t, len(store.requests()), 0)
}
