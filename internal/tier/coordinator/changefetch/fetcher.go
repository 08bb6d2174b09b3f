// Package changefetch completes a coordinator's history of configuration changes.
//
// The control state holds the newest changes itself and refers to older ones by the digests of their segments. Each coordinator
// stores these segments on its own disk (changelog.SegmentStore). A coordinator that was down or lost its disk may lack some of
// them. Its Fetcher requests them from the other coordinators, and serves their requests in turn. Without a segment, a
// coordinator cannot tell whether a change in it was committed, so it neither acknowledges nor rejects that change.
package changefetch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/changelog"
	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

const (
	checkInterval      = time.Second
	maxBackoff         = 30 * time.Second // between two attempts to fetch segments that no coordinator had
	callTimeout        = 2 * time.Second
	maxSegmentsPerCall = 16 // about 70 kB
)

// Options of a Fetcher. All are required.
type Options struct {
	History *changelog.SegmentStore
	// Control returns the newest control state known to be chosen, or nil.
	Control func() *tierpb.ControlState
	// Targets returns the other coordinators.
	Targets func() []watch.Endpoint
	Caller  rpc.Caller
	Log     hclog.Logger
}

// Fetcher fetches missing change segments. HandleChangeSegments is safe for concurrent use; Run needs its own goroutine.
type Fetcher struct {
	options       Options
	loggedMissing int // number of missing segments logged last; used only by Run's goroutine
}

// New returns a Fetcher. It fetches nothing until Run is called.
func New(options Options) *Fetcher { return &Fetcher{options: options} }

// RegisterHandlers registers the handler for requests for segments from other coordinators.
func (f *Fetcher) RegisterHandlers(server *rpc.Server) {
	rpc.Handle(server, rpc.MethodChangeSegments, f.HandleChangeSegments)
}

// Run fetches the segments that the control state refers to and that are missing on disk, until ctx ends.
func (f *Fetcher) Run(ctx context.Context) {
	var complete *tierpb.ControlState
	wait := checkInterval
	for clock.Sleep(ctx, wait) {
		known := f.options.Control()
		if known == complete {
			continue
		}
		if f.completeHistory(ctx, known) {
			complete, wait = known, checkInterval
		} else {
			wait = min(2*wait, maxBackoff)
		}
	}
}

// completeHistory fetches the missing segments that a control state refers to until none are missing or no progress is made.
// It reports whether all of them are on the local disk.
func (f *Fetcher) completeHistory(ctx context.Context, known *tierpb.ControlState) bool {
	fetched := 0
	for missingBefore := -1; ; {
		found := f.fetch(ctx, f.options.History.Missing(known))
		if err := f.options.History.Reconcile(known, found); err != nil {
			f.options.Log.Warn("saving change segments failed", "error", err)
			return false
		}
		missing := len(f.options.History.Missing(known))
		fetched += len(found)
		if len(found) == 0 || missing == 0 || missing == missingBefore {
			f.logProgress(fetched, missing)
			return missing == 0
		}
		missingBefore = missing
	}
}

// logProgress logs if segments were fetched or the number of missing segments has changed.
func (f *Fetcher) logProgress(fetched, missing int) {
	if fetched > 0 || missing != f.loggedMissing {
		f.options.Log.Info("change segments fetched", "fetched", fetched, "missing", missing)
	}
	f.loggedMissing = missing
}

// fetch requests up to maxSegmentsPerCall missing segments from one coordinator after another, and returns those of the first
// coordinator that has any.
func (f *Fetcher) fetch(ctx context.Context, missing [][]byte) []*tierpb.ChangeSegment {
	if len(missing) == 0 {
		return nil
	}
	// The first segment is random: if segments are permanently lost, a fixed range could hold nothing but those.
	first := rand.N(max(1, len(missing)-maxSegmentsPerCall+1))
	request := &tierpb.ChangeSegmentsRequest{Digests: missing[first:min(first+maxSegmentsPerCall, len(missing))]}
	for _, target := range f.options.Targets() {
		if segments := f.fetchFrom(ctx, target.Address, request); len(segments) > 0 {
			return segments
		}
	}
	return nil
}

// fetchFrom requests segments from one coordinator. It returns nil if the call fails.
func (f *Fetcher) fetchFrom(ctx context.Context, address string, request *tierpb.ChangeSegmentsRequest) []*tierpb.ChangeSegment {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &tierpb.ChangeSegmentsReply{}
	if err := f.options.Caller.Call(ctx, address, rpc.MethodChangeSegments, request, reply); err != nil {
		return nil
	}
	return reply.Segments
}

// HandleChangeSegments returns those of the requested segments that are on the local disk.
func (f *Fetcher) HandleChangeSegments(
	_ context.Context, request *tierpb.ChangeSegmentsRequest,
) (*tierpb.ChangeSegmentsReply, error) {
	reply := &tierpb.ChangeSegmentsReply{}
	for _, digest := range request.Digests[:min(len(request.Digests), maxSegmentsPerCall)] {
		if segment := f.options.History.Segment(digest); segment != nil {
			reply.Segments = append(reply.Segments, segment)
		}
	}
	return reply, nil
}
