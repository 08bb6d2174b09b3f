package turnstore

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestStoreRejectsWritesAfterADiskFailureUntilCompaction(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	assert.Equal(t, put(c, m, c.newRecord("before", "")), tierpb.StoreStatus_STORE_OK)
	m.disk.setFailing(true)
	record := c.newRecord("during", "")
	assert.Equal(t, put(c, m, record), tierpb.StoreStatus_STORE_FULL)
	m.disk.setFailing(false)
	assert.Equal(t, put(c, m, record), tierpb.StoreStatus_STORE_FULL)
	assert.NilError(t, m.store.Compact(context.Background()))
	assert.Equal(t, put(c, m, record), tierpb.StoreStatus_STORE_OK)
	assert.Equal(t, put(c, m, c.newRecord("after", "")), tierpb.StoreStatus_STORE_OK)
	c.losePower(m)
	c.start(m)
	assert.Equal(t, m.store.Records(), 3)
}

func TestCompactionStartedBeforeAWriteFailureDoesNotClearIt(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	failures := m.store.capture().failures
	m.disk.setFailing(true)
	assert.Equal(t, put(c, m, c.newRecord("during", "")), tierpb.StoreStatus_STORE_FULL)
	m.store.wal.compactionDone(0, failures)
	assert.ErrorIs(t, m.store.wal.checkWritable(), errNotWritable)
}

func TestCrashDuringCompactionLosesNothing(t *testing.T) {
	for stop := range 4 {
		for seed := range uint64(10) {
			c := newCluster(t, seed, "a", "b", "c")
			m := c.machines["10.0.0.1:1"]
			for i := range 30 {
				assert.Equal(t, put(c, m, c.newRecord(fmt.Sprintf("turn%d", i), "")), tierpb.StoreStatus_STORE_OK)
			}
			m.crashAfter(stop)
			_ = m.store.Compact(context.Background())
			m.disarmCrash()
			c.losePower(m)
			c.start(m)
			assert.Equal(t, m.store.Records(), 30, "crash after %d failpoints, seed %d", stop, seed)
		}
	}
}

// A compaction removes the segments that it replaces and their offsets files. The next start must not take them for lost.
func TestCompactionRemovesOffsetsFiles(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	before := m.store.Identity()
	assert.Equal(t, put(c, m, c.newRecord("first", "")), tierpb.StoreStatus_STORE_OK)
	c.kill(m)
	c.start(m)
	assert.NilError(t, m.store.Compact(context.Background()))
	c.kill(m)
	for path := range m.disk.files {
		assert.Assert(t, !strings.HasPrefix(path, "data/"+offsetsPrefix) && !strings.HasPrefix(path, "data/"+segmentPrefix), path)
	}
	c.start(m)
	assert.Equal(t, m.store.Identity(), before)
	assert.Equal(t, m.store.Records(), 1)
}
