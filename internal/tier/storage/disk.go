package storage

import (
	"io"
	"os"
	"path/filepath"
)

// Disk is the file system interface that the tier uses. Tests implement it with a simulated disk. Methods return the errors
// of the file system.
type Disk interface {
	// MkdirAll durably creates a directory and its missing parents. It succeeds if the directory already exists.
	MkdirAll(path string) error
	// List returns the names of a directory's entries.
	List(directory string) ([]string, error)
	// Read returns the content of a file.
	Read(path string) ([]byte, error)
	// Create creates a file, or truncates the existing one.
	Create(path string) (File, error)
	// Rename renames a file within its directory, atomically.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncFile makes the content of a file durable, including data that another process wrote.
	SyncFile(path string) error
	// SyncDir makes the entries of a directory durable: files created, renamed and removed in it.
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

// defaultDisk is the Disk on which roles keep their state.
var defaultDisk Disk = OS{}

// DefaultDisk returns the Disk on which roles keep their state: the machine's file system, or the Disk that a test has set.
func DefaultDisk() Disk { return defaultDisk }

// SetDefaultDisk makes roles keep their state on another Disk. Tests of whole processes use it to discard unsynced data
// and to inject disk faults. It must be called before any role runs.
func SetDefaultDisk(disk Disk) { defaultDisk = disk }

// OS implements Disk with the file system of the machine.
type OS struct{}

// MkdirAll implements Disk. It syncs every directory that gets a new entry, so that the new directories are durable.
func (OS) MkdirAll(path string) error {
	parents := directoriesToSync(path)
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

// directoriesToSync returns the directories to sync after creating path and its missing parents: the parent of each
// directory that does not exist yet. The parent of path is always included, because an earlier process may have created
// path and ended before it synced the parent.
func directoriesToSync(path string) []string {
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
	defer func() { _ = opened.Close() }() // write errors are reported by Sync
	return opened.Sync()
}

// SyncDir implements Disk.
func (OS) SyncDir(directory string) error {
	opened, err := os.Open(directory)
	if err != nil {
		return err
	}
	defer func() { _ = opened.Close() }() // write errors are reported by Sync
	return opened.Sync()
}
