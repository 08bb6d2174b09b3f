package changelog

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// memory holds runs as a History does, without a disk.
type memory map[string]*tierpb.ChangeSegment

func (m memory) Segment(digest []byte) *tierpb.ChangeSegment { return m[string(digest)] }

// taker takes orders and remembers all of them.
type taker struct {
	state *tierpb.ControlState
	runs  memory
	taken []Change
}

func newTaker() *taker {
	return &taker{state: &tierpb.ControlState{Configuration: &tierpb.Configuration{}}, runs: memory{}}
}

func (k *taker) take(sent Change) {
	Append(k.state, sent)
	k.state.Configuration.Generation = sent.Generation
	k.taken = append(k.taken, sent)
	if length := len(k.state.CommittedChanges); length == SegmentLength || length == MaxRecentChanges+1-SegmentLength {
		upcoming := NextSegment(k.state)
		k.runs[string(nameFor(upcoming))] = upcoming
	}
}

// takeMany takes orders whose generations go up in uneven steps.
func (k *taker) takeMany(count int, random *rand.Rand) {
	for range count {
		current := k.state.Configuration.Generation
		generation := current + 1 + random.Uint64N(5)
		k.take(NewChange(current, generation, fmt.Append(nil, "body ", generation)))
	}
}

// TestEveryOrderIsJudgedAsByACompleteMemory holds the verdicts against a list of all that was taken: each order that was
// taken is known, and each other one is refused.
func TestEveryOrderIsJudgedAsByACompleteMemory(t *testing.T) {
	for _, count := range []int{1, SegmentLength, SegmentLength + 1, MaxRecentChanges, MaxRecentChanges + 1, MaxRecentChanges + SegmentLength + 1, 5000} {
		random := rand.New(rand.NewPCG(uint64(count), 1))
		k := newTaker()
		k.takeMany(count, random)
		byIfMatch := map[uint64]Change{}
		for _, order := range k.taken {
			byIfMatch[order.IfMatch] = order
			assert.Equal(t, Classify(k.state, k.runs, order), Committed, "%d of %d", order.IfMatch, count)
			other := NewChange(order.IfMatch, order.Generation, []byte("other"))
			assert.Equal(t, Classify(k.state, k.runs, other), Rejected, "another body under the same number")
			other = Change{IfMatch: order.IfMatch, Generation: order.Generation + 1, Digest: order.Digest}
			assert.Equal(t, Classify(k.state, k.runs, other), Rejected, "the same body under another number")
		}
		current := k.state.Configuration.Generation
		for ifMatch := range current {
			if _, known := byIfMatch[ifMatch]; !known {
				stray := NewChange(ifMatch, ifMatch+1, nil)
				assert.Equal(t, Classify(k.state, k.runs, stray), Rejected, "on top of a version that never was")
			}
		}
		assert.Equal(t, Classify(k.state, k.runs, NewChange(current, current+1, nil)), Applicable)
		assert.Equal(t, Classify(k.state, k.runs, NewChange(current+1, current+2, nil)), Rejected)
	}
}

// TestWithoutItsRunAnOrderGetsNoVerdict: neither a lost run nor the end of the memory ever makes a refusal.
func TestWithoutItsRunAnOrderGetsNoVerdict(t *testing.T) {
	k := newTaker()
	k.takeMany(3*SegmentLength+MaxRecentChanges, rand.New(rand.NewPCG(1, 1)))
	assert.Equal(t, len(k.state.OlderChanges), 3)
	delete(k.runs, string(k.state.OlderChanges[1].Digest))
	for place, order := range k.taken {
		wanted := Committed
		if place/SegmentLength == 1 {
			wanted = SegmentMissing
		}
		assert.Equal(t, Classify(k.state, k.runs, order), wanted, "%d", place)
	}
	k.state.OlderChanges = k.state.OlderChanges[2:]
	assert.Equal(t, Classify(k.state, k.runs, k.taken[0]), Compacted)
	assert.Equal(t, Classify(k.state, k.runs, k.taken[2*SegmentLength]), Committed)
}

// TestMemoryOfOrdersIsBounded logs what the control state and a history hold, and bounds both.
func TestMemoryOfOrdersIsBounded(t *testing.T) {
	k := newTaker()
	random := rand.New(rand.NewPCG(1, 1))
	for _, count := range []int{90, 1024, 5000, 13000, MaxSegments*SegmentLength + MaxRecentChanges + 1000} {
		k.takeMany(count-len(k.taken), random)
		history := &tierpb.ChangeSegments{}
		for _, name := range k.state.OlderChanges {
			history.Segments = append(history.Segments, k.runs.Segment(name.Digest))
		}
		t.Logf("%d orders: %d bytes in the control state, %d bytes in a history", count, k.state.SizeVT(), history.SizeVT())
		assert.Assert(t, k.state.SizeVT() < 24<<10)
		assert.Assert(t, history.SizeVT() < 1300<<10)
	}
	assert.Equal(t, len(k.state.OlderChanges), MaxSegments)
	assert.Equal(t, Classify(k.state, k.runs, k.taken[0]), Compacted)
	oldest := len(k.taken) - len(k.state.CommittedChanges) - MaxSegments*SegmentLength
	assert.Equal(t, Classify(k.state, k.runs, k.taken[oldest]), Committed)
}

// TestOrdersOfAnOlderLayoutStayKnown: a control state with more of the newest orders than are kept now.
func TestOrdersOfAnOlderLayoutStayKnown(t *testing.T) {
	k := newTaker()
	for generation := uint64(1); generation <= 1024; generation++ {
		sent := NewChange(generation-1, generation, nil)
		k.state.CommittedChanges = append(k.state.CommittedChanges, &tierpb.CommittedChange{IfMatch: sent.IfMatch, Generation: sent.Generation, Digest: sent.Digest})
		k.taken = append(k.taken, sent)
	}
	k.state.Configuration.Generation = 1024
	assert.Equal(t, Classify(k.state, k.runs, k.taken[0]), Committed)
	for first := 0; first+SegmentLength <= len(k.taken); first += SegmentLength {
		run := runOf(k.state.CommittedChanges[first : first+SegmentLength])
		k.runs[string(nameFor(run))] = run
	}
	k.take(NewChange(1024, 1025, nil))
	assert.Assert(t, len(k.state.CommittedChanges) <= MaxRecentChanges)
	for _, order := range k.taken {
		assert.Equal(t, Classify(k.state, k.runs, order), Committed)
	}
}

func TestHistoryIsKeptOnDiskAndFollowsTheControlState(t *testing.T) {
	folder := t.TempDir()
	history, err := OpenSegmentStore(storage.OS{}, folder)
	assert.NilError(t, err)
	k := newTaker()
	random := rand.New(rand.NewPCG(1, 1))
	for range 12 {
		k.takeMany(SegmentLength/2, random)
		assert.NilError(t, history.Reconcile(k.state, nil))
		assert.Equal(t, len(history.Missing(k.state)), 0)
	}
	history, err = OpenSegmentStore(storage.OS{}, folder)
	assert.NilError(t, err)
	for _, order := range k.taken {
		assert.Equal(t, Classify(k.state, history, order), Committed)
	}
	names, err := storage.OS{}.List(folder)
	assert.NilError(t, err)
	assert.Equal(t, len(names), 1)
	empty, err := OpenSegmentStore(storage.OS{}, t.TempDir())
	assert.NilError(t, err)
	assert.Equal(t, len(empty.Missing(k.state)), len(k.state.OlderChanges))
	var found []*tierpb.ChangeSegment
	for _, digest := range empty.Missing(k.state) {
		found = append(found, history.Segment(digest))
	}
	found[0].Digests[0] ^= 1 // spoiled on the way
	assert.NilError(t, empty.Reconcile(k.state, found))
	assert.Equal(t, len(empty.Missing(k.state)), 1)
	assert.Equal(t, Classify(k.state, empty, k.taken[0]), SegmentMissing)
	assert.Equal(t, Classify(k.state, empty, k.taken[SegmentLength]), Committed)
}
