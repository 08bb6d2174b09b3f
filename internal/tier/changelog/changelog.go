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
	NewestMost  = 512 // orders that the control state holds itself
	RunLength   = 256 // orders of a run
	RunsMost    = 256 // runs that are named; orders before those are forgotten
	DigestBytes = 16
)

// Order is a configuration change that was sent.
type Order struct {
	IfMatch    uint64
	Generation uint64
	Digest     []byte // of the body, DigestBytes long
}

// New makes the order of a body.
func New(ifMatch, generation uint64, body []byte) Order {
	return Order{IfMatch: ifMatch, Generation: generation, Digest: digestOf(body)}
}

func digestOf(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:DigestBytes]
}

// Verdict says what is known of an order.
type Verdict uint8

// The verdicts. Only the first three are certain.
const (
	Next      Verdict = iota // it builds on the current generation
	Taken                    // it was taken
	NotTaken                 // it was not taken and cannot be
	Missing                  // the run that tells is not here at present
	Forgotten                // it builds on a generation from before all that is remembered
)

// Runs finds a run by its digest, nil where it is not at hand.
type Runs interface {
	Run(digest []byte) *tierpb.ChangeSegment
}

// Judge says what a control state and the runs that it names tell of an order.
func Judge(state *tierpb.ControlState, runs Runs, sent Order) Verdict {
	generation := state.GetConfiguration().GetGeneration()
	switch {
	case sent.IfMatch == generation:
		return Next
	case sent.IfMatch > generation:
		return NotTaken
	}
	if newest := state.GetCommittedChanges(); len(newest) > 0 && sent.IfMatch >= newest[0].IfMatch {
		return judgeNewest(newest, sent)
	}
	name := nameOf(state.GetOlderChanges(), sent.IfMatch)
	if name == nil {
		return Forgotten
	}
	run := runs.Run(name.Digest)
	if run == nil {
		return Missing
	}
	return judgeRun(run, sent)
}

func judgeNewest(newest []*tierpb.CommittedChange, sent Order) Verdict {
	place := sort.Search(len(newest), func(i int) bool { return newest[i].IfMatch >= sent.IfMatch })
	if place == len(newest) || newest[place].IfMatch != sent.IfMatch {
		return NotTaken
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

func judgeRun(run *tierpb.ChangeSegment, sent Order) Verdict {
	ifMatch := run.First
	for place, step := range run.Steps {
		if ifMatch == sent.IfMatch {
			return compare(sent, ifMatch+step, run.Digests[place*DigestBytes:(place+1)*DigestBytes])
		}
		ifMatch += step
	}
	return NotTaken
}

func compare(sent Order, generation uint64, digest []byte) Verdict {
	if sent.Generation == generation && bytes.Equal(sent.Digest, digest) {
		return Taken
	}
	return NotTaken
}

// Add notes an order that a control state takes. The oldest of the newest orders become a run where they are many.
func Add(state *tierpb.ControlState, taken Order) {
	state.CommittedChanges = append(state.CommittedChanges, &tierpb.CommittedChange{
		IfMatch: taken.IfMatch, Generation: taken.Generation, Digest: taken.Digest,
	})
	for len(state.CommittedChanges) > NewestMost {
		run := runOf(state.CommittedChanges[:RunLength])
		state.OlderChanges = append(state.OlderChanges, &tierpb.ChangeSegmentRef{First: run.First, Digest: nameFor(run)})
		state.CommittedChanges = slices.Clone(state.CommittedChanges[RunLength:])
	}
	if excess := len(state.OlderChanges) - RunsMost; excess > 0 {
		state.OlderChanges = slices.Clone(state.OlderChanges[excess:])
	}
}

// Upcoming is the run that the oldest of the newest orders will make, nil while they are too few. It is known long
// before the control state drops them, so that all coordinators have it by then.
func Upcoming(state *tierpb.ControlState) *tierpb.ChangeSegment {
	if len(state.GetCommittedChanges()) < RunLength {
		return nil
	}
	return runOf(state.CommittedChanges[:RunLength])
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
	return len(run.GetDigests()) == len(run.GetSteps())*DigestBytes
}
