package turnstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// A rebalance does not send a record to a member that has it already, but that member may have missed an extension of its
// retention.
func TestRebalanceTransfersExtendedRetention(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	extension := &tierpb.RetentionExtension{Id: "turn", UntilUnixMs: c.clock.time().Add(time.Hour).UnixMilli()}
	previous := c.currentMembership().Current
	current := []*tierpb.Node{}
	for _, m := range c.machines {
		assert.Equal(t, put(c, m, c.newRecord("turn", "")), tierpb.StoreStatus_STORE_OK)
		if m.zone == "c" {
			current = append(current, &tierpb.Node{Address: m.address, Zone: m.zone, Identity: m.store.Identity()})
			continue
		}
		header := &tierpb.StoreRequestHeader{Identity: m.store.Identity(), Epoch: c.currentMembership().Epoch}
		_, err := m.store.PutTurns(context.Background(),
			&tierpb.PutTurnsRequest{Header: header, Extensions: []*tierpb.RetentionExtension{extension}})
		assert.NilError(t, err)
	}
	for i, zone := range []string{"a", "b"} {
		m := c.add(c.newAddress(i), zone)
		current = append(current, &tierpb.Node{Address: m.address, Zone: zone, Identity: m.store.Identity()})
	}
	c.changeMembership(current, previous)
	for _, node := range previous {
		assert.NilError(t, c.rebalanceOn(c.machines[node.Address]))
	}
	c.clock.advance(30 * time.Minute)
	replicas := 0
	for _, node := range current {
		store := c.machines[node.Address].store
		store.state.removeExpired(c.clock.time())
		replicas += store.Records()
	}
	assert.Assert(t, replicas >= 2, "%d replicas", replicas)
}

// A record that is in a store's memory but not synced yet must not count as a replica: neither in the store's own rebalance
// nor when another store offers the record.
func TestReplicaCountsOnlyWhenItIsSynced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.close()
		m := c.machines["10.0.0.1:1"]
		previous := c.currentMembership().Current
		c.add(c.newAddress(1), "d")
		c.setMembers(previous)
		m.disk.setSyncDelay(func() time.Duration { return 200 * time.Millisecond })
		go put(c, m, c.newRecord("turn", ""))
		replicas := func() (durable int, missing int) {
			work := &rebalance{store: m.store, caller: c, tolerance: 3, membership: c.currentMembership(), after: firesAtOnce}
			header := &tierpb.StoreRequestHeader{Identity: m.store.Identity(), Epoch: c.currentMembership().Epoch}
			request := &tierpb.OfferRecordsRequest{Header: header, Ids: []string{"turn"}}
			reply, err := m.store.OfferRecords(context.Background(), request)
			assert.NilError(t, err)
			return len(work.newKeyProgress(transferKey{name: "turn"}).durableOn), len(reply.Missing)
		}
		time.Sleep(100 * time.Millisecond)
		durable, missing := replicas()
		assert.Equal(t, durable, 0)
		assert.Equal(t, missing, 1)
		time.Sleep(200 * time.Millisecond)
		durable, missing = replicas()
		assert.Equal(t, durable, 1)
		assert.Equal(t, missing, 0)
	})
}

// callHook is a network that runs a function before each call.
type callHook struct {
	*cluster
	before func(method rpc.Method)
}

func (h *callHook) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	h.before(method)
	return h.cluster.Call(ctx, address, method, request, reply)
}

// Guards against a new replica with an older retention than its source: the source was told to keep the record for longer after the
// rebalance had copied it, and the new replica before it had the record.
func TestRebalanceSendsRetentionThatWasExtendedMeanwhile(t *testing.T) {
	c := newCluster(t, 1, "a")
	source := c.machines["10.0.0.1:1"]
	assert.Equal(t, put(c, source, c.newRecord("turn", "")), tierpb.StoreStatus_STORE_OK)
	until := c.clock.time().Add(time.Hour).UnixMilli()
	previous := c.currentMembership().Current
	added := []*machine{c.add(c.newAddress(1), "b"), c.add(c.newAddress(2), "c")}
	c.setMembers(previous)
	c.sendControlToAll()
	network := &callHook{cluster: c, before: func(method rpc.Method) {
		if method == rpc.MethodOfferRecords {
			source.store.mu.Lock()
			defer source.store.mu.Unlock()
			source.store.state.extendRetention("turn", until, nil)
		}
	}}
	work := &rebalance{store: source.store, caller: network, tolerance: 1, membership: c.currentMembership(), after: firesAtOnce}
	assert.NilError(t, work.run(context.Background()))
	transferred := 0
	for _, m := range added {
		if copied := m.store.state.records["turn"]; copied != nil {
			transferred++
			assert.Equal(t, copied.expiresUnixMs, until)
		}
	}
	assert.Equal(t, transferred, 1)
}
