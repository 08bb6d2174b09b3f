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

// Bounds of the operators.
const (
	orderTimeout = time.Second
	orderPause   = 60 * time.Millisecond
	changePause  = 250 * time.Millisecond
	contactBound = 3 * time.Second        // contactMs
	calmSlack    = 700 * time.Millisecond // this machine is busy: a bound of the rules is stretched by it
)

// change is a configuration that an operator sent.
type change struct {
	number     uint64 // of all that were composed
	generation uint64
	ifMatch    uint64
	marks      []uint64 // routes that tell which configuration is in force
	body       []byte
	taken      time.Time // zero: not acknowledged
	refused    bool
}

// configurations is what operators sent and were told.
type configurations struct {
	world *world

	composed atomic.Uint64

	mu     sync.Mutex
	sent   []*change
	newest *change // acknowledged
	floor  uint64  // newest generation that was acknowledged or read
	seen   map[sight]time.Time
}

func markPath(generation uint64) string { return fmt.Sprintf("/mark-%d/", generation) }

// compose writes a configuration with the routes of the example and the marks of all it builds on.
func (c *configurations) compose(generation uint64, base *change) *change {
	composed := &change{generation: generation, number: c.composed.Add(1)}
	if base != nil {
		composed.ifMatch = base.generation
		composed.marks = append(composed.marks, base.marks...)
	}
	composed.marks = append(composed.marks, generation)
	configuration := testbed.ExampleConfiguration(generation)
	for _, mark := range composed.marks {
		route := configuration.Routes[0]
		route.Name, route.PathPrefix = fmt.Sprint("mark-", mark), markPath(mark)
		configuration.Routes = append(configuration.Routes, route)
	}
	configuration.Limits.IdleTimeoutMs = 12000 + int(composed.number%4000) // no two bodies are the same order
	composed.body = configuration.Body()
	return composed
}

// first sends the first configuration until it is taken.
func (c *configurations) first(ctx context.Context) error {
	c.seen = make(map[sight]time.Time)
	made := c.compose(1, nil)
	c.note(made)
	c.send(ctx, made, rand.New(rand.NewPCG(c.world.plan.Seed, 3001)))
	return ctx.Err()
}

func (c *configurations) note(made *change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, made)
}

// operate changes the configuration until ctx ends; now and then two operators do at once.
func (c *configurations) operate(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.world.plan.Seed, 3002))
	for clock.Sleep(ctx, changePause+time.Duration(random.Int64N(int64(2*changePause)))) {
		base := c.base()
		generation := base.generation + 1 + uint64(random.IntN(3))
		made := []*change{c.compose(generation, base)}
		if random.IntN(3) == 0 {
			made = append(made, c.compose(generation+uint64(random.IntN(2)), base))
			c.world.Count("two operators at once")
		}
		var group sync.WaitGroup
		for _, one := range made {
			c.note(one)
			source := rand.New(rand.NewPCG(random.Uint64(), 0))
			group.Go(func() { c.send(ctx, one, source) })
		}
		group.Wait()
		c.resendOld(ctx, random)
	}
}

func (c *configurations) base() *change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// resendOld sends an order again that was taken a while ago: it is never refused.
func (c *configurations) resendOld(ctx context.Context, random *rand.Rand) {
	if random.IntN(3) > 0 {
		return
	}
	c.mu.Lock()
	old := c.sent[random.IntN(len(c.sent))]
	taken := !old.taken.IsZero()
	c.mu.Unlock()
	if taken {
		c.world.Count("old order sent again")
		c.sendOnce(ctx, old, random)
	}
}

// send sends an order, unchanged, until the answer is clear.
func (c *configurations) send(ctx context.Context, made *change, random *rand.Rand) {
	for number := 0; ctx.Err() == nil; number++ {
		if c.sendOnce(ctx, made, random) {
			if number > 0 {
				c.world.Count("order acknowledged when sent again")
			}
			return
		}
		clock.Sleep(ctx, orderPause)
	}
}

// sendOnce sends an order to one coordinator and says whether the answer was clear.
func (c *configurations) sendOnce(ctx context.Context, made *change, random *rand.Rand) bool {
	status, text := c.call(ctx, http.MethodPut, made.body, strconv.FormatUint(made.ifMatch, 10), random)
	switch {
	case status == http.StatusOK:
		c.take(made)
	case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
		c.refuse(made, status, text)
	default:
		return false
	}
	return true
}

func (c *configurations) call(ctx context.Context, method string, body []byte, ifMatch string, random *rand.Rand) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	controls := c.world.Controls()
	if random.IntN(10) == 0 { // the answer is lost on its way
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
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, text
}

// take notes an acknowledgement. Of all changes on top of one version at most one is acknowledged.
func (c *configurations) take(made *change) {
	c.world.Note("configuration %d on %d acknowledged", made.generation, made.ifMatch)
	c.mu.Lock()
	defer c.mu.Unlock()
	if made.refused {
		c.world.Break("CONFIG", "configuration %d on %d was refused and then acknowledged", made.generation, made.ifMatch)
	}
	for _, other := range c.sent {
		if other != made && other.ifMatch == made.ifMatch && !other.taken.IsZero() {
			c.world.Break("CONFIG", "two changes on %d were acknowledged: %d and %d", made.ifMatch, other.generation, made.generation)
		}
	}
	if made.taken.IsZero() {
		made.taken = time.Now()
	}
	if c.newest == nil || made.generation > c.newest.generation {
		c.newest = made
	}
	c.floor = max(c.floor, made.generation)
}

// refuse notes a refusal: it stands only where another change of that version was, and the order never is, in force.
func (c *configurations) refuse(made *change, status int, text []byte) {
	c.world.Note("configuration %d on %d refused: %d %s", made.generation, made.ifMatch, status, text)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !made.taken.IsZero() {
		c.world.Break("CONFIG", "configuration %d on %d was acknowledged and then refused: %d %s", made.generation, made.ifMatch, status, text)
	}
	made.refused = true
}

// read asks for the configuration once: it is never older than what was acknowledged or read before it was sent.
func (c *configurations) read(ctx context.Context, random *rand.Rand) (uint64, bool) {
	c.mu.Lock()
	floor := c.floor
	c.mu.Unlock()
	status, text := c.call(ctx, http.MethodGet, nil, "", random)
	if status != http.StatusOK {
		return 0, false
	}
	told := struct {
		Generation uint64 `json:"generation"`
	}{}
	if err := json.Unmarshal(text, &told); err != nil {
		c.world.Break("CONFIG", "a read came with %q", text)
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if told.Generation < floor {
		c.world.Break("CONFIG", "a read came with %d after %d had been acknowledged or read", told.Generation, floor)
	}
	c.floor = max(c.floor, told.Generation)
	c.compare(told.Generation, text)
	return told.Generation, true
}

// compare wants what was read to be what was sent, and not refused.
func (c *configurations) compare(generation uint64, text []byte) {
	for _, one := range c.sent {
		if !bytes.Equal(one.body, text) {
			continue
		}
		if one.refused {
			c.world.Break("CONFIG", "configuration %d on %d was refused and is in force", one.generation, one.ifMatch)
		}
		if c.newest == nil || one.generation > c.newest.generation {
			c.newest = one // taken, whatever its operator was told
		}
		return
	}
	c.world.Break("CONFIG", "configuration %d was read and never sent so: %s", generation, text)
}

// readAlong reads again and again until ctx ends.
func (c *configurations) readAlong(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.world.plan.Seed, 3003))
	for clock.Sleep(ctx, 90*time.Millisecond) {
		c.read(ctx, random)
	}
}
