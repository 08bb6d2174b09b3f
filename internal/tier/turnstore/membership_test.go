package turnstore

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// The end of a rebalance does not change the epoch, but stores must apply it: otherwise they would direct callers with an
// older membership to previous members that may have been shut down.
func TestStoreAppliesTheEndOfARebalance(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	c.setMembers(c.currentMembership().Current)
	c.endRebalance()
	c.sendControl(m.store)
	header := &tierpb.StoreRequestHeader{Identity: m.store.Identity(), Epoch: c.currentMembership().Epoch - 1}
	reply, err := m.store.GetChain(context.Background(), &tierpb.GetChainRequest{Header: header, Id: "turn"})
	assert.NilError(t, err)
	assert.Equal(t, reply.Header.Status, tierpb.StoreStatus_STORE_STALE_EPOCH)
	assert.Equal(t, len(reply.Header.Membership.Previous), 0)
	control := &tierpb.ControlState{Stores: c.olderMemberships[len(c.olderMemberships)-1]}
	m.store.UpdateControl(control)
	known, _ := m.store.Membership()
	assert.Equal(t, len(known.Previous), 0, "the store has applied an older membership")
}

// An operation that started under a membership must not be acknowledged under an older one, even if the client is given the
// older one in the meantime.
func TestWriteIsNotAcknowledgedUnderAnOlderMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.close()
		previous := c.currentMembership().Current
		m := c.add(c.newAddress(1), "a")
		current := []*tierpb.Node{{Address: m.address, Zone: "a", Identity: m.store.Identity()}}
		c.changeMembership(current, previous)
		c.setPartitioned(m, true)
		options := c.replicaOptions()
		options.Now, options.After = time.Now, time.After
		var membershipReads atomic.Int64
		options.Membership = func() *tierpb.StoreMembership {
			if membershipReads.Add(1) == 1 {
				return c.currentMembership()
			}
			return c.olderMembership(1)
		}
		ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
		defer cancel()
		err := turns.NewClient(options).Save(ctx, c.newRecord("turn", ""))
		assert.ErrorIs(t, err, replica.ErrUncertain)
	})
}

// endingRebalance is a network in which calls to previous members wait until a quorum of the current members has replied,
// and then fail. When a call to each previous member has failed, all of them run their rebalance to its end, and the
// previous members are dropped without a new epoch. The first replies of the current members are from before that.
type endingRebalance struct {
	*cluster
	mu            sync.Mutex
	quorumReplied chan struct{} // closed when a read quorum of current members has replied
	replies       int
	failed        []string // addresses of previous members to which a call has failed
	ended         bool
}

func (m *endingRebalance) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	isPrevious := slices.ContainsFunc(m.currentMembership().Previous, func(node *tierpb.Node) bool { return node.Address == address })
	if !isPrevious {
		err := m.cluster.Call(ctx, address, method, request, reply)
		m.countReply()
		return err
	}
	select {
	case <-m.quorumReplied:
	case <-ctx.Done():
		return rpc.ErrTimeout
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failPrevious(address)
	return rpc.ErrUnreachable
}

func (m *endingRebalance) countReply() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replies++
	if m.replies == replica.ReadQuorum(1, replica.Size(1)) {
		close(m.quorumReplied)
	}
}

// failPrevious notes that a call to a previous member has failed, and ends the rebalance when all have. The caller holds
// m.mu.
func (m *endingRebalance) failPrevious(address string) {
	if m.ended {
		return
	}
	if !slices.Contains(m.failed, address) {
		m.failed = append(m.failed, address)
	}
	if len(m.failed) < len(m.currentMembership().Previous) {
		return
	}
	for _, failed := range m.failed {
		assert.NilError(m.t, m.rebalanceOn(m.machines[failed]))
	}
	m.ended = true
	m.endRebalance()
}

func (m *endingRebalance) clientOptions() replica.Options {
	options := m.replicaOptions()
	options.Caller = m
	options.CacheBytes = 1
	return options
}

// newEndingRebalance returns a cluster whose three members are being replaced by three others; before runs first, with the
// old members.
func newEndingRebalance(t *testing.T, before func(*cluster)) *endingRebalance {
	t.Helper()
	c := newCluster(t, 1, "a", "b", "c")
	before(c)
	previous := c.currentMembership().Current
	var current []*tierpb.Node
	for i, zone := range []string{"a", "b", "c"} {
		m := c.add(c.newAddress(i), zone)
		current = append(current, &tierpb.Node{Address: m.address, Zone: zone, Identity: m.store.Identity()})
	}
	c.changeMembership(current, previous)
	return &endingRebalance{cluster: c, quorumReplied: make(chan struct{})}
}

func TestReadDiscardsRepliesFromBeforeTheEndOfARebalance(t *testing.T) {
	m := newEndingRebalance(t, func(c *cluster) {
		assert.NilError(t, c.turnsClient().Save(context.Background(), c.newRecord("turn", "")))
	})
	chain, err := turns.NewClient(m.clientOptions()).Chain(context.Background(), "turn")
	assert.NilError(t, err)
	assert.Equal(t, len(chain), 1)
	assert.Assert(t, m.ended)
}

func TestClaimDiscardsRepliesFromBeforeTheEndOfARebalance(t *testing.T) {
	const program = "program"
	m := newEndingRebalance(t, func(c *cluster) {
		client := budget.NewClient(c.replicaOptions())
		assert.NilError(t, client.Reserve(context.Background(), program, maxTokensPerTurn, "first", maxTokensPerTurn))
	})
	client := budget.NewClient(m.clientOptions())
	err := client.Reserve(context.Background(), program, maxTokensPerTurn, "second", maxTokensPerTurn)
	client.Wait()
	assert.ErrorIs(t, err, budget.ErrExhausted)
	assert.Assert(t, m.ended)
}
