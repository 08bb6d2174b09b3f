package turnstore

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func put(c *cluster, m *machine, record *tierpb.TurnRecord) tierpb.StoreStatus {
	header := &tierpb.StoreRequestHeader{Identity: m.store.Identity(), Epoch: c.known().Epoch}
	request := &tierpb.PutTurnsRequest{Header: header, Records: []*tierpb.TurnRecord{record}}
	reply, err := m.store.PutTurns(context.Background(), request)
	assert.NilError(c.t, err)
	return reply.Header.Status
}

func TestStoreWhoseDiskFailsRefusesUntilAllIsSaved(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	assert.Equal(t, put(c, m, c.record("before", "")), tierpb.StoreStatus_STORE_OK)
	m.disk.fail(true)
	lost := c.record("during", "")
	assert.Equal(t, put(c, m, lost), tierpb.StoreStatus_STORE_FULL)
	m.disk.fail(false)
	assert.Equal(t, put(c, m, lost), tierpb.StoreStatus_STORE_FULL)
	assert.NilError(t, m.store.Compact(context.Background()))
	assert.Equal(t, put(c, m, lost), tierpb.StoreStatus_STORE_OK)
	assert.Equal(t, put(c, m, c.record("after", "")), tierpb.StoreStatus_STORE_OK)
	c.losePower(m)
	c.start(m)
	assert.Equal(t, m.store.Records(), 3)
}

func TestMergeThatBeganBeforeAFailureDoesNotEndIt(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	failures := m.store.capture().failures
	m.disk.fail(true)
	assert.Equal(t, put(c, m, c.record("during", "")), tierpb.StoreStatus_STORE_FULL)
	m.store.wal.compacted(0, failures)
	assert.ErrorIs(t, m.store.wal.checkWritable(), errNotWritable)
}

func TestStoreThatWasStoppedWhileMergingKeepsAll(t *testing.T) {
	for stop := range 4 {
		for seed := range uint64(10) {
			c := newCluster(t, seed, "a", "b", "c")
			m := c.machines["10.0.0.1:1"]
			for i := range 30 {
				assert.Equal(t, put(c, m, c.record(fmt.Sprintf("turn%d", i), "")), tierpb.StoreStatus_STORE_OK)
			}
			m.stopAfter(stop)
			_ = m.store.Compact(context.Background())
			m.goOn()
			c.losePower(m)
			c.start(m)
			assert.Equal(t, m.store.Records(), 30)
		}
	}
}

func TestChainIsKeptAsLongAsItsLastTurn(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	put(c, m, c.record("first", ""))
	c.clock.advance(2 * time.Minute)
	put(c, m, c.record("second", "first"))
	put(c, m, c.record("other", ""))
	c.clock.advance(2*time.Minute + time.Second)
	m.store.state.removeExpired(c.clock.time())
	assert.Equal(t, m.store.Records(), 3)
	c.clock.advance(time.Minute)
	m.store.state.removeExpired(c.clock.time())
	assert.Equal(t, m.store.Records(), 0)
	assert.Equal(t, m.store.state.bytes, 0)
}

func TestStoreRefusesBeyondItsLimits(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	m.store.options.MemoryMb = 1
	status, count := tierpb.StoreStatus_STORE_OK, 0
	for ; status == tierpb.StoreStatus_STORE_OK; count++ {
		record := c.record(fmt.Sprintf("turn%d", count), "")
		record.Input = make([]byte, 10_000)
		status = put(c, m, record)
	}
	assert.Equal(t, status, tierpb.StoreStatus_STORE_FULL)
	assert.Assert(t, count > 20 && count < 100, "%d", count)
	c.clock.advance(time.Hour)
	assert.Equal(t, put(c, m, c.record("later", "")), tierpb.StoreStatus_STORE_OK)
}

func TestDamagedDiskMakesAnotherNode(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	put(c, m, c.record("turn", ""))
	assert.NilError(t, m.store.Compact(context.Background()))
	before := m.store.Identity()
	c.kill(m)
	file := fileOf(t, m, compactedPrefix)
	file.data[len(file.data)-3] ^= 1
	c.start(m)
	assert.Assert(t, m.store.Identity() != before)
}

func TestCallsForAnotherNodeOrEpochAreRefused(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	store := c.machines["10.0.0.1:1"].store
	ask := func(identity, epoch uint64) (*tierpb.GetChainReply, error) {
		header := &tierpb.StoreRequestHeader{Identity: identity, Epoch: epoch}
		return store.GetChain(context.Background(), &tierpb.GetChainRequest{Header: header, Id: "turn"})
	}
	_, err := ask(store.Identity()+1, 1)
	assert.ErrorIs(t, err, errWrongIdentity)
	reply, err := ask(store.Identity(), 0)
	assert.NilError(t, err)
	assert.Equal(t, reply.Header.Status, tierpb.StoreStatus_STORE_STALE_EPOCH)
	assert.Equal(t, reply.Header.Membership.Epoch, uint64(1))
	reply, err = ask(store.Identity(), 2)
	assert.NilError(t, err)
	assert.Equal(t, reply.Header.Status, tierpb.StoreStatus_STORE_BEHIND)
}
