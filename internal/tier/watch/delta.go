package watch

import (
	"bytes"
	"hash/crc32"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Limits of deltas and of the history of bodies that they are computed from.
const (
	deltaBlockBytes  = 32      // length of the blocks of the older body that are searched in the newer one
	minDeltaBodySize = 1 << 10 // bytes; smaller bodies are sent in full
	maxDeltaBases    = 8       // number of older bodies that are kept
	maxHistoryBytes  = 2 << 20 // total of all kept bodies, unless the newest alone is larger
)

var errDeltaMismatch = eris.New("delta does not match the known configuration body")

// bodyHistory holds the most recent configuration bodies by control version, and caches the deltas to the newest one.
type bodyHistory struct {
	entries []versionedBody              // oldest first
	deltas  map[uint64]*tierpb.BodyDelta // by version of the older body; nil if there is none or it saves too little
}

type versionedBody struct {
	version uint64
	body    []byte
}

// add appends a body as the newest one and drops the oldest ones that exceed maxDeltaBases or maxHistoryBytes.
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

// deltaFrom returns the delta from a version's body to the newest one. It returns nil if that version is not kept, if the
// newest body is small, or if the delta is more than half as large as that body.
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
	return &tierpb.BodyDelta{Base: version, Chunks: diffBodies(older, newer), Checksum: crc32.ChecksumIEEE(newer)}
}

// diffBodies describes the newer body as a sequence of chunks of the older one, each followed by added bytes. As in rsync
// (Tridgell, 1996), a rolling hash over the newer body finds blocks of the older one; each match is then extended in both
// directions.
func diffBodies(older, newer []byte) []*tierpb.BodyChunk {
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

// applyDelta returns the newer body, or errDeltaMismatch if the delta was computed from a different older body.
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

// indexBlocks returns the positions of the blocks of a body by hash. Of blocks with the same hash it keeps the first.
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

// rollingHash computes the Rabin-Karp hash of a window of deltaBlockBytes, in constant time when the window moves by one
// byte.
type rollingHash struct {
	next int // position of the window for which sum can be updated in constant time
	sum  uint64
}

const rollingBase = 1099511628211

// oldestByteFactor is rollingBase to the power of deltaBlockBytes-1, the weight of the byte that leaves the window.
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
