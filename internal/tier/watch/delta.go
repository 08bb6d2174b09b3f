package watch

import (
	"bytes"
	"hash/crc32"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Sizes of deltas and of what they are made from.
const (
	deltaBlockBytes  = 32      // of the older body, matched at a time
	minDeltaBodySize = 1 << 10 // bytes; smaller bodies are sent in full
	maxDeltaBases    = 8       // older bodies that deltas are made from
	maxHistoryBytes  = 2 << 20 // of all bodies, unless the newest alone is larger
)

var errDeltaMismatch = eris.New("delta does not fit the known body")

// bodyHistory holds the newest configuration bodies by control version, and the deltas that lead to the newest one.
type bodyHistory struct {
	entries []versionedBody // oldest first
	deltas  map[uint64]*tierpb.BodyDelta
}

type versionedBody struct {
	version uint64
	body    []byte
}

// add makes a body the newest one and drops the oldest ones beyond the bounds.
func (h *bodyHistory) add(version uint64, body []byte) {
	h.entries = append(h.entries, versionedBody{version: version, body: body})
	h.deltas = nil
	size := 0
	for i := len(h.entries) - 1; i >= 0; i-- {
		size += len(h.entries[i].body)
		if len(h.entries)-i > maxDeltaBases+1 || size > maxHistoryBytes && i < len(h.entries)-1 {
			h.entries = append([]versionedBody(nil), h.entries[i+1:]...)
			return
		}
	}
}

// deltaFrom returns the delta from a version's body to the newest one, nil if that version is not known or the delta
// saves little.
func (h *bodyHistory) deltaFrom(version uint64) *tierpb.BodyDelta {
	newest := h.entries[len(h.entries)-1]
	if delta, made := h.deltas[version]; made || len(newest.body) < minDeltaBodySize {
		return delta
	}
	var delta *tierpb.BodyDelta
	for _, older := range h.entries[:len(h.entries)-1] {
		if older.version == version {
			delta = makeDelta(version, older.body, newest.body)
		}
	}
	if delta != nil && delta.SizeVT() > len(newest.body)/2 {
		delta = nil
	}
	if h.deltas == nil {
		h.deltas = make(map[uint64]*tierpb.BodyDelta)
	}
	h.deltas[version] = delta
	return delta
}

func makeDelta(version uint64, older, newer []byte) *tierpb.BodyDelta {
	return &tierpb.BodyDelta{Base: version, Chunks: diff(older, newer), Checksum: crc32.ChecksumIEEE(newer)}
}

// diff describes the newer body by chunks of the older one, each followed by added bytes. As in rsync (Tridgell, 1996),
// chunks are found by a rolling hash over the blocks of the older body, and then extended in both directions.
func diff(older, newer []byte) []*tierpb.BodyChunk {
	blocks := indexBlocks(older)
	chunks := []*tierpb.BodyChunk{{}}
	emitted, position := 0, 0 // newer[emitted:position] is in no chunk yet
	var rolling rollingHash
	for position+deltaBlockBytes <= len(newer) {
		sum := rolling.sumAt(newer, position)
		from, found := blocks[sum]
		if !found || !bytes.Equal(older[from:from+deltaBlockBytes], newer[position:position+deltaBlockBytes]) {
			position++
			continue
		}
		before := commonSuffix(older[:from], newer[emitted:position])
		length := deltaBlockBytes + commonPrefix(older[from+deltaBlockBytes:], newer[position+deltaBlockBytes:])
		chunks[len(chunks)-1].Added = newer[emitted : position-before]
		chunks = append(chunks, &tierpb.BodyChunk{From: uint32(from - before), Length: uint32(before + length)})
		position += length
		emitted = position
	}
	chunks[len(chunks)-1].Added = newer[emitted:]
	return chunks
}

// applyDelta returns the newer body, or errDeltaMismatch if the delta was made from another older one.
func applyDelta(delta *tierpb.BodyDelta, older []byte) ([]byte, error) {
	size := 0
	for _, chunk := range delta.Chunks {
		if uint64(chunk.From)+uint64(chunk.Length) > uint64(len(older)) {
			return nil, errDeltaMismatch
		}
		size += int(chunk.Length) + len(chunk.Added)
	}
	newer := make([]byte, 0, size)
	for _, chunk := range delta.Chunks {
		newer = append(newer, older[chunk.From:chunk.From+chunk.Length]...)
		newer = append(newer, chunk.Added...)
	}
	if crc32.ChecksumIEEE(newer) != delta.Checksum {
		return nil, errDeltaMismatch
	}
	return newer, nil
}

// indexBlocks returns the position of each block of a body by its hash, the first one where blocks are equal.
func indexBlocks(body []byte) map[uint64]int {
	blocks := make(map[uint64]int, len(body)/deltaBlockBytes)
	var rolling rollingHash
	for position := 0; position+deltaBlockBytes <= len(body); position += deltaBlockBytes {
		sum := rolling.sumAt(body, position)
		if _, exists := blocks[sum]; !exists {
			blocks[sum] = position
		}
	}
	return blocks
}

// rollingHash is the Rabin-Karp hash of a window of deltaBlockBytes. Moving the window by one byte costs one step.
type rollingHash struct {
	next int // position that follows the last one
	sum  uint64
}

const rollingBase = 1099511628211

// oldestByteFactor is rollingBase to the power of deltaBlockBytes-1: the factor of the byte that leaves the window.
var oldestByteFactor = func() uint64 {
	power := uint64(1)
	for range deltaBlockBytes - 1 {
		power *= rollingBase
	}
	return power
}()

// sumAt returns the hash of the window that starts at a position.
func (r *rollingHash) sumAt(body []byte, position int) uint64 {
	if position != 0 && position == r.next {
		r.sum = (r.sum-uint64(body[position-1])*oldestByteFactor)*rollingBase + uint64(body[position+deltaBlockBytes-1])
	} else {
		r.sum = 0
		for _, c := range body[position : position+deltaBlockBytes] {
			r.sum = r.sum*rollingBase + uint64(c)
		}
	}
	r.next = position + 1
	return r.sum
}

func commonPrefix(a, b []byte) int {
	length := min(len(a), len(b))
	for i := range length {
		if a[i] != b[i] {
			return i
		}
	}
	return length
}

func commonSuffix(a, b []byte) int {
	length := min(len(a), len(b))
	for i := range length {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return length
}
