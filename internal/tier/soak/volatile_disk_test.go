package soak_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/soak"
	"pulleygw.example/pulleygw/internal/tier/storage"
)

// TestVolatileDiskLosesWhatWasNotSynced saves at one disk and reads at another of the same folder, as a process does that
// comes after a loss of power.
func TestVolatileDiskLosesWhatWasNotSynced(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	path := filepath.Join(folder, "file")
	disk := soak.NewVolatileDisk(folder)
	assert.NilError(t, disk.MkdirAll(folder))
	names := func() int {
		listed, err := soak.NewVolatileDisk(folder).List(folder)
		assert.NilError(t, err)
		return len(listed)
	}
	file, err := disk.Create(path)
	assert.NilError(t, err)
	write(t, file, "one ")
	assert.NilError(t, file.Sync())
	assert.Equal(t, names(), 0, "a name lasts with its folder alone")
	assert.NilError(t, disk.SyncDir(folder))
	write(t, file, "two ")
	assert.NilError(t, file.Sync())
	write(t, file, "three")
	seen, err := disk.Read(path)
	assert.NilError(t, err)
	assert.Equal(t, string(seen), "one two three")
	left, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, string(left), "one two ")
	assert.NilError(t, disk.Remove(path))
	assert.Equal(t, names(), 1)
	assert.NilError(t, disk.SyncDir(folder))
	assert.Equal(t, names(), 0)
}

// TestVolatileDiskTearsWrites shows that a kill within a write leaves its first part, and that a sync completes it.
func TestVolatileDiskTearsWrites(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	path := filepath.Join(folder, "file")
	disk := soak.NewVolatileDisk(folder)
	assert.NilError(t, disk.MkdirAll(folder))
	file, err := disk.Create(path)
	assert.NilError(t, err)
	assert.NilError(t, disk.SyncDir(folder))
	assert.NilError(t, os.WriteFile(folder+".fault", []byte(`{"torn": true}`), 0o600))
	durable := func() string {
		left, err := os.ReadFile(path)
		assert.NilError(t, err)
		return string(left)
	}
	write(t, file, "abcdef")
	write(t, file, "gh")
	assert.Equal(t, durable(), "abc")
	seen, err := disk.Read(path)
	assert.NilError(t, err)
	assert.Equal(t, string(seen), "abcdefgh")
	assert.NilError(t, file.Sync())
	assert.Equal(t, durable(), "abcdefgh")
}

// TestVolatileDiskKeepsVersions saves versions on it: each is whole, and the newest is there after a loss of power.
func TestVolatileDiskKeepsVersions(t *testing.T) {
	folder := t.TempDir()
	series, err := storage.Open(soak.NewVolatileDisk(folder), folder, "state", nil)
	assert.NilError(t, err)
	for _, text := range []string{"one", "two", "three"} {
		assert.NilError(t, series.Save([]byte(text)))
		again, err := storage.Open(soak.NewVolatileDisk(folder), folder, "state", nil)
		assert.NilError(t, err)
		payload, found := again.Newest()
		assert.Assert(t, found && !again.Corrupted())
		assert.Equal(t, string(payload), text)
	}
}

func write(t *testing.T, file storage.File, text string) {
	t.Helper()
	_, err := file.Write([]byte(text))
	assert.NilError(t, err)
}
