package turnstore

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"

	"pulleygw.example/pulleygw/internal/tier/storage"
)

// Format of an offsets file. Each entry is the number of bytes of the segment that are synced (8 bytes, big endian) and
// the CRC-32C of that number (4 bytes, big endian).
const (
	offsetsPrefix    = "marks-" // the name on disk is kept for compatibility
	offsetValueBytes = 8
	offsetEntryBytes = 12
)

// offsetFile records up to which offset the current segment is synced, in a file of its own. The segment alone does not
// show whether an incomplete end is a torn write or a loss of synced bytes; everything below the highest recorded offset
// was synced. Older versions ignore these files.
type offsetFile struct {
	disk               storage.Disk
	folder             string
	file               storage.File // nil before the first entry of a segment and after a failed write or sync
	segment            uint64
	failed             bool // a write or sync has failed; the segment gets no further entries
	hasUnsyncedEntries bool
}

// record appends an entry. If that fails, the segment gets no further entries; the earlier ones remain valid, as lower
// bounds of what is synced.
func (o *offsetFile) record(segment uint64, syncedBytes int64) {
	if o.segment != segment {
		o.close()
		o.segment, o.failed = segment, false
	}
	if o.failed {
		return
	}
	if err := o.write(syncedBytes); err != nil {
		o.close()
		o.failed = true
	}
}

func (o *offsetFile) write(syncedBytes int64) error {
	if o.file == nil {
		file, err := o.disk.Create(filepath.Join(o.folder, offsetsName(o.segment)))
		if err != nil {
			return err
		}
		o.file = file
	}
	entry := binary.BigEndian.AppendUint64(make([]byte, 0, offsetEntryBytes), uint64(syncedBytes))
	entry = binary.BigEndian.AppendUint32(entry, crc32.Checksum(entry, castagnoli))
	_, err := o.file.Write(entry)
	o.hasUnsyncedEntries = o.hasUnsyncedEntries || err == nil
	return err
}

// sync makes the entries durable. A power failure that loses an entry leaves a lower offset: less damage can then be
// detected, but none is reported wrongly.
func (o *offsetFile) sync() {
	if o.file == nil || !o.hasUnsyncedEntries {
		return
	}
	o.hasUnsyncedEntries = false
	if o.file.Sync() != nil {
		o.close()
		o.failed = true
	}
}

func (o *offsetFile) close() {
	if o.file != nil {
		_ = o.file.Close()
		o.file = nil
	}
}

// highestOffset returns the highest of the valid entries of a file, 0 if there is none.
func highestOffset(data []byte) (highest int64) {
	for ; len(data) >= offsetEntryBytes; data = data[offsetEntryBytes:] {
		value, checksum := data[:offsetValueBytes], data[offsetValueBytes:]
		if crc32.Checksum(value, castagnoli) == binary.BigEndian.Uint32(checksum) {
			highest = max(highest, int64(binary.BigEndian.Uint64(value)))
		}
	}
	return highest
}

func offsetsName(segment uint64) string { return fmt.Sprintf("%s%016x", offsetsPrefix, segment) }
