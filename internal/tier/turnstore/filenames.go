package turnstore

import (
	"fmt"
	"strconv"
	"strings"
)

// File names consist of a prefix and the number of the segment or compacted file. A compacted file replaces all segments
// up to its own number and all earlier compacted files.
const (
	segmentPrefix   = "segment-"
	compactedPrefix = "merged-" // the name on disk is kept for compatibility
	temporarySuffix = ".part"   // of a compacted file that is being written
)

func segmentName(number uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, number) }

func compactedName(number uint64) string { return fmt.Sprintf("%s%016x", compactedPrefix, number) }

// numberOf returns the number in the name of a file; false if the name does not have the prefix.
func numberOf(name, prefix string) (uint64, bool) {
	digits, hasPrefix := strings.CutPrefix(name, prefix)
	if !hasPrefix {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}
