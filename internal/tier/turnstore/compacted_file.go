package turnstore

import (
	"encoding/binary"
	"path/filepath"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/storage"
)

// compactionBufferBytes is how much of a compacted file is written at a time.
const compactionBufferBytes = 256 << 10

// compactionNumberSeries is the name of the versioned file of the number of the newest compacted file (8 bytes, big
// endian). It is saved before the replaced files are removed, so that the loss of a whole compacted file is detected.
// Older versions do not update it, so after a downgrade there may be a compacted file with a higher number.
const compactionNumberSeries = "newest"

// compactedFile writes the whole state to a temporary file. Under its final name it replaces segments and earlier
// compacted files.
type compactedFile struct {
	disk       storage.Disk
	folder     string
	number     uint64
	file       storage.File // nil when it is closed
	buffer     []byte
	bytes      int64 // written
	failpoints *failpoint.Points
}

func createCompacted(
	disk storage.Disk, folder string, number uint64, failpoints *failpoint.Points,
) (*compactedFile, error) {
	c := &compactedFile{disk: disk, folder: folder, number: number, failpoints: failpoints}
	file, err := disk.Create(c.temporaryPath())
	if err != nil {
		return nil, eris.Wrap(err, "create a compacted file")
	}
	c.file = file
	c.buffer = append(make([]byte, 0, compactionBufferBytes), fileMagic...)
	return c, nil
}

func (c *compactedFile) path() string { return filepath.Join(c.folder, compactedName(c.number)) }

func (c *compactedFile) temporaryPath() string { return c.path() + temporarySuffix }

// add appends a frame.
func (c *compactedFile) add(kind byte, body message) error {
	var err error
	if c.buffer, err = appendFrame(c.buffer, kind, body); err != nil {
		return err
	}
	if len(c.buffer) < compactionBufferBytes {
		return nil
	}
	return c.flush()
}

func (c *compactedFile) flush() error {
	if _, err := c.file.Write(c.buffer); err != nil {
		return eris.Wrap(err, "write a compacted file")
	}
	c.bytes += int64(len(c.buffer))
	c.buffer = c.buffer[:0]
	return nil
}

// finish makes the file durable under its final name and removes the files that it replaces.
func (c *compactedFile) finish() error {
	if err := c.flush(); err != nil {
		return err
	}
	if err := c.file.Sync(); err != nil {
		return eris.Wrap(err, "sync a compacted file")
	}
	if err := c.file.Close(); err != nil {
		return eris.Wrap(err, "close a compacted file")
	}
	c.file = nil
	if err := c.failpoints.At(pointCompactedSynced); err != nil {
		return err
	}
	if err := c.disk.Rename(c.temporaryPath(), c.path()); err != nil {
		return eris.Wrap(err, "rename a compacted file")
	}
	if err := c.disk.SyncDir(c.folder); err != nil {
		return eris.Wrap(err, "sync the data folder")
	}
	if err := c.failpoints.At(pointCompactedDurable); err != nil {
		return err
	}
	if err := saveCompactionNumber(c.disk, c.folder, c.number, c.failpoints); err != nil {
		return err
	}
	c.removeReplaced()
	return nil
}

// abort removes the temporary file.
func (c *compactedFile) abort() {
	if c.file != nil {
		_ = c.file.Close()
	}
	_ = c.disk.Remove(c.temporaryPath())
}

// removeReplaced removes the files that the compacted file replaces. Files that remain do no harm.
func (c *compactedFile) removeReplaced() {
	names, err := c.disk.List(c.folder)
	if err != nil {
		return
	}
	for _, name := range names {
		if c.replaces(name) {
			_ = c.disk.Remove(filepath.Join(c.folder, name))
		}
	}
}

// replaces returns whether the compacted file replaces the file with the given name.
func (c *compactedFile) replaces(name string) bool {
	if segment, isSegment := numberOf(name, segmentPrefix); isSegment {
		return segment <= c.number
	}
	if compacted, isCompacted := numberOf(name, compactedPrefix); isCompacted {
		return compacted < c.number
	}
	segment, isOffsets := numberOf(name, offsetsPrefix)
	return isOffsets && segment <= c.number
}

// readCompactionNumber returns the saved number of the newest compacted file; 0 if no compaction has finished yet or if
// the file with the number is lost.
func readCompactionNumber(disk storage.Disk, folder string) (uint64, error) {
	series, err := storage.Open(disk, folder, compactionNumberSeries, nil)
	if err != nil {
		return 0, err
	}
	payload, found := series.Newest()
	if !found || len(payload) != 8 {
		return 0, nil
	}
	return binary.BigEndian.Uint64(payload), nil
}

func saveCompactionNumber(disk storage.Disk, folder string, number uint64, failpoints *failpoint.Points) error {
	series, err := storage.Open(disk, folder, compactionNumberSeries, failpoints)
	if err != nil {
		return err
	}
	return eris.Wrap(series.Save(binary.BigEndian.AppendUint64(nil, number)), "save the number of the compacted file")
}
