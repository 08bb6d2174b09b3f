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

func (m memory) Run(digest []byte) *tierpb.ChangeSegment { return m[string(digest)] }

// taker takes orders and remembers all of them.
type taker struct {
	state *tierpb.ControlState
	runs  memory
	taken []Order
}

func newTaker() *taker {
	return &taker{state: &tierpb.ControlState{Configuration: &tierpb.Configuration{}}, runs: memory{}}
}

func (k *taker) take(sent Order) {
	Add(k.state, sent)
	k.state.Configuration.Generation = sent.Generation
	k.taken = append(k.taken, sent)
	if length := len(k.state.CommittedChanges); length == RunLength || length == NewestMost+1-RunLength {
		upcoming := Upcoming(k.state)
		k.runs[string(nameFor(upcoming))] = upcoming
	}
}

// takeMany takes orders whose generations go up in uneven steps.
func (k *taker) takeMany(count int, random *rand.Rand) {
	for range count {
		current := k.state.Configuration.Generation
		generation := current + 1 + random.Uint64N(5)
		k.take(New(current, generation, fmt.Append(nil, "body ", generation)))
	}
}

// TestEveryOrderIsJudgedAsByACompleteMemory holds the verdicts against a list of all that was taken: each order that was
// taken is known, and each other one is refused.
func TestEveryOrderIsJudgedAsByACompleteMemory(t *testing.T) {
	for _, count := range []int{1, RunLength, RunLength + 1, NewestMost, NewestMost + 1, NewestMost + RunLength + 1, 5000} {
		random := rand.New(rand.NewPCG(uint64(count), 1))
		k := newTaker()
		k.takeMany(count, random)
		byIfMatch := map[uint64]Order{}
		for _, order := range k.taken {
			byIfMatch[order.IfMatch] = order
			assert.Equal(t, Judge(k.state, k.runs, order), Taken, "%d of %d", order.IfMatch, count)
			other := New(order.IfMatch, order.Generation, []byte("other"))
			assert.Equal(t, Judge(k.state, k.runs, other), NotTaken, "another body under the same number")
			other = Order{IfMatch: order.IfMatch, Generation: order.Generation + 1, Digest: order.Digest}
			assert.Equal(t, Judge(k.state, k.runs, other), NotTaken, "the same body under another number")
		}
		current := k.state.Configuration.Generation
		for ifMatch := range current {
			if _, known := byIfMatch[ifMatch]; !known {
				stray := New(ifMatch, ifMatch+1, nil)
				assert.Equal(t, Judge(k.state, k.runs, stray), NotTaken, "on top of a version that never was")
			}
		}
		assert.Equal(t, Judge(k.state, k.runs, New(current, current+1, nil)), Next)
		assert.Equal(t, Judge(k.state, k.runs, New(current+1, current+2, nil)), NotTaken)
	}
}

// TestWithoutItsRunAnOrderGetsNoVerdict: neither a lost run nor the end of the memory ever makes a refusal.
func TestWithoutItsRunAnOrderGetsNoVerdict(t *testing.T) {
	k := newTaker()
	k.takeMany(3*RunLength+NewestMost, rand.New(rand.NewPCG(1, 1)))
	assert.Equal(t, len(k.state.OlderChanges), 3)
	delete(k.runs, string(k.state.OlderChanges[1].Digest))
	for place, order := range k.taken {
		wanted := Taken
		if place/RunLength == 1 {
			wanted = Missing
		}
		assert.Equal(t, Judge(k.state, k.runs, order), wanted, "%d", place)
	}
	k.state.OlderChanges = k.state.OlderChanges[2:]
	assert.Equal(t, Judge(k.state, k.runs, k.taken[0]), Forgotten)
	assert.Equal(t, Judge(k.state, k.runs, k.taken[2*RunLength]), Taken)
}

// TestMemoryOfOrdersIsBounded logs what the control state and a history hold, and bounds both.
func TestMemoryOfOrdersIsBounded(t *testing.T) {
	k := newTaker()
	random := rand.New(rand.NewPCG(1, 1))
	for _, count := range []int{90, 1024, 5000, 13000, RunsMost*RunLength + NewestMost + 1000} {
		k.takeMany(count-len(k.taken), random)
		history := &tierpb.ChangeSegments{}
		for _, name := range k.state.OlderChanges {
			history.Segments = append(history.Segments, k.runs.Run(name.Digest))
		}
		t.Logf("%d orders: %d bytes in the control state, %d bytes in a history", count, k.state.SizeVT(), history.SizeVT())
		assert.Assert(t, k.state.SizeVT() < 24<<10)
		assert.Assert(t, history.SizeVT() < 1300<<10)
	}
	assert.Equal(t, len(k.state.OlderChanges), RunsMost)
	assert.Equal(t, Judge(k.state, k.runs, k.taken[0]), Forgotten)
	oldest := len(k.taken) - len(k.state.CommittedChanges) - RunsMost*RunLength
	assert.Equal(t, Judge(k.state, k.runs, k.taken[oldest]), Taken)
}

// TestOrdersOfAnOlderLayoutStayKnown: a control state with more of the newest orders than are kept now.
func TestOrdersOfAnOlderLayoutStayKnown(t *testing.T) {
	k := newTaker()
	for generation := uint64(1); generation <= 1024; generation++ {
		sent := New(generation-1, generation, nil)
		k.state.CommittedChanges = append(k.state.CommittedChanges, &tierpb.CommittedChange{IfMatch: sent.IfMatch, Generation: sent.Generation, Digest: sent.Digest})
		k.taken = append(k.taken, sent)
	}
	k.state.Configuration.Generation = 1024
	assert.Equal(t, Judge(k.state, k.runs, k.taken[0]), Taken)
	for first := 0; first+RunLength <= len(k.taken); first += RunLength {
		run := runOf(k.state.CommittedChanges[first : first+RunLength])
		k.runs[string(nameFor(run))] = run
	}
	k.take(New(1024, 1025, nil))
	assert.Assert(t, len(k.state.CommittedChanges) <= NewestMost)
	for _, order := range k.taken {
		assert.Equal(t, Judge(k.state, k.runs, order), Taken)
	}
}

func TestHistoryIsKeptOnDiskAndFollowsTheControlState(t *testing.T) {
	folder := t.TempDir()
	history, err := OpenHistory(storage.OS{}, folder)
	assert.NilError(t, err)
	k := newTaker()
	random := rand.New(rand.NewPCG(1, 1))
	for range 12 {
		k.takeMany(RunLength/2, random)
		assert.NilError(t, history.Keep(k.state, nil))
		assert.Equal(t, len(history.Lacking(k.state)), 0)
	}
	history, err = OpenHistory(storage.OS{}, folder)
	assert.NilError(t, err)
	for _, order := range k.taken {
		assert.Equal(t, Judge(k.state, history, order), Taken)
	}
	names, err := storage.OS{}.List(folder)
	assert.NilError(t, err)
	assert.Equal(t, len(names), 1)
	empty, err := OpenHistory(storage.OS{}, t.TempDir())
	assert.NilError(t, err)
	assert.Equal(t, len(empty.Lacking(k.state)), len(k.state.OlderChanges))
	var found []*tierpb.ChangeSegment
	for _, digest := range empty.Lacking(k.state) {
		found = append(found, history.Run(digest))
	}
	found[0].Digests[0] ^= 1 // spoiled on the way
	assert.NilError(t, empty.Keep(k.state, found))
	assert.Equal(t, len(empty.Lacking(k.state)), 1)
	assert.Equal(t, Judge(k.state, empty, k.taken[0]), Missing)
	assert.Equal(t, Judge(k.state, empty, k.taken[RunLength]), Taken)
}
