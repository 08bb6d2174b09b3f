package changelog

import (
	"crypto/sha256"
	"sort"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// DigestSize is the length in bytes of the digests of bodies and segments, which are truncated SHA-256.
const DigestSize = 16

func digestOf(data []byte) []byte {
	sum := sha256.Sum256(data)
	return sum[:DigestSize]
}

// newSegment encodes consecutive changes: the If-Match of the first, and of each change its digest and the step to its
// generation, which is the If-Match of the next.
func newSegment(committed []*tierpb.CommittedChange) *tierpb.ChangeSegment {
	segment := &tierpb.ChangeSegment{First: committed[0].IfMatch}
	for _, change := range committed {
		segment.Steps = append(segment.Steps, change.Generation-change.IfMatch)
		segment.Digests = append(segment.Digests, change.Digest...)
	}
	return segment
}

// segmentDigest returns the digest by which a segment is named.
func segmentDigest(segment *tierpb.ChangeSegment) []byte {
	encoded := make([]byte, segment.SizeVT())
	if _, err := segment.MarshalToSizedBufferVT(encoded); err != nil {
		return nil
	}
	return digestOf(encoded)
}

// isComplete reports whether each change of a segment has its digest.
func isComplete(segment *tierpb.ChangeSegment) bool {
	return len(segment.GetDigests()) == len(segment.GetSteps())*DigestSize
}

// findSegment returns the reference of the segment that a change with this If-Match would be in, nil if the change is older
// than all of them.
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
			return compare(change, ifMatch+step, segment.Digests[index*DigestSize:(index+1)*DigestSize])
		}
		ifMatch += step
	}
	return Rejected
}
