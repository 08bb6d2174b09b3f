package turnstore

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

func TestChainIsReturnedByteForByte(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c", "d")
	client := c.turnsClient()
	ctx := context.Background()
	previous := ""
	var want []string
	for i := range 9 {
		record := c.newRecord(fmt.Sprintf("turn%d", i), previous)
		record.Input = []byte{0, byte(i), '\n', 0xff}
		assert.NilError(t, client.Save(ctx, record))
		want = append(want, string(record.Input)+string(record.Output))
		previous = record.Id
	}
	chain, err := c.turnsClient().Chain(ctx, previous)
	assert.NilError(t, err)
	var got []string
	for _, record := range chain {
		got = append(got, string(record.Input)+string(record.Output))
	}
	assert.DeepEqual(t, got, want)
}

func TestNotFoundRequiresAQuorum(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	ctx, cancel := context.WithCancel(context.Background())
	_, err := c.turnsClient().Chain(ctx, "nobody")
	assert.ErrorIs(t, err, turns.ErrNotFound)
	c.setPartitioned(c.machines["10.0.0.1:1"], true)
	c.setPartitioned(c.machines["10.0.0.2:1"], true)
	cancel()
	_, err = c.turnsClient().Chain(ctx, "nobody")
	assert.ErrorIs(t, err, turns.ErrUncertain)
}

func TestAcknowledgedTurnsSurvivePowerLossOfAllAndDiskLossOfOne(t *testing.T) {
	for seed := range uint64(30) {
		c := newCluster(t, seed, "a", "b", "c", "d")
		client := c.turnsClient()
		ctx := context.Background()
		for i := range 20 {
			assert.NilError(t, client.Save(ctx, c.newRecord(fmt.Sprintf("turn%d", i), "")))
		}
		wiped := fmt.Sprintf("10.0.0.%d:1", 1+c.random.IntN(4))
		before := c.currentMembership().Current
		for address, m := range c.machines {
			if address == wiped {
				c.wipe(m)
				continue
			}
			c.losePower(m)
		}
		for _, m := range c.machines {
			c.start(m)
		}
		for i := range 20 {
			_, err := c.turnsClient().Chain(ctx, fmt.Sprintf("turn%d", i))
			assert.NilError(t, err)
		}
		c.setMembers(before)
		for address, m := range c.machines {
			if address != wiped {
				assert.NilError(t, c.rebalanceOn(m))
			}
		}
		c.dropPrevious()
		for i := range 20 {
			_, err := c.turnsClient().Chain(ctx, fmt.Sprintf("turn%d", i))
			assert.NilError(t, err)
		}
	}
}

func TestCallsForAnotherIdentityOrEpochAreRejected(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	store := c.machines["10.0.0.1:1"].store
	getChain := func(identity, epoch uint64) (*tierpb.GetChainReply, error) {
		header := &tierpb.StoreRequestHeader{Identity: identity, Epoch: epoch}
		return store.GetChain(context.Background(), &tierpb.GetChainRequest{Header: header, Id: "turn"})
	}
	_, err := getChain(store.Identity()+1, 1)
	assert.ErrorIs(t, err, errWrongIdentity)
	reply, err := getChain(store.Identity(), 0)
	assert.NilError(t, err)
	assert.Equal(t, reply.Header.Status, tierpb.StoreStatus_STORE_STALE_EPOCH)
	assert.Equal(t, reply.Header.Membership.Epoch, uint64(1))
	reply, err = getChain(store.Identity(), 2)
	assert.NilError(t, err)
	assert.Equal(t, reply.Header.Status, tierpb.StoreStatus_STORE_BEHIND)
}

func TestFullStoreRejectsWrites(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	m.store.options.MemoryMb = 1
	status, count := tierpb.StoreStatus_STORE_OK, 0
	for ; status == tierpb.StoreStatus_STORE_OK; count++ {
		record := c.newRecord(fmt.Sprintf("turn%d", count), "")
		record.Input = make([]byte, 10_000)
		status = put(c, m, record)
	}
	assert.Equal(t, status, tierpb.StoreStatus_STORE_FULL)
	assert.Assert(t, count > 20 && count < 100, "%d records accepted", count)
	c.clock.advance(time.Hour)
	assert.Equal(t, put(c, m, c.newRecord("later", "")), tierpb.StoreStatus_STORE_OK)
}
