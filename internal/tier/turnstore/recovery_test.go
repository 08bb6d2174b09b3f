package turnstore

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// startAndExpectNewIdentityOnce starts a machine and expects a new identity, and the same one at each further start.
func (c *cluster) startAndExpectNewIdentityOnce(m *machine, before uint64) {
	c.t.Helper()
	c.start(m)
	after := m.store.Identity()
	assert.Assert(c.t, after != before, "%d records are left", m.store.Records())
	assert.Assert(c.t, m.store.HasNewIdentity())
	assert.Equal(c.t, m.store.PreviousIdentity(), before)
	for range 3 {
		c.kill(m)
		c.start(m)
		assert.Equal(c.t, m.store.Identity(), after)
		assert.Assert(c.t, !m.store.HasNewIdentity())
		assert.Equal(c.t, m.store.PreviousIdentity(), uint64(0))
	}
}

// A disk that has lost synced data is a single failure, however often the process restarts. If each start took another
// identity, each would count as a further failure.
func TestDamagedCompactedFileGivesANewIdentityOnce(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	assert.Equal(t, put(c, m, c.newRecord("turn", "")), tierpb.StoreStatus_STORE_OK)
	assert.NilError(t, m.store.Compact(context.Background()))
	before := m.store.Identity()
	c.kill(m)
	corruptFirstFrame(firstFile(t, m, compactedPrefix))
	c.startAndExpectNewIdentityOnce(m, before)
}

func TestCorruptCompactedFileGivesANewIdentity(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	put(c, m, c.newRecord("turn", ""))
	assert.NilError(t, m.store.Compact(context.Background()))
	before := m.store.Identity()
	c.kill(m)
	file := firstFile(t, m, compactedPrefix)
	file.data[len(file.data)-3] ^= 1
	c.start(m)
	assert.Assert(t, m.store.Identity() != before)
}

// A missing compacted file is damage, like a corrupt one: it contained everything that was acknowledged before it.
func TestMissingCompactedFileGivesANewIdentityOnce(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	assert.Equal(t, put(c, m, c.newRecord("turn", "")), tierpb.StoreStatus_STORE_OK)
	assert.NilError(t, m.store.Compact(context.Background()))
	assert.Equal(t, put(c, m, c.newRecord("later", "")), tierpb.StoreStatus_STORE_OK)
	before := m.store.Identity()
	c.kill(m)
	maps.DeleteFunc(m.disk.files, func(path string, _ *memoryFile) bool { return strings.HasPrefix(path, "data/"+compactedPrefix) })
	c.startAndExpectNewIdentityOnce(m, before)
}

// Older versions do not save the number of the newest compacted file. The number may therefore be missing, or be lower than
// that of the newest file: neither is damage.
func TestCompactedFilesOfOlderVersionsAreNotDamage(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	before := m.store.Identity()
	assert.Equal(t, put(c, m, c.newRecord("turn", "")), tierpb.StoreStatus_STORE_OK)
	assert.NilError(t, m.store.Compact(context.Background()))
	olderNumber := maps.Clone(m.disk.files)
	maps.DeleteFunc(olderNumber, func(path string, _ *memoryFile) bool { return !strings.HasPrefix(path, "data/"+compactionNumberSeries) })
	assert.Equal(t, len(olderNumber), 1)
	for range 2 {
		assert.NilError(t, m.store.Compact(context.Background()))
	}
	for _, numberFile := range []map[string]*memoryFile{olderNumber, nil} {
		c.kill(m)
		maps.DeleteFunc(m.disk.files, func(path string, _ *memoryFile) bool { return strings.HasPrefix(path, "data/"+compactionNumberSeries) })
		maps.Copy(m.disk.files, numberFile)
		c.start(m)
		assert.Equal(t, m.store.Identity(), before)
		assert.Equal(t, m.store.Records(), 1)
	}
}

// Frames in the middle of a segment were synced. A store that has lost one must take a new identity: otherwise it would
// report turns that it has acknowledged as not found.
func TestCorruptSegmentGivesANewIdentity(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	assert.Equal(t, put(c, m, c.newRecord("first", "")), tierpb.StoreStatus_STORE_OK)
	assert.Equal(t, put(c, m, c.newRecord("second", "")), tierpb.StoreStatus_STORE_OK)
	before := m.store.Identity()
	c.kill(m)
	corruptFirstFrame(firstFile(t, m, segmentPrefix))
	c.start(m)
	assert.Assert(t, m.store.Identity() != before, "%d records are left", m.store.Records())
}

// A power failure may lose the newest entries of the offsets file, which is synced at intervals. Corruption below
// the last offset that was synced must still be detected. In the first seconds of a store it went undetected (soak run with
// seed 9021).
func TestCorruptSegmentIsDetectedAfterAPowerLoss(t *testing.T) {
	const betweenBatches = 300 * time.Millisecond
	for range 20 { // the power failure keeps a random part of the unsynced bytes
		c := newCluster(t, 1, "a", "b", "c")
		m := c.machines["10.0.0.1:1"]
		for number := range 4 {
			assert.Equal(t, put(c, m, c.newRecord(fmt.Sprint("turn-", number), "")), tierpb.StoreStatus_STORE_OK)
			c.clock.advance(betweenBatches)
		}
		before := m.store.Identity()
		c.losePower(m)
		file := firstFile(t, m, segmentPrefix)
		file.data[len(file.data)/2] ^= 1
		c.start(m)
		assert.Assert(t, m.store.Identity() != before, "%d records are left", m.store.Records())
	}
}

// A segment that has lost some or all of its synced bytes is damage, also if what remains is valid.
func TestTruncatedSegmentGivesANewIdentity(t *testing.T) {
	for _, length := range []int{0, len(fileMagic) - 1, len(fileMagic), 40} {
		c := newCluster(t, 1, "a", "b", "c")
		m := c.machines["10.0.0.1:1"]
		assert.Equal(t, put(c, m, c.newRecord("first", "")), tierpb.StoreStatus_STORE_OK)
		assert.Equal(t, put(c, m, c.newRecord("second", "")), tierpb.StoreStatus_STORE_OK)
		before := m.store.Identity()
		c.kill(m)
		file := firstFile(t, m, segmentPrefix)
		file.data = file.data[:length]
		c.start(m)
		assert.Assert(t, m.store.Identity() != before, "truncated to %d bytes: %d records are left", length, m.store.Records())
	}
}

// A store that restarts with an older membership than it has reported would accept writes that no rebalance transfers.
func TestDamagedMembershipGivesANewIdentity(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	assert.NilError(t, m.store.saveMembership(c.currentMembership()))
	before := m.store.Identity()
	c.kill(m)
	damaged := 0
	for path, file := range m.disk.files {
		if strings.HasPrefix(path, "data/"+membershipSeries) {
			file.data[len(file.data)-1] ^= 1
			damaged++
		}
	}
	assert.Equal(t, damaged, 1)
	c.start(m)
	assert.Assert(t, m.store.Identity() != before)
}

// A torn frame was never acknowledged, so the store keeps its identity and its records.
func TestTornWriteIsNotDamage(t *testing.T) {
	for seed := range uint64(60) {
		c := newCluster(t, seed, "a", "b", "c")
		m := c.machines["10.0.0.1:1"]
		before := m.store.Identity()
		for number := range 1 + seed%3 {
			assert.Equal(t, put(c, m, c.newRecord(fmt.Sprint("turn ", number), "")), tierpb.StoreStatus_STORE_OK)
		}
		m.crashAfter(int(seed % 2)) // stop after the write, or after its sync
		put(c, m, c.newRecord("torn", ""))
		m.disarmCrash()
		c.losePower(m)
		c.start(m)
		assert.Equal(t, m.store.Identity(), before, "seed %d", seed)
		assert.Assert(t, m.store.Records() >= int(1+seed%3), "seed %d", seed)
	}
}

// Corrupt entries of an offsets file, an incomplete entry and a missing offsets file are not damage.
func TestCorruptOrMissingOffsetsLoseNoRecords(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	before := m.store.Identity()
	assert.Equal(t, put(c, m, c.newRecord("first", "")), tierpb.StoreStatus_STORE_OK)
	c.kill(m)
	file := firstFile(t, m, offsetsPrefix)
	file.data = append(file.data, "two invalid entries, part of one"...)
	c.start(m)
	assert.Equal(t, m.store.Identity(), before)
	assert.Equal(t, put(c, m, c.newRecord("second", "")), tierpb.StoreStatus_STORE_OK)
	c.kill(m)
	for path := range m.disk.files {
		if strings.HasPrefix(path, "data/"+offsetsPrefix) {
			delete(m.disk.files, path)
		}
	}
	c.start(m)
	assert.Equal(t, m.store.Identity(), before)
	assert.Equal(t, m.store.Records(), 2)
}

// A process that is killed between a write and its sync leaves unsynced data. The next process reads that data and
// acknowledges it as a replica, so it must have synced it by then.
func TestRecoveredDataSurvivesAPowerLoss(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, "a", "b", "c")
		m := c.machines["10.0.0.1:1"]
		assert.Equal(t, put(c, m, c.newRecord("before", "")), tierpb.StoreStatus_STORE_OK)
		m.crashAfter(0)
		record := c.newRecord("turn", "")
		assert.Equal(t, put(c, m, record), tierpb.StoreStatus_STORE_FULL)
		m.disarmCrash()
		c.kill(m)
		c.start(m)
		assert.Equal(t, put(c, m, record), tierpb.StoreStatus_STORE_OK)
		c.losePower(m)
		c.start(m)
		assert.Equal(t, m.store.Records(), 2, "seed %d", seed)
	}
}
