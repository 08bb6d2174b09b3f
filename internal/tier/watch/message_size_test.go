package watch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestIdleRepliesAndStatusesAreSmall(t *testing.T) {
	s, clock := newTestState()
	for i := range 3000 {
		s.Upsert(describedInstance(i, 1, ready))
	}
	position := &tierpb.WatchRequest{}
	for more := true; more; {
		reply := pollState(t, s, position)
		position.Incarnation, position.Cursor, more = reply.Incarnation, reply.Cursor, reply.More
	}
	assert.Assert(t, pollState(t, s, position).SizeVT() <= 24)
	clock.advance(time.Second)
	s.Upsert(describedInstance(7, 2, draining))
	assert.Assert(t, pollState(t, s, position).SizeVT() <= 48)
}

func TestSecondSourceSendsDigestsOnly(t *testing.T) {
	const instances = 2000
	n := newNetwork("a", "b", "c")
	runWatcher(t, n, 2, fixedEndpoints("a", "b", "c"), func(_ *Watcher, state *State) {
		n.mu.Lock()
		n.replyBytes = 0
		n.mu.Unlock()
		fullSize := 0
		for i := range instances {
			added := describedInstance(i, 1, ready)
			fullSize += added.SizeVT()
			for _, source := range n.sources {
				source.Upsert(added)
			}
			if i%20 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(state.Instances()), instances)
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Assert(t, n.replyBytes < fullSize*7/4, "replies take %d bytes for a list of %d bytes", n.replyBytes, fullSize)
	})
}

func TestLargeControlStateIsSentOnce(t *testing.T) {
	n := newNetwork("a", "b", "c")
	runWatcher(t, n, 2, fixedEndpoints("a", "b", "c"), func(_ *Watcher, state *State) {
		body := make([]byte, 100_000)
		n.mu.Lock()
		n.replyBytes = 0
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
		assert.Assert(t, n.replyBytes < 11*len(body), "replies take %d bytes", n.replyBytes)
	})
}

// BenchmarkChange measures the cost of one change for a source with a number of watchers, including the encoding of the
// replies.
func BenchmarkChange(b *testing.B) {
	for _, watchers := range []int{100, 330} {
		b.Run(fmt.Sprint(watchers), func(b *testing.B) {
			s, clock := newTestState()
			for i := range 3000 {
				s.Upsert(describedInstance(i, 1, ready))
			}
			revision := s.Revision()
			sequence, sent := uint64(1), 0
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				clock.advance(time.Second)
				s.Upsert(describedInstance(7, sequence, tierpb.InstanceState(sequence%2)))
				for range watchers {
					reply, _, _ := s.tryReply(&tierpb.WatchRequest{Incarnation: s.incarnation, Cursor: revision})
					encoded, _ := reply.MarshalVT()
					sent += len(encoded)
				}
				revision = s.Revision()
			}
			b.ReportMetric(float64(sent)/float64(b.N), "bytes/op")
		})
	}
}
