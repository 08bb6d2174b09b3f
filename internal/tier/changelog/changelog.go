package changelog

import (
	"bytes"
	"slices"
	"sort"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Bounds of the log.
const (
	MaxRecentChanges = 512 // changes in the control state itself
	SegmentLength    = 256 // changes of a segment
	MaxSegments      = 256 // segments that the control state references; changes of older ones are compacted
)

// Change is a configuration change that an operator sent.
type Change struct {
	IfMatch    uint64 // generation on which it is based
	Generation uint64 // its own generation
	Digest     []byte // of the body, DigestSize bytes long
}

// NewChange returns the change of a configuration body.
func NewChange(ifMatch, generation uint64, body []byte) Change {
	return Change{IfMatch: ifMatch, Generation: generation, Digest: digestOf(body)}
}

// Outcome is what is known of a change.
type Outcome uint8

// The outcomes. The first three are certain, the others unknown.
const (
	Applicable     Outcome = iota // it is based on the current generation and may be committed
	Committed                     // it was committed
	Rejected                      // it was not committed and cannot be any more
	SegmentMissing                // it is in a segment that is not available here at present
	Compacted                     // it is based on a generation from before the log begins
)

// Segments finds segments of older changes.
type Segments interface {
	// Segment returns the segment with this digest, nil if it is not available.
	Segment(digest []byte) *tierpb.ChangeSegment
}

// Classify returns what a control state and the segments that it references tell of a change.
func Classify(state *tierpb.ControlState, segments Segments, change Change) Outcome {
	generation := state.GetConfiguration().GetGeneration()
	switch {
	case change.IfMatch == generation:
		return Applicable
	case change.IfMatch > generation:
		return Rejected
	}
	if recent := state.GetCommittedChanges(); len(recent) > 0 && change.IfMatch >= recent[0].IfMatch {
		return classifyRecent(recent, change)
	}
	ref := findSegment(state.GetOlderChanges(), change.IfMatch)
	if ref == nil {
		return Compacted
	}
	segment := segments.Segment(ref.Digest)
	if segment == nil {
		return SegmentMissing
	}
	return classifyInSegment(segment, change)
}

func classifyRecent(recent []*tierpb.CommittedChange, change Change) Outcome {
	index := sort.Search(len(recent), func(i int) bool { return recent[i].IfMatch >= change.IfMatch })
	if index == len(recent) || recent[index].IfMatch != change.IfMatch {
		return Rejected
	}
	return compare(change, recent[index].Generation, recent[index].Digest)
}

// compare returns the outcome of a change, given the one that was committed on top of its If-Match.
func compare(change Change, generation uint64, digest []byte) Outcome {
	if change.Generation == generation && bytes.Equal(change.Digest, digest) {
		return Committed
	}
	return Rejected
}

// Append adds a change that a control state commits. The oldest of the recent changes become a segment when there are too
// many of them.
func Append(state *tierpb.ControlState, committed Change) {
	state.CommittedChanges = append(state.CommittedChanges, &tierpb.CommittedChange{
		IfMatch: committed.IfMatch, Generation: committed.Generation, Digest: committed.Digest,
	})
	for len(state.CommittedChanges) > MaxRecentChanges {
		segment := newSegment(state.CommittedChanges[:SegmentLength])
		ref := &tierpb.ChangeSegmentRef{First: segment.First, Digest: segmentDigest(segment)}
		state.OlderChanges = append(state.OlderChanges, ref)
		state.CommittedChanges = slices.Clone(state.CommittedChanges[SegmentLength:])
	}
	if excess := len(state.OlderChanges) - MaxSegments; excess > 0 {
		state.OlderChanges = slices.Clone(state.OlderChanges[excess:])
	}
}

// NextSegment returns the segment that the oldest of the recent changes will become, nil while there are too few. It is
// known long before the control state drops these changes, so that all coordinators have it by then.
func NextSegment(state *tierpb.ControlState) *tierpb.ChangeSegment {
	if len(state.GetCommittedChanges()) < SegmentLength {
		return nil
	}
	return newSegment(state.CommittedChanges[:SegmentLength])
}
