package watch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// described is an instance as stores describe themselves.
func described(i int, sequence uint64, state tierpb.InstanceState) *tierpb.Instance {
	return &tierpb.Instance{
		Id: fmt.Sprintf("i-%010x", i), Backend: "backend-a", Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
		Zone: "cheonan-yard", Generation: "v1", Slots: 32, State: state, Sequence: sequence, Models: []string{"m"},
	}
}

func TestIdleRepliesAndMarksAreSmall(t *testing.T) {
	s, clock := testState()
	for i := range 3000 {
		s.Upsert(described(i, 1, ready))
	}
	place := &tierpb.WatchRequest{}
	for more := true; more; {
		reply := ask(t, s, place)
		place.Incarnation, place.Cursor, more = reply.Incarnation, reply.Cursor, reply.More
	}
	assert.Assert(t, ask(t, s, place).SizeVT() <= 24)
	clock.advance(time.Second)
	s.Upsert(described(7, 2, draining))
	assert.Assert(t, ask(t, s, place).SizeVT() <= 48)
}

func TestSecondSourceTellsTheListInBrief(t *testing.T) {
	const instances = 2000
	n := newNetwork("a", "b", "c")
	following(t, n, 2, fixed("a", "b", "c"), func(_ *Watcher, state *State) {
		n.mu.Lock()
		n.bytes = 0
		n.mu.Unlock()
		whole := 0
		for i := range instances {
			one := described(i, 1, ready)
			whole += one.SizeVT()
			for _, source := range n.sources {
				source.Upsert(one)
			}
			if i%20 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(state.Instances()), instances)
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Assert(t, n.bytes < whole*7/4, "%d bytes for a list of %d", n.bytes, whole)
	})
}

func TestLargeControlStateComesOnce(t *testing.T) {
	n := newNetwork("a", "b", "c")
	following(t, n, 2, fixed("a", "b", "c"), func(_ *Watcher, state *State) {
		body := make([]byte, 100_000)
		n.mu.Lock()
		n.bytes = 0
		n.mu.Unlock()
		for version := range uint64(10) {
			for _, source := range n.sources {
				source.SetControl(&tierpb.ControlState{Version: version + 1, Configuration: &tierpb.Configuration{Body: body}})
			}
			time.Sleep(time.Second)
			assert.Equal(t, state.Control().Version, version+1)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Assert(t, n.bytes < 11*len(body), "%d bytes", n.bytes)
	})
}

// BenchmarkChange is what one change costs a source with so many followers, until the replies are encoded.
func BenchmarkChange(b *testing.B) {
	for _, followers := range []int{100, 330} {
		b.Run(fmt.Sprint(followers), func(b *testing.B) {
			s, clock := testState()
			for i := range 3000 {
				s.Upsert(described(i, 1, ready))
			}
			place := s.Revision()
			sequence, sent := uint64(1), 0
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				clock.advance(time.Second)
				s.Upsert(described(7, sequence, tierpb.InstanceState(sequence%2)))
				for range followers {
					reply, _, _ := s.poll(&tierpb.WatchRequest{Incarnation: s.feed, Cursor: place})
					encoded, _ := reply.MarshalVT()
					sent += len(encoded)
				}
				place = s.Revision()
			}
			b.ReportMetric(float64(sent)/float64(b.N), "bytes/op")
		})
	}
}
