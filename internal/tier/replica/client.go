package replica

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// ErrUncertain is returned if no quorum replied in time. The outcome of the operation is then unknown: some members may have
// stored a write.
var ErrUncertain = eris.New("too few turn stores answered")

// Options of a Client. The functions may be called from any goroutine.
type Options struct {
	Caller     rpc.Caller
	Membership func() *tierpb.StoreMembership       // returns the newest membership that the process knows, nil if none
	Learn      func(*tierpb.StoreMembership)        // called with memberships from stores' replies; may be nil
	Tolerance  int                                  // number of machines that may be lost at once
	Zone       string                               // of this process; members in other zones count as slower
	Now        func() time.Time                     // clock; nil means time.Now
	After      func(time.Duration) <-chan time.Time // timer; nil means time.After
	CacheBytes int                                  // maximum size of the record cache of package turns; 0 means its default
}

// Client holds the state that quorum operations share: the newest membership, and which members were slow or failed
// recently. It is safe for concurrent use.
type Client struct {
	options Options

	mu      sync.Mutex
	learned *tierpb.StoreMembership // from a store, if newer than what Options.Membership returns
	members map[uint64]*memberStats // by identity
}

// NewClient returns a client.
func NewClient(options Options) *Client {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.After == nil {
		options.After = time.After
	}
	return &Client{options: options, members: make(map[uint64]*memberStats)}
}

// Now returns the current time of the client's clock.
func (c *Client) Now() time.Time { return c.options.Now() }

// After returns a channel that receives the time of the client's clock after a duration.
func (c *Client) After(duration time.Duration) <-chan time.Time { return c.options.After(duration) }

// Tolerance returns the number of machines that may be lost at once.
func (c *Client) Tolerance() int { return c.options.Tolerance }

// Caller returns the caller that is used for calls to stores.
func (c *Client) Caller() rpc.Caller { return c.options.Caller }

// Membership returns the newest membership that the process knows or a store has sent, nil if there is none.
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

// learn records the membership in a store's reply, which may be nil.
func (c *Client) learn(membership *tierpb.StoreMembership) {
	if membership == nil {
		return
	}
	c.mu.Lock()
	if membership.Epoch > c.learned.GetEpoch() {
		c.learned = membership
	}
	c.mu.Unlock()
	if c.options.Learn != nil {
		c.options.Learn(membership)
	}
}

// WithDefaultTimeout returns a context that ends with its parent, or after a timeout if the parent has no deadline.
func WithDefaultTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if _, hasDeadline := ctx.Deadline(); hasDeadline {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout)
}
