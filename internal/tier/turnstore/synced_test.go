package turnstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// A copy that is held and not synced yet is no copy, neither to the store itself nor to another that offers it.
func TestCopyCountsOnlyWhenItIsSynced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.close()
		m := c.machines["10.0.0.1:1"]
		previous := c.known().Current
		c.add(c.freshAddress(1), "d")
		c.setMembers(previous)
		m.disk.setSyncTime(func() time.Duration { return 200 * time.Millisecond })
		go put(c, m, c.record("turn", ""))
		copies := func() (own int, lacking int) {
			work := &rebalance{store: m.store, caller: c, tolerance: 3, membership: c.known(), after: atOnce}
			header := &tierpb.StoreRequestHeader{Identity: m.store.Identity(), Epoch: c.known().Epoch}
			request := &tierpb.OfferRecordsRequest{Header: header, Ids: []string{"turn"}}
			reply, err := m.store.OfferRecords(context.Background(), request)
			assert.NilError(t, err)
			return len(work.newProgress(transferKey{name: "turn"}).durableOn), len(reply.Missing)
		}
		time.Sleep(100 * time.Millisecond)
		own, lacking := copies()
		assert.Equal(t, own, 0)
		assert.Equal(t, lacking, 1)
		time.Sleep(200 * time.Millisecond)
		own, lacking = copies()
		assert.Equal(t, own, 1)
		assert.Equal(t, lacking, 0)
	})
}
