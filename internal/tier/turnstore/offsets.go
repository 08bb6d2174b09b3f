package turnstore

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"

	"pulleygw.example/pulleygw/internal/tier/storage"
)

// Format of an offsets file. Each entry is the number of bytes of the segment that are synced (8 bytes, big endian) and
// the CRC-32C of these (4 bytes, big endian).
const (
	offsetsPrefix    = "marks-" // the name on disk is kept for compatibility
	offsetValueBytes = 8
	offsetEntryBytes = 12
)

// offsetFile records beside the current segment up to which offset it is synced. A segment alone does not tell an end
// that was torn while it was written from bytes that were synced and have been lost; everything below the highest
// recorded offset was synced. Older versions that do not know these files ignore them.
type offsetFile struct {
	disk     storage.Disk
	folder   string
	file     storage.File // nil before the first entry of a segment and after one that failed
	segment  uint64
	failed   bool
	unsynced bool
}

// record appends an entry. If that fails, the segment gets no further entries; the earlier ones remain valid as lower
// bounds.
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
	o.unsynced = o.unsynced || err == nil
	return err
}

// sync makes the entries durable. Losing an entry to a power failure leaves a lower offset, which is harmless.
func (o *offsetFile) sync() {
	if o.file == nil || !o.unsynced {
		return
	}
	o.unsynced = false
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
