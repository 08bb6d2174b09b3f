package turnstore

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// propagationTier is a cluster whose stores propagate retention and remove expired records by themselves. It runs under synctest.
type propagationTier struct {
	*cluster
	stops map[*machine]context.CancelFunc
	loops sync.WaitGroup
}

func newPropagationTier(t *testing.T, zones ...string) *propagationTier {
	t.Helper()
	p := &propagationTier{cluster: newCluster(t, 1), stops: make(map[*machine]context.CancelFunc)}
	p.after, p.clock.now = time.After, time.Now()
	for i, zone := range zones {
		p.runLoops(p.add(fmt.Sprintf("10.0.0.%d:1", i+1), zone))
	}
	p.setMembers(nil)
	return p
}

// runLoops starts the background loops of a store.
func (p *propagationTier) runLoops(m *machine) {
	ctx, cancel := context.WithCancel(context.Background())
	p.stops[m] = cancel
	network := &senderNetwork{cluster: p.cluster, sender: m}
	propagator := &RetentionPropagator{Store: m.store, Caller: network, Tolerance: p.tolerance}
	expirer := &Expirer{Store: m.store, Caller: network, Tolerance: p.tolerance}
	p.loops.Go(func() { propagator.Run(ctx) })
	p.loops.Go(func() { expirer.Run(ctx) })
}

func (p *propagationTier) halt(m *machine) {
	p.stops[m]()
	p.kill(m)
}

func (p *propagationTier) restart(m *machine) {
	p.start(m)
	p.runLoops(m)
}

func (p *propagationTier) end() {
	for _, m := range p.machines {
		p.stops[m]()
	}
	p.loops.Wait()
	p.close()
}

// advance lets time pass.
func (p *propagationTier) advance(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		p.clock.advance(time.Since(p.clock.time()))
	}
}

// rankedMachines returns the machines of the replica set of a key, the highest-ranked first.
func (p *propagationTier) rankedMachines(key string) []*machine {
	var ranked []*machine
	for _, member := range replica.Members(p.currentMembership(), key, p.tolerance) {
		ranked = append(ranked, p.machines[member.Address])
	}
	return ranked
}

// loseDisk ends a store, starts it with an empty disk and rebalances.
func (p *propagationTier) loseDisk(t *testing.T, m *machine) {
	t.Helper()
	p.stops[m]()
	previous := p.currentMembership().Current
	p.wipe(m)
	p.restart(m)
	p.setMembers(previous)
	for _, survivor := range p.machines {
		if survivor != m {
			assert.NilError(t, p.rebalanceOn(survivor))
		}
	}
	p.endRebalance()
	p.sendControlToAll()
}

// propagationClient returns the client of a proxy. The chain is read first, as the proxy does, so that it is cached.
func (p *propagationTier) propagationClient(t *testing.T, previous string) *turns.Client {
	t.Helper()
	options := p.replicaOptions()
	options.Now, options.After = time.Now, time.After
	client := turns.NewClient(options)
	if previous != "" {
		_, err := client.Chain(context.Background(), previous)
		assert.NilError(t, err, previous)
	}
	return client
}

// saveTurns saves a turn of each conversation, each through another proxy.
func (p *propagationTier) saveTurns(t *testing.T, conversations, turn int) {
	t.Helper()
	for number := range conversations {
		previous := ""
		if turn > 0 {
			previous = turnID(number, turn-1)
		}
		client := p.propagationClient(t, previous)
		assert.NilError(t, client.Save(context.Background(), p.newRecord(turnID(number, turn), previous)))
		synctest.Wait()
	}
}

func turnID(conversation, turn int) string {
	return fmt.Sprintf("conversation%d-turn%d", conversation, turn)
}

// assertChains checks that the chains of all conversations are complete.
func (p *propagationTier) assertChains(t *testing.T, conversations, lastTurn int) {
	t.Helper()
	for number := range conversations {
		chain, err := p.turnsClient().Chain(context.Background(), turnID(number, lastTurn))
		assert.Check(t, err == nil, "conversation %d: %v", number, err)
		assert.Check(t, len(chain) == lastTurn+1, "conversation %d: %d turns", number, len(chain))
	}
}

// Guards against conversations that forget their beginning: a store that was down when a turn was saved missed that the turns
// before are kept for longer, and after the loss of another disk its older expiry was the only one left (review/4).
func TestRetentionThatAStoppedStoreMissedIsToldToItAgain(t *testing.T) {
	const conversations, lastTurn = 60, 3
	synctest.Test(t, func(t *testing.T) {
		p := newPropagationTier(t, "a", "b", "c", "d")
		defer p.end()
		stopped, lost := p.machines["10.0.0.1:1"], p.machines["10.0.0.2:1"]
		for turn := range lastTurn {
			p.saveTurns(t, conversations, turn)
			p.advance(40 * time.Second)
		}
		p.halt(stopped)
		p.saveTurns(t, conversations, lastTurn)
		p.advance(2 * time.Second)
		p.restart(stopped)
		p.advance(5 * time.Second)
		p.loseDisk(t, lost)
		p.advance(50 * time.Second) // 57 s after the last turn, within its retention of 60 s
		p.assertChains(t, conversations, lastTurn)
	})
}

// Guards against conversations that forget their beginning because the proxy did not extend it: it was killed after the save,
// had no slot for the call, or had not cached the whole chain.
func TestStoresExtendRetentionThatNoProxyHasExtended(t *testing.T) {
	const lastTurn = 14
	synctest.Test(t, func(t *testing.T) {
		p := newPropagationTier(t, "a", "b", "c", "d", "e", "a")
		defer p.end()
		for turn := range lastTurn + 1 {
			previous := ""
			if turn > 0 {
				previous = turnID(0, turn-1)
				p.advance(50 * time.Second)
			}
			client := p.turnsClient() // it caches no record
			assert.NilError(t, client.Save(context.Background(), p.newRecord(turnID(0, turn), previous)))
		}
		p.advance(59 * time.Second)
		p.assertChains(t, 1, lastTurn)
	})
}

// Guards against a restart that forgets until when the turns before a record must be kept: the store that sent it there has
// its acknowledgement and does not send it again.
func TestChainEndSurvivesRestartAndCompaction(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	assert.Equal(t, put(c, m, c.newRecord("turn", "before")), tierpb.StoreStatus_STORE_OK)
	until := c.clock.time().Add(100 * time.Second).UnixMilli() // later than the chain end of the record, before its expiry
	header := &tierpb.StoreRequestHeader{Identity: m.store.Identity(), Epoch: c.currentMembership().Epoch}
	request := &tierpb.TransferRecordsRequest{
		Header: header, Extensions: []*tierpb.RetentionExtension{{Id: "turn", UntilUnixMs: until}},
	}
	_, err := m.store.TransferRecords(context.Background(), request)
	assert.NilError(t, err)
	for _, compacted := range []bool{false, true} {
		if compacted {
			assert.NilError(t, m.store.Compact(context.Background()))
		}
		c.kill(m)
		c.start(m)
		assert.Equal(t, m.store.state.records["turn"].chainEndUnixMs, until, "compacted: %v", compacted)
		assert.Equal(t, len(m.store.duePropagations()), 1)
	}
}

// Guards against extensions that are sent once and then forgotten: until the last replica has acknowledged, only that one is
// called again, and after that none.
func TestPropagationEndsWhenAllReplicasHaveAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPropagationTier(t, "a", "b", "c")
		defer p.end()
		sender, missing := p.machines["10.0.0.1:1"], p.machines["10.0.0.3:1"]
		p.setPartitioned(missing, true)
		assert.Equal(t, put(p.cluster, sender, p.newRecord("first", "")), tierpb.StoreStatus_STORE_OK)
		assert.Equal(t, put(p.cluster, sender, p.newRecord("second", "first")), tierpb.StoreStatus_STORE_OK)
		p.advance(2*propagationInterval + time.Second)
		waiting := func() []uint64 {
			sender.store.mu.Lock()
			defer sender.store.mu.Unlock()
			if started := sender.store.state.propagations["second"]; started != nil {
				return started.waitingFor
			}
			return nil
		}
		assert.DeepEqual(t, waiting(), []uint64{missing.store.Identity()})
		p.setPartitioned(missing, false)
		p.advance(2 * propagationRetry)
		assert.Equal(t, len(waiting()), 0)
		assert.Assert(t, !sender.store.hasPropagations())
	})
}

// Guards against an acknowledgement that counts for a replica set that has changed meanwhile.
func TestMembershipChangeRestartsPropagation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPropagationTier(t, "a", "b", "c")
		defer p.end()
		sender := p.machines["10.0.0.1:1"]
		added := p.add(p.newAddress(1), "d")
		p.runLoops(added)
		first := p.newRecord(keyHeldBy(added, p.nodes(), p.tolerance), "")
		p.advance(30 * time.Second)
		assert.Equal(t, put(p.cluster, sender, p.newRecord("second", first.Id)), tierpb.StoreStatus_STORE_OK)
		p.advance(2 * propagationInterval)
		assert.Assert(t, !sender.store.hasPropagations())
		p.setMembers(p.currentMembership().Current)
		p.sendControlToAll()
		p.advance(2 * propagationInterval)
		assert.Assert(t, !sender.store.hasPropagations())
		// The first turn arrives at the new member only after that was told to keep it.
		assert.Equal(t, put(p.cluster, added, first), tierpb.StoreStatus_STORE_OK)
		p.endRebalance()
		p.sendControlToAll()
		p.advance(2 * propagationInterval)
		second := sender.store.state.records["second"]
		assert.Assert(t, added.store.state.records[first.Id].chainEndUnixMs >= second.chainEndUnixMs)
	})
}

// keyHeldBy returns a key whose replica set contains a machine.
func keyHeldBy(m *machine, members []*tierpb.Node, tolerance int) string {
	for number := 0; ; number++ {
		key := fmt.Sprint("first", number)
		if replica.Contains(replica.Set(members, key, replica.Size(tolerance)), m.store.Identity()) {
			return key
		}
	}
}
