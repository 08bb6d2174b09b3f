package changefetch

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/changelog"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// directCaller passes calls directly to the Fetcher at an address and counts the answered ones.
type directCaller struct {
	fetchers map[string]*Fetcher
	answered int
}

func (c *directCaller) Call(ctx context.Context, address string, _ rpc.Method, request, reply rpc.Message) error {
	fetcher := c.fetchers[address]
	if fetcher == nil {
		return rpc.ErrUnreachable
	}
	answer, err := fetcher.HandleChangeSegments(ctx, request.(*tierpb.ChangeSegmentsRequest))
	if err != nil {
		return err
	}
	c.answered++
	reply.(*tierpb.ChangeSegmentsReply).Segments = answer.Segments
	return nil
}

func emptyStore(t *testing.T) *changelog.SegmentStore {
	t.Helper()
	disk := simulation.NewNetwork(rand.New(rand.NewPCG(1, 1)), simulation.LinkConditions{}).
		NewMachine("10.0.0.1:1", rand.New(rand.NewPCG(1, 2))).Start().Mount()
	store, err := changelog.OpenSegmentStore(disk, "orders")
	assert.NilError(t, err)
	return store
}

// commitChanges returns a control state after count changes, each of which the store has observed.
func commitChanges(store *changelog.SegmentStore, count uint64) *tierpb.ControlState {
	state := &tierpb.ControlState{}
	for generation := uint64(1); generation <= count; generation++ {
		changelog.Append(state, changelog.NewChange(generation-1, generation, []byte(fmt.Sprint(generation))))
		state.Configuration = &tierpb.Configuration{Generation: generation}
		store.Observe(state)
	}
	return state
}

func newFetcher(store *changelog.SegmentStore, caller rpc.Caller, log *bytes.Buffer, addresses ...string) *Fetcher {
	var targets []watch.Endpoint
	for _, address := range addresses {
		targets = append(targets, watch.Endpoint{Address: address})
	}
	return New(Options{
		History: store, Targets: func() []watch.Endpoint { return targets }, Caller: caller,
		Log: hclog.New(&hclog.LoggerOptions{Output: log}),
	})
}

func TestMissingSegmentsAreFetchedFromACoordinatorThatHasThem(t *testing.T) {
	const changes = 40 * changelog.SegmentLength
	caller, log := &directCaller{fetchers: make(map[string]*Fetcher)}, &bytes.Buffer{}
	source, target := emptyStore(t), emptyStore(t)
	state := commitChanges(source, changes)
	caller.fetchers["empty"] = newFetcher(emptyStore(t), caller, log)
	caller.fetchers["source"] = newFetcher(source, caller, log)
	missing := len(target.Missing(state))
	assert.Assert(t, missing > 2*maxSegmentsPerCall, "%d segments", missing)
	fetcher := newFetcher(target, caller, log, "down", "empty", "source")
	for attempts := 0; !fetcher.completeHistory(t.Context(), state); attempts++ {
		assert.Assert(t, attempts < 1000, "%d segments are still missing", len(target.Missing(state)))
	}
	assert.Equal(t, len(target.Missing(state)), 0)
	assert.Assert(t, caller.answered >= missing/maxSegmentsPerCall)
}

func TestUnavailableSegmentsAreLoggedOnce(t *testing.T) {
	caller, log := &directCaller{fetchers: make(map[string]*Fetcher)}, &bytes.Buffer{}
	state := commitChanges(emptyStore(t), 4*changelog.SegmentLength)
	caller.fetchers["empty"] = newFetcher(emptyStore(t), caller, log)
	fetcher := newFetcher(emptyStore(t), caller, log, "empty")
	for range 3 {
		assert.Assert(t, !fetcher.completeHistory(t.Context(), state))
	}
	assert.Equal(t, strings.Count(log.String(), "change segments fetched: fetched=0"), 1, log.String())
}

func TestReplyHoldsAtMostMaxSegmentsPerCall(t *testing.T) {
	store := emptyStore(t)
	state := commitChanges(store, 40*changelog.SegmentLength)
	request := &tierpb.ChangeSegmentsRequest{Digests: emptyStore(t).Missing(state)}
	assert.Assert(t, len(request.Digests) > maxSegmentsPerCall)
	reply, err := newFetcher(store, nil, &bytes.Buffer{}).HandleChangeSegments(t.Context(), request)
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Segments), maxSegmentsPerCall)
}
