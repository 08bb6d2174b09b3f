package storage

import (
	"io"
	"os"
	"path/filepath"
)

// Disk is what the tier needs of a file system. Tests use a simulated one. Errors are those of the file system.
type Disk interface {
	// MkdirAll makes a directory with its parents, durably. One that exists is no error.
	MkdirAll(path string) error
	// List returns the names in a directory.
	List(directory string) ([]string, error)
	// Read returns the content of a file.
	Read(path string) ([]byte, error)
	// Create creates a file, or truncates the existing one.
	Create(path string) (File, error)
	// Rename renames a file within its directory, atomically.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncFile makes the content of a file durable, whichever process has written it.
	SyncFile(path string) error
	// SyncDir makes the names in a directory durable.
	SyncDir(directory string) error
}

// File is a file open for writing.
type File interface {
	io.Writer
	// Sync makes the content durable.
	Sync() error
	// Close closes the file without syncing it.
	Close() error
}

// local is the Disk that roles keep their state on.
var local Disk = OS{}

// Local returns the Disk of the machine that this process runs on.
func Local() Disk { return local }

// SetLocal makes roles keep their state on another Disk. Tests of whole processes use it to lose what was not synced and
// to inject disk faults. It must be called before any role runs.
func SetLocal(disk Disk) { local = disk }

// OS is the file system of the machine.
type OS struct{}

// MkdirAll implements Disk. It syncs every directory that gets a new entry, so that the new directory itself is durable.
func (OS) MkdirAll(path string) error {
	parents := parentsOfMissing(path)
	if err := os.MkdirAll(path, 0o700); err != nil {
		return err
	}
	for _, directory := range parents {
		if err := (OS{}).SyncDir(directory); err != nil {
			return err
		}
	}
	return nil
}

// parentsOfMissing returns the parent of a directory, and those of all directories above it that do not exist. The parent
// is always among them: an earlier process may have made the directory and ended before it synced the parent.
func parentsOfMissing(path string) []string {
	parents := []string{filepath.Dir(path)}
	for {
		missing := parents[len(parents)-1]
		grandparent := filepath.Dir(missing)
		if _, err := os.Stat(missing); err == nil || grandparent == missing {
			return parents
		}
		parents = append(parents, grandparent)
	}
}

// List implements Disk.
func (OS) List(directory string) ([]string, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Read implements Disk.
func (OS) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements Disk.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// Rename implements Disk.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements Disk.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncFile implements Disk.
func (OS) SyncFile(path string) error {
	opened, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer func() { _ = opened.Close() }() // an error of the data is that of Sync
	return opened.Sync()
}

// SyncDir implements Disk.
func (OS) SyncDir(directory string) error {
	opened, err := os.Open(directory)
	if err != nil {
		return err
	}
	defer func() { _ = opened.Close() }() // an error of the data is that of Sync
	return opened.Sync()
}
