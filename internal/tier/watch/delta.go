package watch

import (
	"bytes"
	"hash/crc32"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Sizes of deltas and of what they are made from.
const (
	deltaBlock      = 32      // bytes of the older body that are looked up at a time
	deltaLeast      = 1 << 10 // bodies below this go out whole
	bodiesKept      = 8       // older bodies that deltas are made from
	bodiesBytesMost = 2 << 20 // of all of them
)

var errDelta = eris.New("the delta does not fit the body known")

// bodies remembers the newest configurations' bodies by control version, and the deltas that lead to the newest one.
type bodies struct {
	known  []knownBody // oldest first; the last one is the newest
	deltas map[uint64]*tierpb.BodyDelta
}

type knownBody struct {
	version uint64
	body    []byte
}

func (b *bodies) add(version uint64, body []byte) {
	b.known = append(b.known, knownBody{version: version, body: body})
	b.deltas = nil
	size := 0
	for i := len(b.known) - 1; i >= 0; i-- {
		size += len(b.known[i].body)
		if len(b.known)-i > bodiesKept+1 || size > bodiesBytesMost && i < len(b.known)-1 {
			b.known = append([]knownBody(nil), b.known[i+1:]...)
			return
		}
	}
}

// delta leads from a version's body to the newest one; nil where that is not known or saves little.
func (b *bodies) delta(version uint64) *tierpb.BodyDelta {
	newest := b.known[len(b.known)-1]
	if made, ok := b.deltas[version]; ok || len(newest.body) < deltaLeast {
		return made
	}
	var made *tierpb.BodyDelta
	for _, older := range b.known[:len(b.known)-1] {
		if older.version == version {
			made = makeDelta(version, older.body, newest.body)
		}
	}
	if made != nil && made.SizeVT() > len(newest.body)/2 {
		made = nil
	}
	if b.deltas == nil {
		b.deltas = make(map[uint64]*tierpb.BodyDelta)
	}
	b.deltas[version] = made
	return made
}

func makeDelta(version uint64, older, newer []byte) *tierpb.BodyDelta {
	return &tierpb.BodyDelta{Base: version, Chunks: pieces(older, newer), Checksum: crc32.ChecksumIEEE(newer)}
}

// pieces describes the newer body by parts of the older one, found by a rolling hash over its blocks.
func pieces(older, newer []byte) []*tierpb.BodyChunk {
	blocks := blocksOf(older)
	made := []*tierpb.BodyChunk{{}}
	told, at := 0, 0 // newer[told:at] is in no piece yet
	var rolling rollingHash
	for at+deltaBlock <= len(newer) {
		sum := rolling.at(newer, at)
		from, found := blocks[sum]
		if !found || !bytes.Equal(older[from:from+deltaBlock], newer[at:at+deltaBlock]) {
			at++
			continue
		}
		back := commonSuffix(older[:from], newer[told:at])
		length := deltaBlock + commonPrefix(older[from+deltaBlock:], newer[at+deltaBlock:])
		last := made[len(made)-1]
		last.Added = newer[told : at-back]
		made = append(made, &tierpb.BodyChunk{From: uint32(from - back), Length: uint32(back + length)})
		at += length
		told = at
	}
	made[len(made)-1].Added = newer[told:]
	return made
}

// apply makes the newer body.
func apply(delta *tierpb.BodyDelta, older []byte) ([]byte, error) {
	size := 0
	for _, piece := range delta.Chunks {
		if uint64(piece.From)+uint64(piece.Length) > uint64(len(older)) {
			return nil, errDelta
		}
		size += int(piece.Length) + len(piece.Added)
	}
	newer := make([]byte, 0, size)
	for _, piece := range delta.Chunks {
		newer = append(newer, older[piece.From:piece.From+piece.Length]...)
		newer = append(newer, piece.Added...)
	}
	if crc32.ChecksumIEEE(newer) != delta.Checksum {
		return nil, errDelta
	}
	return newer, nil
}

// blocksOf finds the blocks of a body by their hashes.
func blocksOf(body []byte) map[uint64]int {
	blocks := make(map[uint64]int, len(body)/deltaBlock)
	var rolling rollingHash
	for at := 0; at+deltaBlock <= len(body); at += deltaBlock {
		sum := rolling.at(body, at)
		if _, taken := blocks[sum]; !taken {
			blocks[sum] = at
		}
	}
	return blocks
}

// rollingHash is the Rabin-Karp hash of a window of deltaBlock bytes. It costs one step where the window moves by one.
type rollingHash struct {
	next int // position that follows the last one
	sum  uint64
}

const rollingBase = 1099511628211

// leaving is rollingBase to the power of deltaBlock-1, the weight of the byte that leaves the window.
var leaving = func() uint64 {
	power := uint64(1)
	for range deltaBlock - 1 {
		power *= rollingBase
	}
	return power
}()

func (r *rollingHash) at(body []byte, position int) uint64 {
	if position != 0 && position == r.next {
		r.sum = (r.sum-uint64(body[position-1])*leaving)*rollingBase + uint64(body[position+deltaBlock-1])
	} else {
		r.sum = 0
		for _, c := range body[position : position+deltaBlock] {
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
