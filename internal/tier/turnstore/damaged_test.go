package turnstore

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// A store that starts with an older membership than it has reported would take writes that nobody hands on.
func TestDamagedMembershipMakesAnotherNode(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	assert.NilError(t, m.store.saveMembership(c.known()))
	before := m.store.Identity()
	c.kill(m)
	damaged := 0
	for path, file := range m.disk.files {
		if strings.HasPrefix(path, "data/"+membershipSeries) {
			file.data[len(file.data)-1] ^= 1
			damaged++
		}
	}
	assert.Equal(t, damaged, 1)
	c.start(m)
	assert.Assert(t, m.store.Identity() != before)
}

// The end of a move keeps the epoch. Callers with an older membership are not sent to members that may be gone.
func TestStoreLearnsThatAMoveHasEnded(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	c.setMembers(c.known().Current)
	c.finishMove()
	c.teach(m.store)
	header := &tierpb.StoreRequestHeader{Identity: m.store.Identity(), Epoch: c.known().Epoch - 1}
	reply, err := m.store.GetChain(context.Background(), &tierpb.GetChainRequest{Header: header, Id: "turn"})
	assert.NilError(t, err)
	assert.Equal(t, reply.Header.Status, tierpb.StoreStatus_STORE_STALE_EPOCH)
	assert.Equal(t, len(reply.Header.Membership.Previous), 0)
	control := &tierpb.ControlState{Stores: c.older[len(c.older)-1]}
	m.store.UpdateControl(control)
	known, _ := m.store.Membership()
	assert.Equal(t, len(known.Previous), 0, "it does not go back")
}
