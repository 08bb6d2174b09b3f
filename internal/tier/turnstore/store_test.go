package turnstore

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/turns"
)

func TestChainComesBackByteForByte(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c", "d")
	client := c.turns()
	ctx := context.Background()
	previous := ""
	var want []string
	for i := range 9 {
		record := c.record(fmt.Sprintf("turn%d", i), previous)
		record.Input = []byte{0, byte(i), '\n', 0xff}
		assert.NilError(t, client.Save(ctx, record))
		want = append(want, string(record.Input)+string(record.Output))
		previous = record.Id
	}
	chain, err := c.turns().Chain(ctx, previous)
	assert.NilError(t, err)
	var got []string
	for _, record := range chain {
		got = append(got, string(record.Input)+string(record.Output))
	}
	assert.DeepEqual(t, got, want)
}

func TestNoSuchTurnNeedsAQuorum(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	ctx, cancel := context.WithCancel(context.Background())
	_, err := c.turns().Chain(ctx, "nobody")
	assert.ErrorIs(t, err, turns.ErrNotFound)
	c.setCut(c.machines["10.0.0.1:1"], true)
	c.setCut(c.machines["10.0.0.2:1"], true)
	cancel()
	_, err = c.turns().Chain(ctx, "nobody")
	assert.ErrorIs(t, err, turns.ErrUncertain)
}

func TestAcknowledgedTurnsSurviveAllLosingPowerAndOneItsDisk(t *testing.T) {
	for seed := range uint64(30) {
		c := newCluster(t, seed, "a", "b", "c", "d")
		client := c.turns()
		ctx := context.Background()
		for i := range 20 {
			assert.NilError(t, client.Save(ctx, c.record(fmt.Sprintf("turn%d", i), "")))
		}
		victim := fmt.Sprintf("10.0.0.%d:1", 1+c.random.IntN(4))
		before := c.known().Current
		for address, m := range c.machines {
			if address == victim {
				c.wipe(m)
				continue
			}
			c.losePower(m)
		}
		for _, m := range c.machines {
			c.start(m)
		}
		for i := range 20 {
			_, err := c.turns().Chain(ctx, fmt.Sprintf("turn%d", i))
			assert.NilError(t, err)
		}
		c.setMembers(before)
		for address, m := range c.machines {
			if address != victim {
				assert.NilError(t, c.pass(m))
			}
		}
		c.dropPrevious()
		for i := range 20 {
			_, err := c.turns().Chain(ctx, fmt.Sprintf("turn%d", i))
			assert.NilError(t, err)
		}
	}
}
