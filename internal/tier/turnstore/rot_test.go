package turnstore

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// spoil flips a bit of each file whose name has a prefix, at a place, and returns how many.
func spoil(m *machine, prefix string, at int) int {
	spoilt := 0
	for path, file := range m.disk.files {
		if strings.HasPrefix(path, "data/"+prefix) && len(file.data) > at {
			file.data[at] ^= 1
			spoilt++
		}
	}
	return spoilt
}

// A disk that has lost what it had made durable is one loss, however often the process starts again: at each further
// identity as many machines fewer may be lost.
func TestDamagedMergedFileMakesAnotherNodeOnce(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	assert.Equal(t, put(c, m, c.record("turn", "")), tierpb.StoreStatus_STORE_OK)
	assert.NilError(t, m.store.Merge(context.Background()))
	before := m.store.Identity()
	c.kill(m)
	assert.Equal(t, spoil(m, mergedPrefix, len(fileMagic)+frameHeaderBytes+1), 1)
	c.start(m)
	after := m.store.Identity()
	assert.Assert(t, after != before)
	for range 3 {
		c.kill(m)
		c.start(m)
		assert.Equal(t, m.store.Identity(), after)
	}
}

// What is not whole in the middle of a segment was synced: a store that has lost it is another node, never the same one
// that says "no such turn" of what it has acknowledged.
func TestRottenSegmentMakesAnotherNode(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	assert.Equal(t, put(c, m, c.record("first", "")), tierpb.StoreStatus_STORE_OK)
	assert.Equal(t, put(c, m, c.record("second", "")), tierpb.StoreStatus_STORE_OK)
	before := m.store.Identity()
	c.kill(m)
	assert.Equal(t, spoil(m, segmentPrefix, len(fileMagic)+frameHeaderBytes+1), 1)
	c.start(m)
	assert.Assert(t, m.store.Identity() != before, "%d records are left", m.store.Records())
}

// The same for a segment that has lost its end, or all of it.
func TestShortenedSegmentMakesAnotherNode(t *testing.T) {
	for _, length := range []int{0, len(fileMagic) - 1, len(fileMagic), 40} {
		c := newCluster(t, 1, "a", "b", "c")
		m := c.machines["10.0.0.1:1"]
		assert.Equal(t, put(c, m, c.record("first", "")), tierpb.StoreStatus_STORE_OK)
		assert.Equal(t, put(c, m, c.record("second", "")), tierpb.StoreStatus_STORE_OK)
		before := m.store.Identity()
		c.kill(m)
		for path, file := range m.disk.files {
			if strings.HasPrefix(path, "data/"+segmentPrefix) {
				file.data = file.data[:length]
			}
		}
		c.start(m)
		assert.Assert(t, m.store.Identity() != before, "cut to %d bytes: %d records are left", length, m.store.Records())
	}
}
