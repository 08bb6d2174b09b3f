package watch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// configurationBody returns a configuration body of realistic structure with a number of routes.
func configurationBody(generation, routes int) []byte {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"generation":%d,"routes":[`, generation)
	for i := range routes {
		fmt.Fprintf(&body, `{"name":"r-%d","hostname":"host%d.example","pathPrefix":"/p%d/","kind":"streaming","timeoutMs":%d,`+
			`"targetLatencyMs":250,"priority":0,"backend":"service-%d","maxAttempts":2,"retained":true},`, i, i%7, i*i, 5000, i%3)
	}
	body.WriteString(`{}],"services":[]}`)
	return body.Bytes()
}

func TestDeltaReconstructsBody(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for round := range 300 {
		older := configurationBody(round, random.IntN(60))
		newer := bytes.Clone(older)
		for range random.IntN(6) {
			at := random.IntN(len(newer))
			until := min(len(newer), at+random.IntN(200))
			added := []byte(fmt.Sprint("changed", random.IntN(1000)))
			newer = append(append(bytes.Clone(newer[:at]), added...), newer[until:]...)
		}
		if round%10 == 0 {
			newer = nil
		}
		if round%10 == 1 {
			older = nil
		}
		rebuilt, err := applyDelta(makeDelta(1, older, newer), older)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(rebuilt, newer))
	}
}

func TestDeltaOfAFewRoutesIsSmall(t *testing.T) {
	older, newer := configurationBody(7, 350), configurationBody(8, 350)
	newer = bytes.Replace(newer, []byte(`"timeoutMs":5000`), []byte(`"timeoutMs":900`), 1)
	newer = bytes.Replace(newer, []byte(`"r-200"`), []byte(`"r-new"`), 1)
	delta := makeDelta(1, older, newer)
	assert.Assert(t, delta.SizeVT() < 200, "%d of %d bytes", delta.SizeVT(), len(newer))
}

func TestMismatchedDeltaIsRejected(t *testing.T) {
	older, newer := configurationBody(7, 50), configurationBody(8, 51)
	delta := makeDelta(1, older, newer)
	_, err := applyDelta(delta, older[:100])
	assert.ErrorIs(t, err, errDeltaMismatch)
	other := bytes.Replace(older, []byte("host3"), []byte("hostX"), 1)
	_, err = applyDelta(delta, other)
	assert.ErrorIs(t, err, errDeltaMismatch)
}

func newControlState(version uint64, body []byte) *tierpb.ControlState {
	return &tierpb.ControlState{
		Version: version, Configuration: &tierpb.Configuration{Generation: version, Body: body},
		Stores: &tierpb.StoreMembership{Epoch: version},
	}
}

func TestWatchersOfKnownVersionsGetDelta(t *testing.T) {
	s, clock := newTestState()
	for version := range uint64(maxDeltaBases + 3) {
		clock.advance(time.Second)
		s.SetControl(newControlState(version+1, configurationBody(int(version+1), 40)))
	}
	newest := s.Control()
	for version := uint64(0); version < newest.Version; version++ {
		watcher, _ := newTestState()
		if version > 0 {
			watcher.SetControl(newControlState(version, configurationBody(int(version), 40)))
		}
		reply := pollState(t, s, &tierpb.WatchRequest{ControlVersion: version})
		assert.Equal(t, reply.Body != nil, version >= newest.Version-maxDeltaBases)
		watcher.Merge(reply)
		assert.Assert(t, watcher.Control().EqualVT(newest), "delta from version %d", version)
	}
	assert.Assert(t, pollState(t, s, &tierpb.WatchRequest{ControlVersion: 5, FullBody: true}).Body == nil)
}

func TestDeltaForAnotherBaseIsNotMerged(t *testing.T) {
	s, clock := newTestState()
	s.SetControl(newControlState(1, configurationBody(1, 40)))
	clock.advance(time.Second)
	s.SetControl(newControlState(2, configurationBody(2, 40)))
	reply := pollState(t, s, &tierpb.WatchRequest{ControlVersion: 1})
	assert.Assert(t, reply.Body != nil)
	watcher, _ := newTestState()
	assert.Assert(t, !watcher.Merge(reply))
	assert.Assert(t, watcher.Control() == nil)
}

// TestFullBodyIsRequestedAfterMismatch: the watcher's body differs from the source's body of the same version, so the delta
// does not apply.
func TestFullBodyIsRequestedAfterMismatch(t *testing.T) {
	n := newNetwork("a")
	runWatcher(t, n, 1, fixedEndpoints("a"), func(_ *Watcher, state *State) {
		state.SetControl(newControlState(1, configurationBody(99, 41)))
		n.sources["a"].SetControl(newControlState(1, configurationBody(1, 40)))
		time.Sleep(time.Second)
		n.sources["a"].SetControl(newControlState(2, configurationBody(2, 40)))
		time.Sleep(time.Second)
		assert.Assert(t, state.Control().EqualVT(n.sources["a"].Control()))
	})
}

func BenchmarkDelta(b *testing.B) {
	older, newer := configurationBody(7, 350), configurationBody(8, 350)
	for b.Loop() {
		makeDelta(1, older, newer)
	}
}

// TestDeltaOmitsOnlyTheBody sets every field of the control state and fails for fields without a test value, so that a field
// which is added later is not omitted from replies with a delta.
func TestDeltaOmitsOnlyTheBody(t *testing.T) {
	control := &tierpb.ControlState{
		Voters:           []*tierpb.VoterSet{{Nodes: []*tierpb.Node{{Identity: 1}}}},
		Stores:           &tierpb.StoreMembership{Epoch: 4},
		Configuration:    &tierpb.Configuration{Generation: 5, Body: []byte("body")},
		CommittedChanges: []*tierpb.CommittedChange{{Generation: 5}},
		Retirements:      []*tierpb.Retirement{{Node: "a"}},
		OlderChanges:     []*tierpb.ChangeSegmentRef{{First: 1}},
	}
	fields := control.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.Kind() == protoreflect.Uint64Kind && !field.IsList() {
			control.ProtoReflect().Set(field, protoreflect.ValueOfUint64(uint64(100+i)))
		}
		assert.Assert(t, control.ProtoReflect().Has(field), "no test value for field %s", field.Name())
	}
	stripped := withoutBody(control)
	assert.Assert(t, stripped.Configuration.Body == nil)
	stripped.Configuration.Body = control.Configuration.Body
	assert.Assert(t, stripped.EqualVT(control), "got %v, want %v", stripped, control)
}

// TestBodyHistoryIsBounded checks that small bodies are limited by number and large ones by size, and that the newest body
// is always kept.
func TestBodyHistoryIsBounded(t *testing.T) {
	for _, size := range []int{100, 100 << 10, 1 << 20, 5 << 20} {
		history := bodyHistory{}
		for version := range uint64(500) {
			history.add(version, make([]byte, size))
		}
		assert.Assert(t, len(history.entries) <= maxDeltaBases+1)
		assert.Assert(t, len(history.entries) == 1 || len(history.entries)*size <= maxHistoryBytes)
		assert.Equal(t, history.entries[len(history.entries)-1].version, uint64(499))
	}
}
