package replica

import (
	"cmp"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Parameters of the order in which members are preferred.
const (
	failureBackoff   = 2 * time.Second        // a member that failed is called last for this time
	slowBackoff      = 500 * time.Millisecond // the same for a member that had not replied when hedged calls were made
	latencySmoothing = 8                      // a reply changes the mean latency by the difference divided by this
	crossZonePenalty = 20 * time.Millisecond  // added to the mean latency of a member in another zone
	backoffPenalty   = time.Hour              // added while a member is in backoff; larger than any latency
)

// memberStats is what a client knows of a member's recent performance.
type memberStats struct {
	backoffUntil time.Time
	meanLatency  time.Duration // exponentially weighted; 0 before the first reply
}

// statsOf returns the stats of a member. The caller holds c.mu.
func (c *Client) statsOf(identity uint64) *memberStats {
	stats := c.members[identity]
	if stats == nil {
		stats = &memberStats{}
		c.members[identity] = stats
	}
	return stats
}

func (c *Client) recordSuccess(identity uint64, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.statsOf(identity)
	stats.backoffUntil = time.Time{}
	if stats.meanLatency == 0 {
		stats.meanLatency = latency
		return
	}
	stats.meanLatency += (latency - stats.meanLatency) / latencySmoothing
}

func (c *Client) recordFailure(identity uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statsOf(identity).backoffUntil = c.options.Now().Add(failureBackoff)
}

// recordSlow starts the backoff of members that were called and have not acknowledged in time.
func (c *Client) recordSlow(called, acked identities) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.options.Now().Add(slowBackoff)
	for identity := range called {
		stats := c.statsOf(identity)
		if !acked[identity] && stats.backoffUntil.Before(until) {
			stats.backoffUntil = until
		}
	}
}

// byPreference returns the members in the order in which they are called. Members in backoff are last. The others keep their
// given order if ranked is true; otherwise they are sorted by mean latency, with a penalty for other zones.
func (c *Client) byPreference(members []*tierpb.Node, ranked bool) []*tierpb.Node {
	type candidate struct {
		node *tierpb.Node
		cost time.Duration
	}
	now := c.options.Now()
	candidates := make([]candidate, len(members))
	c.mu.Lock()
	for i, member := range members {
		stats := c.statsOf(member.Identity)
		cost := stats.meanLatency
		switch {
		case ranked:
			cost = time.Duration(i)
		case member.Zone != c.options.Zone:
			cost += crossZonePenalty
		}
		if now.Before(stats.backoffUntil) {
			cost += backoffPenalty
		}
		candidates[i] = candidate{node: member, cost: cost}
	}
	c.mu.Unlock()
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	sorted := make([]*tierpb.Node, len(candidates))
	for i, sortedCandidate := range candidates {
		sorted[i] = sortedCandidate.node
	}
	return sorted
}
