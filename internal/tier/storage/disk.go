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
	// MakeFolder makes a folder with its parents; one that exists is no error.
	MakeFolder(path string) error
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
	// SyncFolder makes the names in a folder durable.
	SyncFolder(folder string) error
}

// File is a file open for writing.
type File interface {
	io.Writer
	// Sync makes what was written durable.
	Sync() error
	Close() error
}

// OS is the Disk of the machine.
type OS struct{}

// MakeFolder implements Disk. The parent of the folder is synced, so that the folder itself lasts.
func (OS) MakeFolder(path string) error {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return err
	}
	return OS{}.SyncFolder(filepath.Dir(path))
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

// SyncFolder implements Disk.
func (OS) SyncFolder(folder string) error {
	opened, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer opened.Close()
	return opened.Sync()
}
