package turnstore

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// durableState reads what a disk would contain after a power failure that loses everything that is not synced.
func durableState(disk *memoryDisk) *state {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	found := newState()
	for path, file := range disk.files {
		if _, isSegment := numberOf(baseName(path), segmentPrefix); !isSegment {
			if _, isMerged := numberOf(baseName(path), compactedPrefix); !isMerged {
				continue
			}
		}
		_, _, _ = readFrames(file.data[:file.synced], found)
	}
	return found
}

func baseName(path string) string { return path[len("data/"):] }

// firstFile returns the first file whose name has a prefix.
func firstFile(t *testing.T, m *machine, prefix string) *memoryFile {
	t.Helper()
	for _, path := range slices.Sorted(maps.Keys(m.disk.files)) {
		if strings.HasPrefix(path, "data/"+prefix) {
			return m.disk.files[path]
		}
	}
	t.Fatalf("no file is named %s", prefix)
	return nil
}

// corruptFirstFrame flips a bit of a file's first frame.
func corruptFirstFrame(file *memoryFile) { file.data[len(fileMagic)+frameHeaderBytes+1] ^= 1 }

// diskContents describes what is durable on the disk of a store.
func diskContents(m *machine) string {
	var lines []string
	found := durableState(m.disk)
	for id, record := range found.records {
		lines = append(lines, fmt.Sprintf("%s until %d %s", id, record.expiresUnixMs, record.turn))
	}
	for name, program := range found.programs {
		lines = append(lines, fmt.Sprintf("%s %s", name, program.budget))
	}
	slices.Sort(lines)
	return fmt.Sprint(lines)
}
