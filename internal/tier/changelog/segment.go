package changelog

import (
	"crypto/sha256"
	"sort"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// DigestSize is the length in bytes of the digests of bodies and segments, which are truncated SHA-256 hashes.
const DigestSize = 16

func digestOf(data []byte) []byte {
	sum := sha256.Sum256(data)
	return sum[:DigestSize]
}

// newSegment encodes consecutive changes as a segment: First is the generation on which the first change is based, and each
// change adds its digest to Digests, and to Steps the difference between its generation and the one on which it is based. Each
// change is based on the generation of the one before, which its IfMatch names.
func newSegment(committed []*tierpb.CommittedChange) *tierpb.ChangeSegment {
	segment := &tierpb.ChangeSegment{First: committed[0].IfMatch}
	for _, change := range committed {
		segment.Steps = append(segment.Steps, change.Generation-change.IfMatch)
		segment.Digests = append(segment.Digests, change.Digest...)
	}
	return segment
}

// segmentDigest returns the digest that identifies a segment.
func segmentDigest(segment *tierpb.ChangeSegment) []byte {
	encoded := make([]byte, segment.SizeVT())
	if _, err := segment.MarshalToSizedBufferVT(encoded); err != nil {
		return nil
	}
	return digestOf(encoded)
}

// isComplete reports whether a segment has a digest for each change.
func isComplete(segment *tierpb.ChangeSegment) bool {
	return len(segment.GetDigests()) == len(segment.GetSteps())*DigestSize
}

// findSegment returns the reference to the segment that would contain a change with this IfMatch, nil if the change is older
// than all segments.
func findSegment(refs []*tierpb.ChangeSegmentRef, ifMatch uint64) *tierpb.ChangeSegmentRef {
	after := sort.Search(len(refs), func(i int) bool { return refs[i].First > ifMatch })
	if after == 0 {
		return nil
	}
	return refs[after-1]
}

func classifyInSegment(segment *tierpb.ChangeSegment, change Change) Outcome {
	ifMatch := segment.First
	for index, step := range segment.Steps {
		if ifMatch == change.IfMatch {
			return compareWithCommitted(change, ifMatch+step, segment.Digests[index*DigestSize:(index+1)*DigestSize])
		}
		ifMatch += step
	}
	return Rejected
}
