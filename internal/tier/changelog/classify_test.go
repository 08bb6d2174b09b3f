package changelog

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// TestClassifyAgreesWithACompleteLog compares the outcomes with a list of all committed changes: each of these must be
// recognized, and any other change must be rejected.
func TestClassifyAgreesWithACompleteLog(t *testing.T) {
	for _, count := range []int{1, SegmentLength, SegmentLength + 1, MaxRecentChanges, MaxRecentChanges + 1, MaxRecentChanges + SegmentLength + 1, 5000} {
		random := rand.New(rand.NewPCG(uint64(count), 1))
		r := newRecorder()
		r.commitMany(count, random)
		byIfMatch := map[uint64]Change{}
		for _, change := range r.committed {
			byIfMatch[change.IfMatch] = change
			assert.Equal(t, Classify(r.state, r.segments, change), Committed, "%d of %d", change.IfMatch, count)
			other := NewChange(change.IfMatch, change.Generation, []byte("other"))
			assert.Equal(t, Classify(r.state, r.segments, other), Rejected, "another body with the same generation")
			other = Change{IfMatch: change.IfMatch, Generation: change.Generation + 1, Digest: change.Digest}
			assert.Equal(t, Classify(r.state, r.segments, other), Rejected, "the same body with another generation")
		}
		current := r.state.Configuration.Generation
		for ifMatch := range current {
			if _, known := byIfMatch[ifMatch]; !known {
				unknown := NewChange(ifMatch, ifMatch+1, nil)
				assert.Equal(t, Classify(r.state, r.segments, unknown), Rejected, "based on a generation that never existed")
			}
		}
		assert.Equal(t, Classify(r.state, r.segments, NewChange(current, current+1, nil)), Applicable)
		assert.Equal(t, Classify(r.state, r.segments, NewChange(current+1, current+2, nil)), Rejected)
	}
}

// TestMissingSegmentLeavesTheOutcomeUnknown: if the segment of a change is missing or compacted, the change must not be
// rejected, because it may have been committed.
func TestMissingSegmentLeavesTheOutcomeUnknown(t *testing.T) {
	r := newRecorder()
	r.commitMany(3*SegmentLength+MaxRecentChanges, rand.New(rand.NewPCG(1, 1)))
	assert.Equal(t, len(r.state.OlderChanges), 3)
	delete(r.segments, string(r.state.OlderChanges[1].Digest))
	for index, change := range r.committed {
		expected := Committed
		if index/SegmentLength == 1 {
			expected = SegmentMissing
		}
		assert.Equal(t, Classify(r.state, r.segments, change), expected, "%d", index)
	}
	r.state.OlderChanges = r.state.OlderChanges[2:]
	assert.Equal(t, Classify(r.state, r.segments, r.committed[0]), Compacted)
	assert.Equal(t, Classify(r.state, r.segments, r.committed[2*SegmentLength]), Committed)
}

// TestLogSizeIsBounded logs and bounds the size of the control state and of the segments.
func TestLogSizeIsBounded(t *testing.T) {
	r := newRecorder()
	random := rand.New(rand.NewPCG(1, 1))
	for _, count := range []int{90, 1024, 5000, 13000, MaxSegments*SegmentLength + MaxRecentChanges + 1000} {
		r.commitMany(count-len(r.committed), random)
		segments := &tierpb.ChangeSegments{}
		for _, ref := range r.state.OlderChanges {
			segments.Segments = append(segments.Segments, r.segments.Segment(ref.Digest))
		}
		t.Logf("%d changes: %d bytes in the control state, %d bytes in segments", count, r.state.SizeVT(), segments.SizeVT())
		assert.Assert(t, r.state.SizeVT() < 24<<10)
		assert.Assert(t, segments.SizeVT() < 1300<<10)
	}
	assert.Equal(t, len(r.state.OlderChanges), MaxSegments)
	assert.Equal(t, Classify(r.state, r.segments, r.committed[0]), Compacted)
	oldest := len(r.committed) - len(r.state.CommittedChanges) - MaxSegments*SegmentLength
	assert.Equal(t, Classify(r.state, r.segments, r.committed[oldest]), Committed)
}

// TestChangesOfAnOlderLayoutAreRecognized: a control state that an older build wrote may contain more recent changes than
// MaxRecentChanges. These must still be recognized, also after they were moved to segments.
func TestChangesOfAnOlderLayoutAreRecognized(t *testing.T) {
	r := newRecorder()
	for generation := uint64(1); generation <= 1024; generation++ {
		sent := NewChange(generation-1, generation, nil)
		r.state.CommittedChanges = append(r.state.CommittedChanges, &tierpb.CommittedChange{IfMatch: sent.IfMatch, Generation: sent.Generation, Digest: sent.Digest})
		r.committed = append(r.committed, sent)
	}
	r.state.Configuration.Generation = 1024
	assert.Equal(t, Classify(r.state, r.segments, r.committed[0]), Committed)
	for first := 0; first+SegmentLength <= len(r.committed); first += SegmentLength {
		segment := newSegment(r.state.CommittedChanges[first : first+SegmentLength])
		r.segments[string(segmentDigest(segment))] = segment
	}
	r.commit(NewChange(1024, 1025, nil))
	assert.Assert(t, len(r.state.CommittedChanges) <= MaxRecentChanges)
	for _, change := range r.committed {
		assert.Equal(t, Classify(r.state, r.segments, change), Committed)
	}
}
