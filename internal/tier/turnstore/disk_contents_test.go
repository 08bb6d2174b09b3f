package turnstore

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// durableState returns the records and budgets that a disk would have after a power failure that loses everything that is
// not synced.
func durableState(disk *memoryDisk) *state {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	durable := newState()
	for path, file := range disk.files {
		if _, isSegment := numberOf(baseName(path), segmentPrefix); !isSegment {
			if _, isCompacted := numberOf(baseName(path), compactedPrefix); !isCompacted {
				continue
			}
		}
		_, _, _ = readFrames(file.data[:file.synced], durable)
	}
	return durable
}

func baseName(path string) string { return path[len("data/"):] }

// firstFile returns the first file, in the order of names, whose name has the prefix.
func firstFile(t *testing.T, m *machine, prefix string) *memoryFile {
	t.Helper()
	for _, path := range slices.Sorted(maps.Keys(m.disk.files)) {
		if strings.HasPrefix(path, "data/"+prefix) {
			return m.disk.files[path]
		}
	}
	t.Fatalf("no file name begins with %s", prefix)
	return nil
}

// corruptFirstFrame flips a bit in the body of a file's first frame.
func corruptFirstFrame(file *memoryFile) { file.data[len(fileMagic)+frameHeaderBytes+1] ^= 1 }

// diskContents describes what is durable on the disk of a store.
func diskContents(m *machine) string {
	var lines []string
	durable := durableState(m.disk)
	for id, record := range durable.records {
		lines = append(lines, fmt.Sprintf("%s until %d %s", id, record.expiresUnixMs, record.turn))
	}
	for name, program := range durable.programs {
		lines = append(lines, fmt.Sprintf("%s %s", name, program.budget))
	}
	slices.Sort(lines)
	return fmt.Sprint(lines)
}
