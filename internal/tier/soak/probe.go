package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Bounds of the probes.
const (
	configBound   = 2 * time.Second // configMs
	rollbackSlack = 2 * time.Second // eight times rollbackSlackMs: any machine may be slowed here
	probePause    = 25 * time.Millisecond
)

// sight is that one life of an edge's processes handled a request as of a generation or later.
type sight struct {
	front      string
	life       int
	generation uint64
}

// probe asks edges for the newest marks until ctx ends: within one life of its processes an edge never goes back, and in
// calm times it is up to date.
func (c *configurations) probe(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.world.plan.Seed, 3004))
	client := testbed.NewClient()
	defer client.Close()
	for clock.Sleep(ctx, probePause) {
		c.probeOnce(ctx, client, random)
	}
}

func (c *configurations) probeOnce(ctx context.Context, client *testbed.Client, random *rand.Rand) {
	c.mu.Lock()
	asked := c.sent[max(0, len(c.sent)-1-random.IntN(4))]
	c.mu.Unlock()
	edge := c.world.Edges[random.IntN(len(c.world.Edges))]
	life := c.world.life(edge)
	call := testbed.Call{
		RequestID: testbed.NewRequestID(), Method: "GET", Path: markPath(asked.generation) + testbed.NewRequestID(), Deadline: callTime,
	}
	attempt := c.world.try(ctx, client, edge, markRoute, call, nil)
	if c.world.life(edge) == life && attempt.whole() {
		c.judgeProbe(asked, sight{attempt.Front, life, asked.generation}, attempt)
	}
}

func (c *configurations) judgeProbe(asked *change, at sight, attempt *Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch attempt.Status {
	case http.StatusOK:
		if asked.refused && !c.superseded(asked) {
			c.world.Break("CONFIG", "%s has got %d, which was refused", at.front, asked.generation)
		}
		if _, known := c.seen[at]; !known {
			c.seen[at] = attempt.Ended
		}
	case http.StatusNotFound:
		if c.superseded(asked) {
			return
		}
		if seen, known := c.seen[at]; known && attempt.Sent.After(seen.Add(rollbackSlack)) {
			c.world.Break("CONFIG", "%s went back behind %d", at.front, asked.generation)
		}
		late := asked.taken.Add(configBound + calmSlack)
		if !asked.taken.IsZero() && attempt.Sent.After(late) && c.world.calm(contactBound, asked.taken, attempt.Ended) {
			c.world.late("CONFIG", "%s has not got %d, acknowledged at %s", at.front, asked.generation, asked.taken.Format("15:04:05.000"))
		}
	}
}

// superseded says whether the mark of a change tells nothing of it: another one of its generation was sent.
func (c *configurations) superseded(asked *change) bool {
	for _, other := range c.sent {
		if other != asked && other.generation == asked.generation {
			return true
		}
	}
	return false
}
