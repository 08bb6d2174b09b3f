// Package fleet holds scale tests of the control plane: hundreds of hollow agents, with coordinators and stores, in one
// process, over the simulated network and under the clock of a testing/synctest bubble.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Sizes and times of the fleet.
const (
	agentCount        = 100
	storeCount        = 300
	coordinatorCount  = 5
	zoneCount         = 3
	routeCount        = 100
	heartbeat         = time.Second
	stepTime          = 50 * time.Millisecond
	maintenancePeriod = 750 * time.Millisecond
	warmUpTime        = 2 * time.Second // until all stores have sent heartbeats and every agent has its sources
	startTime         = 2 * time.Second // within which a coordinator finds its peers
	callTime          = 400 * time.Millisecond
	endTime           = 6 * time.Second // after which no call is in progress
)

// fleet is all processes of the control plane, and the records of the checks.
type fleet struct {
	t            *testing.T
	random       *rand.Rand
	network      *simulation.Network
	coordinators []*coordinator
	agents       []*agent
	stores       []*store
	numbers      int // of store incarnations
	ended        map[string]bool
	tick         int
	growing      bool // stores have started that are not in all endpoint lists yet
	begun        time.Time
	running      sync.WaitGroup
}

// store is one incarnation of a store that sends heartbeats.
type store struct {
	instance *tierpb.Instance
	expected bool // must be in all endpoint lists until the end of the test
	first    int  // tick of its first heartbeat
}

// inFleet runs a test in a bubble with all processes started and all agents up to date.
func inFleet(t *testing.T, seed uint64, test func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 7))
		f := &fleet{t: t, random: random, ended: make(map[string]bool), begun: time.Now()}
		f.network = simulation.NewNetwork(rand.New(rand.NewPCG(seed, 8)), simulation.LinkConditions{MinDelay: 200 * time.Microsecond, MaxDelay: 2 * time.Millisecond})
		for i := range coordinatorCount {
			f.coordinators = append(f.coordinators, newCoordinator(f, i))
		}
		for i := range storeCount {
			f.stores = append(f.stores, f.newStore(i))
		}
		defer f.stop()
		for _, c := range f.coordinators {
			c.start()
		}
		f.configure(1)
		for i := range agentCount {
			a := newAgent(f, i)
			f.agents = append(f.agents, a)
			a.start()
		}
		f.advance(warmUpTime)
		f.requireAllKnown()
		test(f)
	})
}

func (f *fleet) stop() {
	for _, a := range f.agents {
		a.machine.Kill()
		if a.cancel != nil {
			a.cancel()
		}
	}
	for _, c := range f.coordinators {
		c.kill()
	}
	f.running.Wait()
	<-time.After(endTime)
}

// newStore creates an incarnation of a store that sends heartbeats from the next steps on.
func (f *fleet) newStore(i int) *store {
	f.numbers++
	instance := &tierpb.Instance{
		Id: fmt.Sprintf("store-%d-%d", i, f.numbers), Backend: "engines", Zone: zoneOf(i), Generation: "g1", Slots: 8,
		Address: fmt.Sprintf("10.9.%d.%d:8000", i/200, i%200), Models: []string{"model-a"}, Sequence: 1,
	}
	return &store{instance: instance, expected: true, first: f.tick}
}

// configure gives a new control state to the first running coordinator, as the register's proposer does.
func (f *fleet) configure(version uint64) {
	control := &tierpb.ControlState{
		Version: version, Configuration: &tierpb.Configuration{Generation: version, Body: body(version)},
	}
	set := &tierpb.VoterSet{}
	for _, c := range f.coordinators {
		set.Nodes = append(set.Nodes, c.self)
	}
	control.Voters = []*tierpb.VoterSet{set}
	for _, c := range f.coordinators {
		if c.alive() && c.hasMajority() || version == 1 {
			c.state.SetControl(control)
			if version > 1 {
				return
			}
		}
	}
}

// body returns a configuration of many routes, of which one changes with each version.
func body(version uint64) []byte {
	var text []byte
	for i := range routeCount {
		aim := uint64(250)
		if uint64(i) == version%routeCount {
			aim += version
		}
		text = fmt.Appendf(text, `{"name":"route-%d","path":"/v1/route-%d","service":"engines","targetLatencyMs":%d},`, i, i, aim)
	}
	return text
}

// advance lets simulated time pass in steps, with the heartbeats that are due, and checks the invariants after each.
func (f *fleet) advance(duration time.Duration) {
	for range duration / stepTime {
		f.step()
	}
}

func (f *fleet) step() {
	<-time.After(stepTime)
	synctest.Wait()
	f.tick++
	beatTicks := int(heartbeat / stepTime)
	for i, s := range f.stores {
		if (f.tick-s.first+i)%beatTicks == 0 || f.tick == s.first+1 {
			f.sendHeartbeat(s)
		}
	}
	if f.tick%int(maintenancePeriod/stepTime) == 0 {
		for _, c := range f.coordinators {
			c.runMaintenance()
		}
	}
	for _, a := range f.agents {
		a.check()
	}
}

// sendHeartbeat delivers a heartbeat to a coordinator that accepts them, another one each time.
func (f *fleet) sendHeartbeat(s *store) {
	s.instance = s.instance.CloneVT()
	s.instance.Sequence++
	if c := f.anyCoordinator(); c != nil {
		c.state.Upsert(s.instance)
	}
}

// anyCoordinator returns a coordinator that runs and has a majority of peers, nil if there is none.
func (f *fleet) anyCoordinator() *coordinator {
	first := f.random.IntN(coordinatorCount)
	for i := range coordinatorCount {
		if c := f.coordinators[(first+i)%coordinatorCount]; c.alive() && c.hasMajority() {
			return c
		}
	}
	return nil
}

// endStore delivers the drain or deregistration of a store to one coordinator, which announces it to its peers.
func (f *fleet) endStore(s *store, state tierpb.InstanceState) {
	s.expected = false
	s.instance = s.instance.CloneVT()
	s.instance.Sequence++
	s.instance.State = state
	f.ended[s.instance.Id] = true
	c := f.anyCoordinator()
	c.state.Upsert(s.instance)
	request := &tierpb.AnnounceRequest{Instances: []*tierpb.Instance{s.instance}, From: c.self}
	for _, other := range f.coordinators {
		if other != c {
			f.running.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), callTime)
				defer cancel()
				_ = c.caller().Call(ctx, other.self.Address, rpc.MethodAnnounce, request, &tierpb.AnnounceReply{})
			})
		}
	}
}

// advanceUntil lets time pass until the condition holds for all agents, and returns how long that took.
func (f *fleet) advanceUntil(bound time.Duration, agrees func(*agent) bool) time.Duration {
	f.t.Helper()
	from := time.Now()
	for time.Since(from) <= bound {
		lacking := 0
		for _, a := range f.agents {
			if !agrees(a) {
				lacking++
			}
		}
		if lacking == 0 {
			return time.Since(from)
		}
		f.step()
	}
	f.t.Fatalf("not all agents agree within %v", bound)
	return 0
}

func (f *fleet) requireAllKnown() {
	f.t.Helper()
	for _, a := range f.agents {
		assert.Assert(f.t, a.knowsAll(), "%s knows %d stores", a.self.Name, a.state.Count(tierpb.InstanceState_INSTANCE_READY))
	}
}

// expectedStores returns the number of stores that must be in all endpoint lists.
func (f *fleet) expectedStores() int {
	count := 0
	for _, s := range f.stores {
		if s.expected {
			count++
		}
	}
	return count
}

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%zoneCount) }

// pollBytes returns the bytes of a poll.
func pollBytes(request, reply rpc.Message) int { return request.SizeVT() + reply.SizeVT() }
