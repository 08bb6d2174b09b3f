package turnstore

import (
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// A process that is killed between writing and syncing leaves what the next one reads, counts as a copy and
// acknowledges: by then it has to be synced.
func TestWhatIsReadAtTheStartOutlivesALossOfPower(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, "a", "b", "c")
		m := c.machines["10.0.0.1:1"]
		assert.Equal(t, put(c, m, c.record("before", "")), tierpb.StoreStatus_STORE_OK)
		m.stopAfter(0)
		record := c.record("turn", "")
		assert.Equal(t, put(c, m, record), tierpb.StoreStatus_STORE_FULL)
		m.goOn()
		c.kill(m)
		c.start(m)
		assert.Equal(t, put(c, m, record), tierpb.StoreStatus_STORE_OK)
		c.losePower(m)
		c.start(m)
		assert.Equal(t, m.store.Records(), 2, "seed %d", seed)
	}
}
