package changelog

import (
	"bytes"
	"slices"
	"sort"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Limits of the log.
const (
	MaxRecentChanges = 512 // changes in the control state itself
	SegmentLength    = 256 // changes in a segment
	MaxSegments      = 256 // segments that the control state references; changes in older segments are compacted
)

// Change is a configuration change that an operator sends.
type Change struct {
	IfMatch    uint64 // the generation on which the change is based
	Generation uint64 // the generation of the change itself
	Digest     []byte // digest of the body, DigestSize bytes long
}

// NewChange returns a change with the digest of a configuration body.
func NewChange(ifMatch, generation uint64, body []byte) Change {
	return Change{IfMatch: ifMatch, Generation: generation, Digest: digestOf(body)}
}

// Outcome is what is known about the outcome of a change.
type Outcome uint8

// The outcomes. The first three are definite; with the others, it is unknown whether the change was committed.
const (
	Applicable     Outcome = iota // based on the current generation, so it can be committed
	Committed                     // was committed
	Rejected                      // was not committed and can never be
	SegmentMissing                // may be in a segment that is currently not available here
	Compacted                     // based on a generation older than the log
)

// Segments provides the segments of older changes.
type Segments interface {
	// Segment returns the segment with this digest, nil if it is not available.
	Segment(digest []byte) *tierpb.ChangeSegment
}

// Classify returns what is known about the outcome of a change, according to a control state and the segments that it
// references.
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
	return compareWithCommitted(change, recent[index].Generation, recent[index].Digest)
}

// compareWithCommitted returns the outcome of a change, given the generation and digest of the change that was committed for
// its If-Match.
func compareWithCommitted(change Change, generation uint64, digest []byte) Outcome {
	if change.Generation == generation && bytes.Equal(change.Digest, digest) {
		return Committed
	}
	return Rejected
}

// Append adds a committed change to a control state. If there are then too many recent changes, the oldest of them become
// a segment.
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

// NextSegment returns the segment that the oldest of the recent changes will become, nil while they are too few. The segment
// is known long before the control state drops these changes, so all coordinators have it by then.
func NextSegment(state *tierpb.ControlState) *tierpb.ChangeSegment {
	if len(state.GetCommittedChanges()) < SegmentLength {
		return nil
	}
	return newSegment(state.CommittedChanges[:SegmentLength])
}
