// Package changelog remembers which configuration changes were taken, so that one that is sent again is known. Orders are
// taken one on top of the other: each one's If-Match is the generation of the one before. So at most one order was ever
// taken on top of a generation, and an order is known never to have been taken where another one was taken on top of its
// If-Match, or none at all.
//
// The control state holds the newest orders and the names of runs of older ones. A run never changes and is named by its
// digest; coordinators keep the runs beside the register and get them from each other.
package changelog

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"sort"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Bounds of what is remembered.
const (
	MaxRecentChanges = 512 // orders that the control state holds itself
	SegmentLength    = 256 // orders of a run
	MaxSegments      = 256 // runs that are named; orders before those are forgotten
	DigestSize       = 16
)

// Change is a configuration change that was sent.
type Change struct {
	IfMatch    uint64
	Generation uint64
	Digest     []byte // of the body, DigestBytes long
}

// NewChange makes the order of a body.
func NewChange(ifMatch, generation uint64, body []byte) Change {
	return Change{IfMatch: ifMatch, Generation: generation, Digest: digestOf(body)}
}

func digestOf(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:DigestSize]
}

// Outcome says what is known of an order.
type Outcome uint8

// The verdicts. Only the first three are certain.
const (
	Applicable     Outcome = iota // it builds on the current generation
	Committed                     // it was taken
	Rejected                      // it was not taken and cannot be
	SegmentMissing                // the run that tells is not here at present
	Compacted                     // it builds on a generation from before all that is remembered
)

// Segments finds a run by its digest, nil where it is not at hand.
type Segments interface {
	Segment(digest []byte) *tierpb.ChangeSegment
}

// Classify says what a control state and the runs that it names tell of an order.
func Classify(state *tierpb.ControlState, runs Segments, sent Change) Outcome {
	generation := state.GetConfiguration().GetGeneration()
	switch {
	case sent.IfMatch == generation:
		return Applicable
	case sent.IfMatch > generation:
		return Rejected
	}
	if newest := state.GetCommittedChanges(); len(newest) > 0 && sent.IfMatch >= newest[0].IfMatch {
		return judgeNewest(newest, sent)
	}
	name := nameOf(state.GetOlderChanges(), sent.IfMatch)
	if name == nil {
		return Compacted
	}
	run := runs.Segment(name.Digest)
	if run == nil {
		return SegmentMissing
	}
	return judgeRun(run, sent)
}

func judgeNewest(newest []*tierpb.CommittedChange, sent Change) Outcome {
	place := sort.Search(len(newest), func(i int) bool { return newest[i].IfMatch >= sent.IfMatch })
	if place == len(newest) || newest[place].IfMatch != sent.IfMatch {
		return Rejected
	}
	return compare(sent, newest[place].Generation, newest[place].Digest)
}

// nameOf finds the run that an order with this If-Match would be in, nil where it is older than all.
func nameOf(names []*tierpb.ChangeSegmentRef, ifMatch uint64) *tierpb.ChangeSegmentRef {
	after := sort.Search(len(names), func(i int) bool { return names[i].First > ifMatch })
	if after == 0 {
		return nil
	}
	return names[after-1]
}

func judgeRun(run *tierpb.ChangeSegment, sent Change) Outcome {
	ifMatch := run.First
	for place, step := range run.Steps {
		if ifMatch == sent.IfMatch {
			return compare(sent, ifMatch+step, run.Digests[place*DigestSize:(place+1)*DigestSize])
		}
		ifMatch += step
	}
	return Rejected
}

func compare(sent Change, generation uint64, digest []byte) Outcome {
	if sent.Generation == generation && bytes.Equal(sent.Digest, digest) {
		return Committed
	}
	return Rejected
}

// Append notes an order that a control state takes. The oldest of the newest orders become a run where they are many.
func Append(state *tierpb.ControlState, taken Change) {
	state.CommittedChanges = append(state.CommittedChanges, &tierpb.CommittedChange{
		IfMatch: taken.IfMatch, Generation: taken.Generation, Digest: taken.Digest,
	})
	for len(state.CommittedChanges) > MaxRecentChanges {
		run := runOf(state.CommittedChanges[:SegmentLength])
		state.OlderChanges = append(state.OlderChanges, &tierpb.ChangeSegmentRef{First: run.First, Digest: nameFor(run)})
		state.CommittedChanges = slices.Clone(state.CommittedChanges[SegmentLength:])
	}
	if excess := len(state.OlderChanges) - MaxSegments; excess > 0 {
		state.OlderChanges = slices.Clone(state.OlderChanges[excess:])
	}
}

// NextSegment is the run that the oldest of the newest orders will make, nil while they are too few. It is known long
// before the control state drops them, so that all coordinators have it by then.
func NextSegment(state *tierpb.ControlState) *tierpb.ChangeSegment {
	if len(state.GetCommittedChanges()) < SegmentLength {
		return nil
	}
	return runOf(state.CommittedChanges[:SegmentLength])
}

func runOf(taken []*tierpb.CommittedChange) *tierpb.ChangeSegment {
	run := &tierpb.ChangeSegment{First: taken[0].IfMatch}
	for _, order := range taken {
		run.Steps = append(run.Steps, order.Generation-order.IfMatch)
		run.Digests = append(run.Digests, order.Digest...)
	}
	return run
}

// nameFor is the digest by which a run is named.
func nameFor(run *tierpb.ChangeSegment) []byte {
	encoded := make([]byte, run.SizeVT())
	if _, err := run.MarshalToSizedBufferVT(encoded); err != nil {
		return nil
	}
	return digestOf(encoded)
}

// isWhole says that each order of a run has its digest.
func isWhole(run *tierpb.ChangeSegment) bool {
	return len(run.GetDigests()) == len(run.GetSteps())*DigestSize
}
