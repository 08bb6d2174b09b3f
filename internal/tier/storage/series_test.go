package storage_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/storage"
)

const (
	directory = "data"
	name      = "state"
)

func newMachine(seed uint64) *simulation.Machine {
	random := rand.New(rand.NewPCG(seed, 0))
	return simulation.NewNetwork(random, simulation.LinkConditions{}).NewMachine("10.0.0.1:1", random)
}

func openSeries(t *testing.T, disk storage.Disk, points *failpoint.Points) *storage.Series {
	t.Helper()
	assert.NilError(t, disk.MkdirAll(directory))
	series, err := storage.Open(disk, directory, name, points)
	assert.NilError(t, err)
	return series
}

// TestSaveIsAtomicAtEveryFailpoint loses power at each failpoint of a save, with many seeds. Afterwards either the previous
// or the new version must be readable; once the directory is synced, it must be the new one.
func TestSaveIsAtomicAtEveryFailpoint(t *testing.T) {
	for point := failpoint.VersionCreated; point <= failpoint.VersionRemoved; point++ {
		for seed := range uint64(60) {
			m := newMachine(seed)
			stop := false
			points := &failpoint.Points{ShouldStop: func(passed failpoint.Point) bool { return stop && passed == point }}
			series := openSeries(t, m.Start().Mount(), points)
			assert.NilError(t, series.Save([]byte("one")))
			assert.NilError(t, series.Save([]byte("two")))
			stop = true
			assert.ErrorIs(t, series.Save([]byte("three")), failpoint.ErrStopped)
			m.PowerLoss()
			disk := m.Start().Mount()
			reopened := openSeries(t, disk, nil)
			payload, found := reopened.Newest()
			assert.Assert(t, found && !reopened.Corrupted())
			durable := point >= failpoint.VersionFolderSynced
			assert.Assert(t, string(payload) == "three" || !durable && string(payload) == "two", "point %d: %q", point, payload)
			assert.NilError(t, reopened.Save([]byte("four")))
			payload, _ = openSeries(t, disk, nil).Newest()
			assert.Equal(t, string(payload), "four")
			names, err := disk.List(directory)
			assert.NilError(t, err)
			assert.Equal(t, len(names), 1, "%v", names)
		}
	}
}

func TestSaveSucceedsAfterDiskFault(t *testing.T) {
	faults := []simulation.DiskFault{{Full: true}, {SyncFails: true}}
	for _, fault := range faults {
		m := newMachine(1)
		series := openSeries(t, m.Start().Mount(), nil)
		assert.NilError(t, series.Save([]byte("one")))
		m.Disk.SetFault(fault)
		for range 5 {
			assert.Assert(t, series.Save([]byte("lost")) != nil)
		}
		m.Disk.SetFault(simulation.DiskFault{})
		assert.NilError(t, series.Save([]byte("two")))
		m.PowerLoss()
		disk := m.Start().Mount()
		payload, _ := openSeries(t, disk, nil).Newest()
		assert.Equal(t, string(payload), "two")
		names, err := disk.List(directory)
		assert.NilError(t, err)
		assert.Equal(t, len(names), 1, "%v", names)
	}
}

func TestFullDiskLeavesNoTemporaryFile(t *testing.T) {
	m := newMachine(1)
	disk := m.Start().Mount()
	series := openSeries(t, disk, nil)
	m.Disk.SetFault(simulation.DiskFault{Full: true})
	assert.ErrorIs(t, series.Save([]byte("one")), simulation.ErrFull)
	names, err := disk.List(directory)
	assert.NilError(t, err)
	assert.Equal(t, len(names), 0)
}

func TestCorruptedVersionIsReported(t *testing.T) {
	m := newMachine(1)
	disk := m.Start().Mount()
	assert.NilError(t, openSeries(t, disk, nil).Save([]byte("one")))
	m.Disk.CorruptMatching(name)
	series := openSeries(t, disk, nil)
	_, found := series.Newest()
	assert.Assert(t, !found && series.Corrupted())
	assert.NilError(t, series.Clear())
	assert.Assert(t, !series.Corrupted())
	assert.NilError(t, series.Save([]byte("two")))
	payload, _ := openSeries(t, disk, nil).Newest()
	assert.Equal(t, string(payload), "two")
}

func TestSeriesInOneDirectoryAreIndependent(t *testing.T) {
	disk := newMachine(1).Start().Mount()
	for i := range 3 {
		series, err := storage.Open(disk, directory, fmt.Sprintf("series%d", i), nil)
		assert.NilError(t, err)
		assert.NilError(t, series.Save([]byte{byte(i)}))
	}
	for i := range 3 {
		series, err := storage.Open(disk, directory, fmt.Sprintf("series%d", i), nil)
		assert.NilError(t, err)
		payload, _ := series.Newest()
		assert.DeepEqual(t, payload, []byte{byte(i)})
	}
}

func TestSeriesOnLocalDisk(t *testing.T) {
	parent := filepath.Join(t.TempDir(), "a", "b")
	disk := storage.OS{}
	assert.NilError(t, disk.MkdirAll(parent))
	series, err := storage.Open(disk, parent, name, nil)
	assert.NilError(t, err)
	for i := range 3 {
		assert.NilError(t, series.Save([]byte(fmt.Sprint(i))))
	}
	unfinished := filepath.Join(parent, name+"-0000000000000009.part")
	assert.NilError(t, os.WriteFile(unfinished, []byte("half"), 0o600))
	unrelated := filepath.Join(parent, "another-file")
	assert.NilError(t, os.WriteFile(unrelated, nil, 0o600))
	series, err = storage.Open(disk, parent, name, nil)
	assert.NilError(t, err)
	payload, found := series.Newest()
	assert.Assert(t, found)
	assert.Equal(t, string(payload), "2")
	names, err := disk.List(parent)
	assert.NilError(t, err)
	assert.Equal(t, len(names), 2)
	assert.Assert(t, strings.HasPrefix(names[1], name) && names[0] == "another-file")
}

// TestVersionReadAfterKillSurvivesPowerLoss kills the process at each failpoint of a save. The next process may act on the
// version that it reads, so this version must survive a later loss of power.
func TestVersionReadAfterKillSurvivesPowerLoss(t *testing.T) {
	for point := failpoint.VersionCreated; point <= failpoint.VersionRemoved; point++ {
		for seed := range uint64(60) {
			m := newMachine(seed)
			stop := false
			points := &failpoint.Points{ShouldStop: func(passed failpoint.Point) bool { return stop && passed == point }}
			series := openSeries(t, m.Start().Mount(), points)
			assert.NilError(t, series.Save([]byte("one")))
			stop = true
			assert.ErrorIs(t, series.Save([]byte("two")), failpoint.ErrStopped)
			read, found := openSeries(t, m.Start().Mount(), nil).Newest()
			assert.Assert(t, found)
			m.PowerLoss()
			durable, found := openSeries(t, m.Start().Mount(), nil).Newest()
			assert.Assert(t, found, "point %d", point)
			assert.Equal(t, string(durable), string(read), "point %d", point)
		}
	}
}
