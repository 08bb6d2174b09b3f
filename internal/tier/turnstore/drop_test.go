package turnstore

import (
	"context"
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// moveEnds is a network over which the previous members fail a caller once enough of the current ones have answered.
// When all of them have failed, they hand on what they hold, and the move ends under the same epoch.
type moveEnds struct {
	*cluster
	mu       sync.Mutex
	answered chan struct{} // closed when enough current members have answered
	answers  int
	failed   []string
	ended    bool
}

func (m *moveEnds) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	isPrevious := slices.ContainsFunc(m.known().Previous, func(node *tierpb.Node) bool { return node.Address == address })
	if !isPrevious {
		err := m.cluster.Call(ctx, address, method, request, reply)
		m.noteAnswer()
		return err
	}
	select {
	case <-m.answered:
	case <-ctx.Done():
		return rpc.ErrTimeout
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fail(address)
	return rpc.ErrUnreachable
}

func (m *moveEnds) noteAnswer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers++
	if m.answers == replica.ReadQuorum(1, replica.Size(1)) {
		close(m.answered)
	}
}

func (m *moveEnds) fail(address string) {
	if m.ended {
		return
	}
	if !slices.Contains(m.failed, address) {
		m.failed = append(m.failed, address)
	}
	if len(m.failed) < len(m.known().Previous) {
		return
	}
	for _, failed := range m.failed {
		assert.NilError(m.t, m.pass(m.machines[failed]))
	}
	m.ended = true
	m.finishMove()
}

// newMoveEnds is a cluster whose three members are being replaced by three others.
func newMoveEnds(t *testing.T, before func(*cluster)) *moveEnds {
	t.Helper()
	c := newCluster(t, 1, "a", "b", "c")
	before(c)
	previous := c.known().Current
	var current []*tierpb.Node
	for i, zone := range []string{"a", "b", "c"} {
		m := c.add(c.freshAddress(i), zone)
		current = append(current, &tierpb.Node{Address: m.address, Zone: zone, Identity: m.store.Identity()})
	}
	c.change(current, previous)
	return &moveEnds{cluster: c, answered: make(chan struct{})}
}

func (m *moveEnds) clientOptions() replica.Options {
	options := m.options()
	options.Caller = m
	options.CacheBytes = 1
	return options
}

func TestReadDoesNotCountAnswersFromBeforeTheMoveEnded(t *testing.T) {
	m := newMoveEnds(t, func(c *cluster) {
		assert.NilError(t, c.turns().Save(context.Background(), c.record("turn", "")))
	})
	chain, err := turns.NewClient(m.clientOptions()).Chain(context.Background(), "turn")
	assert.NilError(t, err)
	assert.Equal(t, len(chain), 1)
	assert.Assert(t, m.ended)
}

func TestClaimDoesNotCountAnswersFromBeforeTheMoveEnded(t *testing.T) {
	const program = "program"
	m := newMoveEnds(t, func(c *cluster) {
		client := budget.NewClient(c.options())
		assert.NilError(t, client.Reserve(context.Background(), program, mostOfTurn, "first", mostOfTurn))
	})
	client := budget.NewClient(m.clientOptions())
	err := client.Reserve(context.Background(), program, mostOfTurn, "second", mostOfTurn)
	client.Wait()
	assert.ErrorIs(t, err, budget.ErrExhausted)
	assert.Assert(t, m.ended)
}

// A claim that was withdrawn counts nothing any more, so the same one may not be made again.
func TestWithdrawnClaimIsNotMadeAgain(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	client := budget.NewClient(c.options())
	reserve := func(request string) error {
		err := client.Reserve(context.Background(), "program", mostOfTurn, request, mostOfTurn)
		client.Wait()
		return err
	}
	assert.NilError(t, reserve("first"))
	assert.ErrorIs(t, reserve("second"), budget.ErrExhausted)
	assert.ErrorIs(t, reserve("second"), budget.ErrUncertain)
	client.Withdraw("program", "first")
	client.Wait()
	assert.NilError(t, reserve("third"))
	assert.ErrorIs(t, reserve("second"), budget.ErrUncertain)
}
