package replica

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// ErrUncertain says that too few turn stores answered in time, so nothing is known.
var ErrUncertain = eris.New("too few turn stores answered")

// Times of calls to turn stores.
const (
	hedgeAfter     = 40 * time.Millisecond  // then the other members are called too
	pauseBetween   = 60 * time.Millisecond  // before members that failed are called again
	avoidedFor     = 2 * time.Second        // a member that failed is called last for this long
	slowFor        = 500 * time.Millisecond // likewise one that did not answer before others were called
	callTimeout    = 700 * time.Millisecond // of one call to one member
	latencyWeight  = 8                      // of the running mean of answer times
	farZonePenalty = 20 * time.Millisecond  // a member of another zone counts as slower by this
)

// Options of a client of the turn stores. The hooks may be called from any goroutine.
type Options struct {
	Caller     rpc.Caller
	Membership func() *tierpb.StoreMembership // newest known; may return nil
	Learn      func(*tierpb.StoreMembership)  // may be nil; told of newer memberships that stores know
	Tolerance  int                            // machines that may be lost at once
	Zone       string
	Now        func() time.Time                     // nil: time.Now
	After      func(time.Duration) <-chan time.Time // nil: time.After
	CacheBytes int                                  // most bytes of records to remember; 0: a default
}

// Client calls quorums of replica sets and remembers which members were slow or failed.
type Client struct {
	options Options
	mu      sync.Mutex
	learned *tierpb.StoreMembership
	members map[uint64]*condition
}

// condition is what is remembered of a member.
type condition struct {
	avoidUntil time.Time
	mean       time.Duration
}

// NewClient makes a client.
func NewClient(options Options) *Client {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.After == nil {
		options.After = time.After
	}
	return &Client{options: options, members: make(map[uint64]*condition)}
}

// Now is the client's clock.
func (c *Client) Now() time.Time { return c.options.Now() }

// After is the client's timer.
func (c *Client) After(wait time.Duration) <-chan time.Time { return c.options.After(wait) }

// Tolerance is how many machines may be lost at once.
func (c *Client) Tolerance() int { return c.options.Tolerance }

// Caller is what the client calls stores with.
func (c *Client) Caller() rpc.Caller { return c.options.Caller }

// Membership is the newest that the process or a store has told, nil where none is known.
func (c *Client) Membership() *tierpb.StoreMembership {
	known := c.options.Membership()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.learned != nil && c.learned.Epoch > known.GetEpoch() {
		return c.learned
	}
	c.learned = nil
	return known
}

func (c *Client) learn(newer *tierpb.StoreMembership) {
	if newer == nil {
		return
	}
	c.mu.Lock()
	if newer.Epoch > c.learned.GetEpoch() {
		c.learned = newer
	}
	c.mu.Unlock()
	if c.options.Learn != nil {
		c.options.Learn(newer)
	}
}

func (c *Client) condition(identity uint64) *condition {
	known := c.members[identity]
	if known == nil {
		known = &condition{}
		c.members[identity] = known
	}
	return known
}

func (c *Client) answered(identity uint64, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.condition(identity)
	known.avoidUntil = time.Time{}
	if known.mean == 0 {
		known.mean = took
		return
	}
	known.mean += (took - known.mean) / latencyWeight
}

func (c *Client) failed(identity uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.condition(identity).avoidUntil = c.options.Now().Add(avoidedFor)
}

// slow notes that members which were called have not answered in time for others to be called.
func (c *Client) slow(called, answered map[uint64]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.options.Now().Add(slowFor)
	for identity := range called {
		known := c.condition(identity)
		if !answered[identity] && known.avoidUntil.Before(until) {
			known.avoidUntil = until
		}
	}
}

// prefer sorts members: those that failed lately last, else by rank, or the near and quick ones first.
func (c *Client) prefer(members []*tierpb.Node, ranked bool) []*tierpb.Node {
	type weighed struct {
		node *tierpb.Node
		cost time.Duration
	}
	now := c.options.Now()
	costs := make([]weighed, len(members))
	c.mu.Lock()
	for i, member := range members {
		known := c.condition(member.Identity)
		costs[i] = weighed{member, known.mean}
		switch {
		case ranked:
			costs[i].cost = time.Duration(i)
		case member.Zone != c.options.Zone:
			costs[i].cost += farZonePenalty
		}
		if now.Before(known.avoidUntil) {
			costs[i].cost += time.Hour
		}
	}
	c.mu.Unlock()
	slices.SortStableFunc(costs, func(a, b weighed) int { return int(a.cost - b.cost) })
	sorted := make([]*tierpb.Node, len(costs))
	for i, entry := range costs {
		sorted[i] = entry.node
	}
	return sorted
}
