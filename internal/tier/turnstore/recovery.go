package turnstore

import (
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/storage"
)

// recovery is the result of reading a data folder.
type recovery struct {
	nextSegment uint64 // lowest number that no segment has ever used
	bytes       int64  // size of all segments and compacted files
	damaged     bool   // the disk has lost data that was synced

	validBytes      map[uint64]int64 // by segment: bytes up to the first incomplete or corrupt frame
	syncedBytes     map[uint64]int64 // by segment: highest offset that was recorded as synced
	compactedUpTo   uint64           // highest number of an intact compacted file, which replaces all segments up to it
	newestCompacted uint64           // number of the newest compacted file that was finished, as saved; 0 if none
}

// recoverFiles reads all compacted files and segments of a data folder and removes temporary files.
func recoverFiles(disk storage.Disk, folder string, loader frameLoader) (recovery, error) {
	names, err := disk.List(folder)
	if err != nil {
		return recovery{}, eris.Wrap(err, "list the data folder")
	}
	slices.Sort(names)
	recovered := recovery{nextSegment: 1, validBytes: make(map[uint64]int64), syncedBytes: make(map[uint64]int64)}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			_ = disk.Remove(filepath.Join(folder, name))
			continue
		}
		if err := recovered.readFile(disk, filepath.Join(folder, name), loader); err != nil {
			return recovery{}, err
		}
	}
	// A process that was killed may have created files without syncing the folder. What was read from them counts as
	// durable from here on.
	if err := disk.SyncDir(folder); err != nil {
		return recovery{}, eris.Wrap(err, "sync the data folder")
	}
	if recovered.newestCompacted, err = readCompactionNumber(disk, folder); err != nil {
		return recovery{}, err
	}
	recovered.nextSegment = max(recovered.nextSegment, recovered.newestCompacted+1)
	if recovered.compactedUpTo < recovered.newestCompacted || recovered.lostSyncedBytes() {
		recovered.damaged = true
	}
	return recovered, nil
}

// readFile reads a segment, a compacted file or an offsets file of the data folder, and ignores other files.
func (r *recovery) readFile(disk storage.Disk, path string, loader frameLoader) error {
	name := filepath.Base(path)
	if segment, isOffsets := numberOf(name, offsetsPrefix); isOffsets {
		data, err := disk.Read(path)
		r.syncedBytes[segment] = highestOffset(data)
		r.nextSegment = max(r.nextSegment, segment+1)
		return eris.Wrapf(err, "read %s", path)
	}
	segment, isSegment := numberOf(name, segmentPrefix)
	compacted, isCompacted := numberOf(name, compactedPrefix)
	if !isSegment && !isCompacted {
		return nil
	}
	file, err := readFrameFile(disk, path, loader)
	if err != nil {
		return err
	}
	r.nextSegment = max(r.nextSegment, segment+1, compacted+1)
	r.bytes += file.bytes
	switch {
	case isSegment:
		r.validBytes[segment] = file.validBytes
	case file.complete:
		r.compactedUpTo = max(r.compactedUpTo, compacted)
	default:
		r.damaged = true
	}
	return nil
}

// lostSyncedBytes returns whether a segment that no compacted file has replaced has lost bytes that were synced. Bytes
// after the synced offset were never acknowledged.
func (r *recovery) lostSyncedBytes() bool {
	for segment, synced := range r.syncedBytes {
		if segment > r.compactedUpTo && r.validBytes[segment] < synced {
			return true
		}
	}
	return false
}

// frameFile describes a segment or a compacted file that was read.
type frameFile struct {
	bytes      int64
	validBytes int64 // up to the first incomplete or corrupt frame
	complete   bool  // all frames are valid
}

// readFrameFile applies the frames of a file. Applying is idempotent, so a file that a compacted file has already replaced
// does no harm. The file is synced first, because a killed process may not have synced its last writes: from here on they
// count as durable.
func readFrameFile(disk storage.Disk, path string, loader frameLoader) (frameFile, error) {
	if err := disk.SyncFile(path); err != nil {
		return frameFile{}, eris.Wrapf(err, "sync %s", path)
	}
	data, err := disk.Read(path)
	if err != nil {
		return frameFile{}, eris.Wrapf(err, "read %s", path)
	}
	validBytes, complete, err := readFrames(data, loader)
	if err != nil {
		return frameFile{}, eris.Wrapf(err, "read %s", path)
	}
	return frameFile{bytes: int64(len(data)), validBytes: validBytes, complete: complete}, nil
}
