// Package simulation holds a network, disks and processes for tests: seeded, under the clock of a testing/synctest
// bubble, with cuts, delays, lost messages, freezes, losses of power and of disks. Nothing outside tests uses it.
package simulation

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
)

// Network carries calls between machines. Its fields may be changed with Set while it is in use.
type Network struct {
	mu       sync.Mutex
	random   *rand.Rand
	machines map[string]*Machine // by address
	cuts     map[link]bool
	traits   LinkConditions
	sent     int // bytes of requests and answers
}

// LinkConditions of the links.
type LinkConditions struct {
	MinDelay, MaxDelay time.Duration // delay one way
	LossRate           float64       // share of messages, requests and replies, that vanish
	LateRate           float64       // share that takes up to Latest
	MaxLateDelay       time.Duration
	DuplicateRate      float64 // share of requests that arrive twice
}

type link struct{ from, to string }

// NewNetwork makes a network without machines.
func NewNetwork(random *rand.Rand, traits LinkConditions) *Network {
	return &Network{
		random:   random,
		machines: make(map[string]*Machine),
		cuts:     make(map[link]bool),
		traits:   traits,
	}
}

// SetConditions replaces the traits of the links.
func (n *Network) SetConditions(traits LinkConditions) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.traits = traits
}

// Partition makes one direction lose all messages, or heals it.
func (n *Network) Partition(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link{from, to}] = cut
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

// BytesSent returns the bytes of all requests and answers so far.
func (n *Network) BytesSent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

func (n *Network) count(payload []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent += len(payload)
}

// passage draws what becomes of one message.
type passage struct {
	delay   time.Duration
	lost    bool
	doubled bool
}

func (n *Network) draw(from, to string) passage {
	n.mu.Lock()
	defer n.mu.Unlock()
	traits := n.traits
	drawn := passage{
		delay:   traits.MinDelay + n.between(traits.MaxDelay-traits.MinDelay),
		lost:    n.random.Float64() < traits.LossRate,
		doubled: n.random.Float64() < traits.DuplicateRate,
	}
	if n.random.Float64() < traits.LateRate {
		drawn.delay = n.between(traits.MaxLateDelay)
	}
	return drawn
}

func (n *Network) between(longest time.Duration) time.Duration {
	if longest <= 0 {
		return 0
	}
	return time.Duration(n.random.Int64N(int64(longest)))
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[link{from, to}]
}

func (n *Network) machine(address string) *Machine {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machines[address]
}

// Caller makes the calls of one life of a machine; it implements rpc.Caller.
type Caller struct {
	network *Network
	life    *Incarnation
}

// Call implements rpc.Caller. A request may arrive after its caller has given up, and be answered all the same.
func (c *Caller) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	payload, err := encode(request)
	if err != nil {
		return err
	}
	answers := make(chan result, 2)
	drawn := c.network.draw(c.life.machine.address, address)
	go c.deliver(address, method, payload, drawn, answers)
	if drawn.doubled {
		drawn.delay *= 2
		go c.deliver(address, method, payload, drawn, answers)
	}
	select {
	case got := <-answers:
		if got.err != nil {
			return got.err
		}
		return reply.UnmarshalVT(got.payload)
	case <-ctx.Done():
		return rpc.ErrTimeout
	case <-c.life.ended:
		return rpc.ErrUnreachable
	}
}

type result struct {
	payload []byte
	err     error
}

// deliver takes a request to its machine and the answer back.
func (c *Caller) deliver(address string, method rpc.Method, payload []byte, drawn passage, answers chan<- result) {
	from := c.life.machine.address
	if !c.life.running() {
		return
	}
	c.network.count(payload)
	<-time.After(drawn.delay)
	if drawn.lost || c.network.isCut(from, address) {
		return
	}
	target := c.network.machine(address)
	if target == nil || target.off() {
		return
	}
	life := target.current()
	if life == nil || !life.serving.Load() {
		answers <- result{err: rpc.ErrUnreachable}
		return
	}
	if !life.running() {
		return
	}
	answer, err := life.Server.Answer(context.Background(), method, slices.Clone(payload))
	if !life.running() {
		return
	}
	back := c.network.draw(address, from)
	<-time.After(back.delay)
	if back.lost || c.network.isCut(address, from) || !c.life.running() {
		return
	}
	got := result{err: rpc.ErrRefused}
	if err == nil {
		got.payload, got.err = encode(answer)
	}
	c.network.count(got.payload)
	answers <- got
}

func encode(message rpc.Message) ([]byte, error) {
	data := make([]byte, message.SizeVT())
	_, err := message.MarshalToSizedBufferVT(data)
	return data, err
}
