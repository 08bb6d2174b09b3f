package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Times and bounds of the operators.
const (
	requestTimeout = time.Second
	retryInterval  = 60 * time.Millisecond
	changeInterval = 250 * time.Millisecond
	contactBound   = 3 * time.Second        // contactMs
	calmSlack      = 700 * time.Millisecond // added to the bounds of the rules, since the machine is busy
)

// change is a configuration that an operator sent.
type change struct {
	number         uint64 // of all composed changes
	generation     uint64
	ifMatch        uint64
	markers        []uint64 // generations whose marker routes the configuration has, to show which is in force
	body           []byte
	acknowledgedAt time.Time // zero: not acknowledged
	rejected       bool
}

// configurationHistory records the changes that operators sent and the outcomes.
type configurationHistory struct {
	harness *harness

	composed atomic.Uint64

	mu     sync.Mutex
	sent   []*change
	newest *change // acknowledged
	floor  uint64  // newest generation that was acknowledged or read
	seen   map[observation]time.Time
}

func markerPath(generation uint64) string { return fmt.Sprintf("/mark-%d/", generation) }

// compose creates a configuration with the example's routes, and a marker route for itself and each change it builds on.
func (c *configurationHistory) compose(generation uint64, base *change) *change {
	composed := &change{generation: generation, number: c.composed.Add(1)}
	if base != nil {
		composed.ifMatch = base.generation
		composed.markers = append(composed.markers, base.markers...)
	}
	composed.markers = append(composed.markers, generation)
	configuration := testbed.ExampleConfiguration(generation)
	if c.harness.plan.Conversations {
		configuration.Retain(conversationRetention)
	}
	for _, marker := range composed.markers {
		route := configuration.Routes[0]
		route.Name, route.PathPrefix = fmt.Sprint("mark-", marker), markerPath(marker)
		configuration.Routes = append(configuration.Routes, route)
	}
	configuration.Limits.IdleTimeoutMs = 12000 + int(composed.number%4000) // makes each body unique
	composed.body = configuration.Body()
	return composed
}

// first puts the first configuration until it is acknowledged.
func (c *configurationHistory) first(ctx context.Context) error {
	c.seen = make(map[observation]time.Time)
	made := c.compose(1, nil)
	c.record(made)
	c.putUntilDefinite(ctx, made, rand.New(rand.NewPCG(c.harness.plan.Seed, 3001)))
	return ctx.Err()
}

func (c *configurationHistory) record(made *change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, made)
}

// runOperators starts the operators, and what reads and observes the configuration, until ctx ends.
func (c *configurationHistory) runOperators(ctx context.Context, group *sync.WaitGroup) {
	group.Go(func() { c.operate(ctx) })
	group.Go(func() { c.readContinuously(ctx) })
	group.Go(func() { c.probe(ctx) })
}

// operate changes the configuration until ctx ends; at random times two operators do so concurrently.
func (c *configurationHistory) operate(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.harness.plan.Seed, 3002))
	for clock.Sleep(ctx, changeInterval+time.Duration(random.Int64N(int64(2*changeInterval)))) {
		base := c.base()
		generation := base.generation + 1 + uint64(random.IntN(3))
		made := []*change{c.compose(generation, base)}
		if random.IntN(3) == 0 {
			made = append(made, c.compose(generation+uint64(random.IntN(2)), base))
			c.harness.Count("two operators at once")
		}
		var group sync.WaitGroup
		for _, one := range made {
			c.record(one)
			source := rand.New(rand.NewPCG(random.Uint64(), 0))
			group.Go(func() { c.putUntilDefinite(ctx, one, source) })
		}
		group.Wait()
		c.retryOldChange(ctx, random)
	}
}

// base returns the newest acknowledged change, on which the next one builds.
func (c *configurationHistory) base() *change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// retryOldChange puts an acknowledged change again: it must never be rejected.
func (c *configurationHistory) retryOldChange(ctx context.Context, random *rand.Rand) {
	if random.IntN(3) > 0 {
		return
	}
	c.mu.Lock()
	old := c.sent[random.IntN(len(c.sent))]
	acknowledged := !old.acknowledgedAt.IsZero()
	c.mu.Unlock()
	if acknowledged {
		c.harness.Count("old change retried")
		c.put(ctx, old, random)
	}
}

// putUntilDefinite puts a change, unchanged, until the response is definite.
func (c *configurationHistory) putUntilDefinite(ctx context.Context, made *change, random *rand.Rand) {
	for number := 0; ctx.Err() == nil; number++ {
		if c.put(ctx, made, random) {
			if number > 0 {
				c.harness.Count("change acknowledged at a retry")
			}
			return
		}
		clock.Sleep(ctx, retryInterval)
	}
}

// put puts a change at one coordinator and reports whether the response was definite.
func (c *configurationHistory) put(ctx context.Context, made *change, random *rand.Rand) bool {
	status, text := c.call(ctx, http.MethodPut, made.body, strconv.FormatUint(made.ifMatch, 10), random)
	switch {
	case status == http.StatusOK:
		c.recordAcknowledgement(made)
	case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
		c.recordRejection(made, status, text)
	default:
		return false
	}
	return true
}

func (c *configurationHistory) call(ctx context.Context, method string, body []byte, ifMatch string, random *rand.Rand) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	controls := c.harness.Controls()
	if random.IntN(10) == 0 { // the response is lost
		var end context.CancelFunc
		ctx, end = context.WithTimeout(ctx, time.Duration(random.IntN(30))*time.Millisecond)
		defer end()
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+controls[random.IntN(len(controls))]+"/v1/config", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// recordAcknowledgement records an acknowledgement. Of all changes that build on one generation, at most one is
// acknowledged.
func (c *configurationHistory) recordAcknowledgement(made *change) {
	c.harness.Logf("configuration %d on %d acknowledged", made.generation, made.ifMatch)
	c.mu.Lock()
	defer c.mu.Unlock()
	if made.rejected {
		c.harness.ReportViolation("CONFIG", "configuration %d on %d was rejected and then acknowledged", made.generation, made.ifMatch)
	}
	for _, other := range c.sent {
		if other != made && other.ifMatch == made.ifMatch && !other.acknowledgedAt.IsZero() {
			c.harness.ReportViolation("CONFIG", "two changes on %d were acknowledged: %d and %d", made.ifMatch, other.generation, made.generation)
		}
	}
	if made.acknowledgedAt.IsZero() {
		made.acknowledgedAt = time.Now()
	}
	if c.newest == nil || made.generation > c.newest.generation {
		c.newest = made
	}
	c.floor = max(c.floor, made.generation)
}

// recordRejection records a definite rejection: the change must never be in force.
func (c *configurationHistory) recordRejection(made *change, status int, text []byte) {
	c.harness.Logf("configuration %d on %d rejected: %d %s", made.generation, made.ifMatch, status, text)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !made.acknowledgedAt.IsZero() {
		c.harness.ReportViolation("CONFIG", "configuration %d on %d was acknowledged and then rejected: %d %s", made.generation,
			made.ifMatch, status, text)
	}
	made.rejected = true
}

// read reads the configuration once and reports whether there was a response. It must not be older than what was
// acknowledged or read before the request (linearizability).
func (c *configurationHistory) read(ctx context.Context, random *rand.Rand) bool {
	c.mu.Lock()
	floor := c.floor
	c.mu.Unlock()
	status, text := c.call(ctx, http.MethodGet, nil, "", random)
	if status != http.StatusOK {
		return false
	}
	received := struct {
		Generation uint64 `json:"generation"`
	}{}
	if err := json.Unmarshal(text, &received); err != nil {
		c.harness.ReportViolation("CONFIG", "a read returned %q", text)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if received.Generation < floor {
		c.harness.ReportViolation("CONFIG", "a read returned %d after %d had been acknowledged or read", received.Generation, floor)
	}
	c.floor = max(c.floor, received.Generation)
	c.checkRead(received.Generation, text)
	return true
}

// checkRead checks that what was read was sent, and not rejected.
func (c *configurationHistory) checkRead(generation uint64, text []byte) {
	for _, one := range c.sent {
		if !bytes.Equal(one.body, text) {
			continue
		}
		if one.rejected {
			c.harness.ReportViolation("CONFIG", "configuration %d on %d was rejected and is in force", one.generation, one.ifMatch)
		}
		if c.newest == nil || one.generation > c.newest.generation {
			c.newest = one // committed, whatever response its operator got
		}
		return
	}
	c.harness.ReportViolation("CONFIG", "configuration %d was read and never sent: %s", generation, text)
}

// readContinuously reads the configuration until ctx ends.
func (c *configurationHistory) readContinuously(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.harness.plan.Seed, 3003))
	for clock.Sleep(ctx, 90*time.Millisecond) {
		c.read(ctx, random)
	}
}
