// Package changefetch completes a coordinator's history of configuration changes.
//
// The control state holds the newest changes itself and names older ones by the digests of their segments. Each coordinator
// keeps those segments on its own disk (changelog.SegmentStore). One that was down or lost its disk lacks some; a Fetcher asks the
// other coordinators for them, and answers those that ask. Until it has a segment, a coordinator cannot know whether a change
// in it was committed, and answers such a request without a verdict.
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
	maxBackoff         = 30 * time.Second // between two attempts to find segments that nobody had
	callTimeout        = 2 * time.Second
	maxSegmentsPerCall = 16 // about 70 kB
)

// Options of a Fetcher. All are required.
type Options struct {
	History *changelog.SegmentStore
	// Control returns the newest control state that is known to be chosen; nil where none is.
	Control func() *tierpb.ControlState
	// Targets returns the other coordinators.
	Targets func() []watch.Endpoint
	Caller  rpc.Caller
	Log     hclog.Logger
}

// Fetcher fetches missing change segments. HandleChangeSegments is safe for concurrent use; Run wants a goroutine of its own.
type Fetcher struct {
	options Options
	missing int // segments, as last logged; Run's goroutine alone uses it
}

// New returns a Fetcher that does nothing until it is run.
func New(options Options) *Fetcher { return &Fetcher{options: options} }

// RegisterHandlers registers the call by which other coordinators ask for segments.
func (f *Fetcher) RegisterHandlers(server *rpc.Server) {
	rpc.Handle(server, rpc.MethodChangeSegments, f.HandleChangeSegments)
}

// Run keeps the segments that the control state names, and asks others for those that are missing, until ctx ends.
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

// completeHistory fetches the segments that a control state names for as long as some are found, and reports whether all are
// on disk here.
func (f *Fetcher) completeHistory(ctx context.Context, known *tierpb.ControlState) bool {
	fetched := 0
	for before := -1; ; {
		found := f.fetch(ctx, f.options.History.Missing(known))
		if err := f.options.History.Reconcile(known, found); err != nil {
			f.options.Log.Warn("saving change segments failed", "error", err)
			return false
		}
		missing := len(f.options.History.Missing(known))
		fetched += len(found)
		if len(found) == 0 || missing == 0 || missing == before {
			f.logProgress(fetched, missing)
			return missing == 0
		}
		before = missing
	}
}

// logProgress logs when segments were fetched, and when segments begin or cease to be missing.
func (f *Fetcher) logProgress(fetched, missing int) {
	if fetched > 0 || missing != f.missing {
		f.options.Log.Info("change segments fetched", "fetched", fetched, "missing", missing)
	}
	f.missing = missing
}

// fetch asks the other coordinators, one after the other, for segments; it returns those of the first that has any.
func (f *Fetcher) fetch(ctx context.Context, missing [][]byte) []*tierpb.ChangeSegment {
	if len(missing) == 0 {
		return nil
	}
	first := rand.N(max(1, len(missing)-maxSegmentsPerCall+1)) // some may be lost for good
	request := &tierpb.ChangeSegmentsRequest{Digests: missing[first:min(first+maxSegmentsPerCall, len(missing))]}
	for _, target := range f.options.Targets() {
		if segments := f.fetchFrom(ctx, target.Address, request); len(segments) > 0 {
			return segments
		}
	}
	return nil
}

// fetchFrom asks one coordinator; one that does not answer counts as one that has none.
func (f *Fetcher) fetchFrom(ctx context.Context, address string, request *tierpb.ChangeSegmentsRequest) []*tierpb.ChangeSegment {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &tierpb.ChangeSegmentsReply{}
	if err := f.options.Caller.Call(ctx, address, rpc.MethodChangeSegments, request, reply); err != nil {
		return nil
	}
	return reply.Segments
}

// HandleChangeSegments answers another coordinator that lacks segments with those that are here.
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
