package turnstore

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/retention"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// The records of newRecord expire after 2 min 6 s: their retention of 1 min, a tenth of it, and ExpiryGrace. The first record is
// older than that at the first removal, and is kept because the second one continues it.
func TestChainIsRetainedAsLongAsItsLastTurn(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	put(c, m, c.newRecord("first", ""))
	c.clock.advance(2 * time.Minute)
	put(c, m, c.newRecord("second", "first"))
	put(c, m, c.newRecord("other", ""))
	c.clock.advance(2*time.Minute + time.Second)
	m.store.state.removeExpired(c.clock.time())
	assert.Equal(t, m.store.Records(), 3)
	c.clock.advance(time.Minute)
	m.store.state.removeExpired(c.clock.time())
	assert.Equal(t, m.store.Records(), 0)
	assert.Equal(t, m.store.state.bytes, 0)
}

func TestLongChainIsRetainedAsLongAsItsLastTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c", "d", "a", "b")
		defer c.close()
		options := c.replicaOptions()
		options.Now, options.After = time.Now, time.After
		client := turns.NewClient(options)
		ctx := context.Background()
		previous := ""
		for i := range 8 {
			record := c.newRecord(fmt.Sprintf("turn%d", i), previous)
			assert.NilError(t, client.Save(ctx, record))
			synctest.Wait()
			previous = record.Id
			c.clock.advance(40 * time.Second)
			for _, m := range c.machines {
				m.store.state.removeExpired(c.clock.time())
			}
		}
		c.clock.advance(19 * time.Second) // 59 s after the last turn, within its retention
		for _, m := range c.machines {
			m.store.state.removeExpired(c.clock.time())
		}
		chain, err := c.turnsClient().Chain(ctx, previous)
		assert.NilError(t, err)
		assert.Equal(t, len(chain), 8)
	})
}

// A repeated extension is acknowledged only when the first one is synced.
func TestRepeatedExtensionWaitsForTheSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.close()
		m := c.machines["10.0.0.1:1"]
		assert.Equal(t, put(c, m, c.newRecord("turn", "")), tierpb.StoreStatus_STORE_OK)
		m.disk.setSyncDelay(func() time.Duration { return 100 * time.Millisecond })
		until := c.clock.time().Add(time.Hour).UnixMilli()
		extend := func() {
			header := &tierpb.StoreRequestHeader{Identity: m.store.Identity(), Epoch: c.currentMembership().Epoch}
			extensions := []*tierpb.RetentionExtension{{Id: "turn", UntilUnixMs: until}}
			_, err := m.store.PutTurns(context.Background(), &tierpb.PutTurnsRequest{Header: header, Extensions: extensions})
			assert.NilError(t, err)
		}
		go extend()
		time.Sleep(50 * time.Millisecond)
		extend()
		assert.Equal(t, durableState(m.disk).records["turn"].expiresUnixMs, until)
	})
}

// A store whose clock is ahead by the grace period still keeps a record for all of its retention.
func TestClockAheadByTheGracePeriodKeepsRecords(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	record := c.newRecord("turn", "")
	assert.Equal(t, put(c, m, record), tierpb.StoreStatus_STORE_OK)
	kept := time.Duration(record.RetentionMs)*time.Millisecond + retention.Grace(record)
	m.store.state.removeExpired(c.clock.time().Add(kept))
	assert.Equal(t, m.store.Records(), 1)
	m.store.state.removeExpired(c.clock.time().Add(kept + time.Millisecond))
	assert.Equal(t, m.store.Records(), 0)
}
