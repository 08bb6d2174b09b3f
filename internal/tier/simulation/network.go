package simulation

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
)

// Network carries calls between machines. It is safe for concurrent use.
type Network struct {
	mu         sync.Mutex
	random     *rand.Rand
	machines   map[string]*Machine // by address
	partitions map[link]bool       // directed links that lose every message
	conditions LinkConditions
	bytesSent  int // bytes of requests and replies
}

// LinkConditions apply to every message on every link. The zero value delivers every message once and at once.
type LinkConditions struct {
	MinDelay, MaxDelay time.Duration // one-way delay, drawn uniformly for each message
	LossRate           float64       // share of requests and replies that are lost, 0 to 1
	LateRate           float64       // share of messages whose delay is drawn from 0 to MaxLateDelay instead
	MaxLateDelay       time.Duration
	DuplicateRate      float64 // share of requests that are delivered twice, the second time after twice the delay
}

// link is one direction between two addresses.
type link struct{ from, to string }

// NewNetwork creates a network without machines. Random decides delay, loss and duplication.
func NewNetwork(random *rand.Rand, conditions LinkConditions) *Network {
	return &Network{
		random:     random,
		machines:   make(map[string]*Machine),
		partitions: make(map[link]bool),
		conditions: conditions,
	}
}

// SetConditions replaces the conditions of all links; messages under way keep what was drawn for them.
func (n *Network) SetConditions(conditions LinkConditions) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conditions = conditions
}

// Partition makes the link in one direction lose every message, or heals that direction. It does not affect the other
// direction.
func (n *Network) Partition(from, to string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[link{from, to}] = partitioned
}

// Heal ends all partitions.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.partitions)
}

// BytesSent returns the size in bytes of all requests and replies sent so far.
func (n *Network) BytesSent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytesSent
}

func (n *Network) count(payload []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytesSent += len(payload)
}

// delivery is the fate drawn for one message.
type delivery struct {
	delay      time.Duration
	lost       bool
	duplicated bool
}

// drawDelivery draws the fate of one message. The order of its draws is fixed, so that a seed reproduces a run.
func (n *Network) drawDelivery() delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	conditions := n.conditions
	drawn := delivery{
		delay:      conditions.MinDelay + n.randomDuration(conditions.MaxDelay-conditions.MinDelay),
		lost:       n.random.Float64() < conditions.LossRate,
		duplicated: n.random.Float64() < conditions.DuplicateRate,
	}
	if n.random.Float64() < conditions.LateRate {
		drawn.delay = n.randomDuration(conditions.MaxLateDelay)
	}
	return drawn
}

func (n *Network) randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(n.random.Int64N(int64(limit)))
}

func (n *Network) isPartitioned(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[link{from, to}]
}

func (n *Network) machine(address string) *Machine {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machines[address]
}

// Caller makes the calls of one incarnation; it implements rpc.Caller.
type Caller struct {
	network     *Network
	incarnation *Incarnation
}

// Call implements rpc.Caller. A request may arrive, and be executed, after its caller has given up.
func (c *Caller) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	payload, err := encode(request)
	if err != nil {
		return err
	}
	replies := make(chan result, 2)
	drawn := c.network.drawDelivery()
	go c.deliver(address, method, payload, drawn, replies)
	if drawn.duplicated {
		drawn.delay *= 2
		go c.deliver(address, method, payload, drawn, replies)
	}
	select {
	case got := <-replies:
		if got.err != nil {
			return got.err
		}
		return reply.UnmarshalVT(got.payload)
	case <-ctx.Done():
		return rpc.ErrTimeout
	case <-c.incarnation.ended:
		return rpc.ErrUnreachable
	}
}

// result is the outcome of a call at the callee.
type result struct {
	payload []byte
	err     error
}

// deliver carries a request to its machine and the reply back. A lost message ends it without a result, as does a machine
// that is powered off; a machine that runs but does not serve refuses the connection at once.
func (c *Caller) deliver(address string, method rpc.Method, payload []byte, drawn delivery, replies chan<- result) {
	from := c.incarnation.machine.address
	if !c.incarnation.awaitRunning() {
		return
	}
	c.network.count(payload)
	<-time.After(drawn.delay)
	if drawn.lost || c.network.isPartitioned(from, address) {
		return
	}
	target := c.network.machine(address)
	if target == nil || target.isPoweredOff() {
		return
	}
	callee := target.current()
	if callee == nil || !callee.serving.Load() {
		replies <- result{err: rpc.ErrUnreachable}
		return
	}
	if !callee.awaitRunning() {
		return
	}
	response, err := callee.Server.Dispatch(context.Background(), method, slices.Clone(payload))
	if !callee.awaitRunning() {
		return
	}
	replyDelivery := c.network.drawDelivery()
	<-time.After(replyDelivery.delay)
	if replyDelivery.lost || c.network.isPartitioned(address, from) || !c.incarnation.awaitRunning() {
		return
	}
	got := result{err: rpc.ErrRejected}
	if err == nil {
		got.payload, got.err = encode(response)
	}
	c.network.count(got.payload)
	replies <- got
}

func encode(message rpc.Message) ([]byte, error) {
	data := make([]byte, message.SizeVT())
	_, err := message.MarshalToSizedBufferVT(data)
	return data, err
}
