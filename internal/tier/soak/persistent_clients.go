package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Times of clients that keep their connection.
const (
	persistentDeadline = 5 * time.Second
	maxEventPause      = 750 * time.Millisecond // six events last 4.5 s at the most
	maxPlainRun        = 1500 * time.Millisecond
	maxBodyPause       = 2500 * time.Millisecond
	maxThinkTime       = 150 * time.Millisecond // below and above the time after which a draining edge closes an idle connection
)

// runPersistentClient sends one request after another on one connection to an edge, for as long as the edge keeps it open,
// and then on the next one, until ctx ends.
func (h *harness) runPersistentClient(ctx context.Context, edge *testbed.Machine, number int) {
	random := rand.New(rand.NewPCG(h.plan.Seed, 7000+uint64(number)))
	client := testbed.NewSingleConnectionClient()
	defer client.Close()
	for sent := 0; ctx.Err() == nil; sent++ {
		kind := routes[random.IntN(len(routes))]
		call := persistentCall(random, kind, fmt.Sprintf("kept-%d-%d", number, sent))
		attempt := h.send(ctx, client, edge, kind, call, nil)
		if attempt.Status != 200 || !attempt.isComplete() {
			clock.Sleep(ctx, 50*time.Millisecond)
		}
		if random.IntN(2) == 0 {
			clock.Sleep(ctx, time.Duration(random.Int64N(int64(maxThinkTime))))
		}
	}
}

// persistentCall draws a call that lasts up to nearly its deadline, some with a body that comes slowly.
func persistentCall(random *rand.Rand, kind routeKind, text string) testbed.Call {
	call := callOf(kind, text)
	call.Deadline = persistentDeadline
	switch kind {
	case draftRoute, talkRoute:
		call.RunDelay = time.Duration(random.Int64N(int64(maxEventPause)))
		if random.IntN(2) == 0 { // a stream that the end of the grace period may cut
			call.RunDelay = maxEventPause - call.RunDelay/8
		}
		call.Program, call.Session = text, text
	case fetchRoute, orderRoute:
		call.Deadline = callTime
		call.RunDelay = time.Duration(random.Int64N(int64(maxPlainRun)))
	}
	if call.Body != nil && random.IntN(4) == 0 {
		call.BodyPause = time.Duration(random.Int64N(int64(maxBodyPause)))
		call.RunDelay = 0
	}
	return call
}
