// Package storage keeps small pieces of state on disk, one file for each version: written aside, synced, renamed,
// the folder synced, and the version before removed afterwards.
package storage

import (
	"io"
	"os"
	"path/filepath"
)

// Disk is what the package needs of a file system. Tests put a simulated one in its place.
type Disk interface {
	// MkdirAll makes a folder with its parents; one that exists is no error.
	MkdirAll(path string) error
	// List returns the names in a folder.
	List(folder string) ([]string, error)
	// Read returns a whole file.
	Read(path string) ([]byte, error)
	// Create makes a file, or empties the one of that name.
	Create(path string) (File, error)
	// Rename gives a file another name in the same folder.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncFile makes what a file holds durable, also what another process has written.
	SyncFile(path string) error
	// SyncDir makes the names in a folder durable.
	SyncDir(folder string) error
}

// File is a file open for writing.
type File interface {
	io.Writer
	// Sync makes what was written durable.
	Sync() error
	Close() error
}

// local is the Disk that roles keep their state on.
var local Disk = OS{}

// Local returns the Disk of the machine that this process runs on.
func Local() Disk { return local }

// SetLocal has roles keep their state on another Disk. Tests of whole processes lose by it what was not synced, and bring
// trouble to disks; it is called before any role runs.
func SetLocal(disk Disk) { local = disk }

// OS is the Disk of the machine.
type OS struct{}

// MkdirAll implements Disk. All folders that have got a new entry are synced, so that the folder itself lasts.
func (OS) MkdirAll(path string) error {
	changed := parentsOfMissing(path)
	if err := os.MkdirAll(path, 0o700); err != nil {
		return err
	}
	for _, folder := range changed {
		if err := (OS{}).SyncDir(folder); err != nil {
			return err
		}
	}
	return nil
}

// parentsOfMissing lists the parent of a folder, and those of all folders above it that do not exist. The parent is always
// among them: an earlier process may have made the folder and ended before it synced that.
func parentsOfMissing(path string) []string {
	parents := []string{filepath.Dir(path)}
	for {
		missing := parents[len(parents)-1]
		above := filepath.Dir(missing)
		if _, err := os.Stat(missing); err == nil || above == missing {
			return parents
		}
		parents = append(parents, above)
	}
}

// List implements Disk.
func (OS) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
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
	defer opened.Close()
	return opened.Sync()
}

// SyncDir implements Disk.
func (OS) SyncDir(folder string) error {
	opened, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer opened.Close()
	return opened.Sync()
}
