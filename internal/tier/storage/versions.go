package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
)

// Layout of a version's file: magic (4 bytes), checksum of all that follows (4), version (8), length of the
// payload (8), payload. Numbers are big endian.
const (
	magic       = 0x50545631
	headerBytes = 24
	aside       = ".part" // suffix of a file that is being written
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// Series is a piece of state that is replaced as a whole, version by version. It is not safe for concurrent use.
type Series struct {
	disk    Disk
	folder  string
	name    string
	faults  *failpoint.Points
	version uint64   // highest number ever used
	present []uint64 // versions whose files may exist
	payload []byte   // as read by Open
	found   bool
	damaged bool
}

// Open finds the newest whole version in a folder, which must exist, and removes what is older or unfinished.
func Open(disk Disk, folder, name string, faults *failpoint.Points) (*Series, error) {
	series := &Series{disk: disk, folder: folder, name: name, faults: faults}
	names, err := disk.List(folder)
	if err != nil {
		return nil, eris.Wrapf(err, "list %s", folder)
	}
	for _, file := range names {
		series.note(file)
	}
	slices.Sort(series.present)
	if err := series.load(); err != nil {
		return nil, err
	}
	return series, nil
}

// note takes a name of the folder in where it belongs to the series.
func (s *Series) note(file string) {
	rest, ours := strings.CutPrefix(file, s.name+"-")
	if !ours {
		return
	}
	if strings.HasSuffix(rest, aside) {
		_ = s.disk.Remove(filepath.Join(s.folder, file))
		return
	}
	if version, err := strconv.ParseUint(rest, 16, 64); err == nil {
		s.present = append(s.present, version)
		s.version = max(s.version, version)
	}
}

// load reads the newest whole version and removes the others.
func (s *Series) load() error {
	for i := len(s.present) - 1; i >= 0; i-- {
		version := s.present[i]
		data, err := s.disk.Read(s.path(version))
		if err != nil {
			return eris.Wrapf(err, "read %s", s.path(version))
		}
		payload, err := decode(data, version)
		if err != nil {
			s.damaged = true
			continue
		}
		// A process that was killed may have renamed the file without syncing the folder.
		if err := s.disk.SyncDir(s.folder); err != nil {
			return eris.Wrapf(err, "sync %s", s.folder)
		}
		s.payload, s.found = payload, true
		s.removeAllBut(version)
		return nil
	}
	return nil
}

// Newest returns the payload that Open found, if any.
func (s *Series) Newest() ([]byte, bool) { return s.payload, s.found }

// Corrupted says that Open met a finished version that is not whole, newer than the one it found: the disk has lost
// what it had acknowledged.
func (s *Series) Corrupted() bool { return s.damaged }

// Save makes a payload the newest version. When it returns nil the payload is durable; after an error the version
// on disk is either this one or the one before.
func (s *Series) Save(payload []byte) error {
	s.version++
	version := s.version
	if err := s.write(version, payload); err != nil {
		return eris.Wrapf(err, "save %s", s.path(version))
	}
	s.payload, s.found = nil, true
	s.removeAllBut(version)
	return s.faults.At(failpoint.VersionRemoved)
}

// Clear removes all versions.
func (s *Series) Clear() error {
	s.removeAllBut(s.version + 1)
	s.payload, s.found, s.damaged = nil, false, false
	return s.disk.SyncDir(s.folder)
}

func (s *Series) write(version uint64, payload []byte) error {
	temporary := s.path(version) + aside
	if err := s.writeAside(temporary, encode(version, payload)); err != nil {
		_ = s.disk.Remove(temporary)
		return err
	}
	s.present = append(s.present, version)
	if err := s.disk.Rename(temporary, s.path(version)); err != nil {
		_ = s.disk.Remove(temporary)
		return err
	}
	if err := s.faults.At(failpoint.VersionRenamed); err != nil {
		return err
	}
	if err := s.disk.SyncDir(s.folder); err != nil {
		return err
	}
	return s.faults.At(failpoint.VersionFolderSynced)
}

func (s *Series) writeAside(path string, data []byte) error {
	file, err := s.disk.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := s.faults.At(failpoint.VersionCreated); err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := s.faults.At(failpoint.VersionWritten); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return s.faults.At(failpoint.VersionSynced)
}

// removeAllBut removes the files of all other versions. One that cannot be removed is tried again later.
func (s *Series) removeAllBut(keep uint64) {
	left := s.present[:0]
	for _, version := range s.present {
		if version == keep {
			left = append(left, version)
			continue
		}
		if err := s.disk.Remove(s.path(version)); err != nil && s.exists(version) {
			left = append(left, version)
		}
	}
	s.present = left
}

func (s *Series) exists(version uint64) bool {
	names, err := s.disk.List(s.folder)
	return err != nil || slices.Contains(names, filepath.Base(s.path(version)))
}

func (s *Series) path(version uint64) string {
	return filepath.Join(s.folder, fmt.Sprintf("%s-%016x", s.name, version))
}

func encode(version uint64, payload []byte) []byte {
	data := make([]byte, headerBytes+len(payload))
	binary.BigEndian.PutUint32(data, magic)
	binary.BigEndian.PutUint64(data[8:], version)
	binary.BigEndian.PutUint64(data[16:], uint64(len(payload)))
	copy(data[headerBytes:], payload)
	binary.BigEndian.PutUint32(data[4:], crc32.Checksum(data[8:], checksums))
	return data
}

func decode(data []byte, version uint64) ([]byte, error) {
	switch {
	case len(data) < headerBytes || binary.BigEndian.Uint32(data) != magic:
		return nil, eris.New("no version file")
	case binary.BigEndian.Uint64(data[16:]) != uint64(len(data)-headerBytes):
		return nil, eris.New("version file of the wrong length")
	case binary.BigEndian.Uint32(data[4:]) != crc32.Checksum(data[8:], checksums):
		return nil, eris.New("version file with a wrong checksum")
	case binary.BigEndian.Uint64(data[8:]) != version:
		return nil, eris.New("version file under another version's name")
	}
	return data[headerBytes:], nil
}
