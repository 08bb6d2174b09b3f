package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Bounds of the probes, after the settings in the comments.
const (
	configBound   = 2 * time.Second // configMs
	rollbackSlack = 2 * time.Second // eight times rollbackSlackMs, since any machine may be slow here
	probeInterval = 25 * time.Millisecond
)

// observation says that one incarnation of an edge's processes served a request by a generation or a later one.
type observation struct {
	front       string
	incarnation int
	generation  uint64
}

// probe requests the marker routes of the newest configurations from edges until ctx ends. Within one incarnation of its
// processes an edge must never roll back, and without faults it must be up to date.
func (c *configurationHistory) probe(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.harness.plan.Seed, 3004))
	client := testbed.NewClient()
	defer client.Close()
	for clock.Sleep(ctx, probeInterval) {
		c.probeOnce(ctx, client, random)
	}
}

func (c *configurationHistory) probeOnce(ctx context.Context, client *testbed.Client, random *rand.Rand) {
	c.mu.Lock()
	asked := c.sent[max(0, len(c.sent)-1-random.IntN(4))]
	c.mu.Unlock()
	edge := c.harness.Edges[random.IntN(len(c.harness.Edges))]
	incarnation := c.harness.incarnation(edge)
	call := testbed.Call{
		RequestID: testbed.NewRequestID(), Method: "GET", Path: markerPath(asked.generation) + testbed.NewRequestID(), Deadline: callTime,
	}
	attempt := c.harness.send(ctx, client, edge, markerRoute, call, nil)
	if c.harness.incarnation(edge) == incarnation && attempt.isComplete() {
		c.checkProbe(asked, observation{attempt.Front, incarnation, asked.generation}, attempt)
	}
}

func (c *configurationHistory) checkProbe(asked *change, at observation, attempt *Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch attempt.Status {
	case http.StatusOK:
		if asked.rejected && !c.superseded(asked) {
			c.harness.ReportViolation("CONFIG", "%s serves %d, which was rejected", at.front, asked.generation)
		}
		if _, known := c.seen[at]; !known {
			c.seen[at] = attempt.Ended
		}
	case http.StatusNotFound:
		if c.superseded(asked) {
			return
		}
		if seen, known := c.seen[at]; known && attempt.Sent.After(seen.Add(rollbackSlack)) {
			c.harness.ReportViolation("CONFIG", "%s rolled back to before %d", at.front, asked.generation)
		}
		bound := asked.acknowledgedAt.Add(configBound + calmSlack)
		if !asked.acknowledgedAt.IsZero() && attempt.Sent.After(bound) && c.harness.calm(contactBound, asked.acknowledgedAt, attempt.Ended) {
			c.harness.reportLate("CONFIG", "%s does not serve %d, acknowledged at %s", at.front, asked.generation,
				asked.acknowledgedAt.Format("15:04:05.000"))
		}
	}
}

// superseded reports whether the marker of a change proves nothing, because another change of its generation was sent.
func (c *configurationHistory) superseded(asked *change) bool {
	for _, other := range c.sent {
		if other != asked && other.generation == asked.generation {
			return true
		}
	}
	return false
}
