package turnstore

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"

	"pulleygw.example/pulleygw/internal/tier/storage"
)

// Beside each segment stands a file of marks. A mark is how many bytes of the segment are synced (8 bytes, big endian)
// and its checksum (4 bytes); it is written behind each sync. By itself a segment can't tell an end that was torn as it
// was written from bytes that were synced and are lost; what lies below the highest mark was synced. Builds before marks
// pass these files over.
const (
	marksPrefix = "marks-"
	markBytes   = 12
)

// marks is the file of marks of the segment that is written to.
type marks struct {
	disk   storage.Disk
	folder string
	file   storage.File // nil before the first mark of a segment, and behind one that failed
	number uint64
	failed bool
	loose  bool // something is not synced
}

// put writes a mark. Where that fails the segment gets no more of them: those before hold on, as lower ones.
func (m *marks) put(segment uint64, synced int64) {
	if m.number != segment {
		m.close()
		m.number, m.failed = segment, false
	}
	if m.failed {
		return
	}
	if err := m.write(synced); err != nil {
		m.close()
		m.failed = true
	}
}

func (m *marks) write(synced int64) error {
	if m.file == nil {
		file, err := m.disk.Create(filepath.Join(m.folder, marksName(m.number)))
		if err != nil {
			return err
		}
		m.file = file
	}
	mark := binary.BigEndian.AppendUint64(make([]byte, 0, markBytes), uint64(synced))
	mark = binary.BigEndian.AppendUint32(mark, crc32.Checksum(mark, checksums))
	_, err := m.file.Write(mark)
	m.loose = m.loose || err == nil
	return err
}

// sync makes the marks durable. A mark that a loss of power takes leaves a lower one.
func (m *marks) sync() {
	if m.file == nil || !m.loose {
		return
	}
	m.loose = false
	if m.file.Sync() != nil {
		m.close()
		m.failed = true
	}
}

func (m *marks) close() {
	if m.file != nil {
		_ = m.file.Close()
		m.file = nil
	}
}

// readMarks returns the highest mark of a file's whole ones.
func readMarks(data []byte) (highest int64) {
	for ; len(data) >= markBytes; data = data[markBytes:] {
		if crc32.Checksum(data[:8], checksums) == binary.BigEndian.Uint32(data[8:]) {
			highest = max(highest, int64(binary.BigEndian.Uint64(data)))
		}
	}
	return highest
}

func marksName(segment uint64) string { return fmt.Sprintf("%s%016x", marksPrefix, segment) }
