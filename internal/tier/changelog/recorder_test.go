package changelog

import (
	"fmt"
	"math/rand/v2"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// memorySegments holds segments by digest, like a SegmentStore, but without a disk.
type memorySegments map[string]*tierpb.ChangeSegment

func (m memorySegments) Segment(digest []byte) *tierpb.ChangeSegment { return m[string(digest)] }

// recorder commits changes to a control state and keeps a list of all of them.
type recorder struct {
	state     *tierpb.ControlState
	segments  memorySegments
	committed []Change
}

func newRecorder() *recorder {
	return &recorder{state: &tierpb.ControlState{Configuration: &tierpb.Configuration{}}, segments: memorySegments{}}
}

func (r *recorder) commit(sent Change) {
	Append(r.state, sent)
	r.state.Configuration.Generation = sent.Generation
	r.committed = append(r.committed, sent)
	if length := len(r.state.CommittedChanges); length == SegmentLength || length == MaxRecentChanges+1-SegmentLength {
		next := NextSegment(r.state)
		r.segments[string(segmentDigest(next))] = next
	}
}

// commitMany commits changes whose generations increase in uneven steps.
func (r *recorder) commitMany(count int, random *rand.Rand) {
	for range count {
		current := r.state.Configuration.Generation
		generation := current + 1 + random.Uint64N(5)
		r.commit(NewChange(current, generation, fmt.Append(nil, "body ", generation)))
	}
}
