package register

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const folder = "data"

// cluster is a set of coordinators in a simulated network; it runs in a synctest bubble.
type cluster struct {
	t       *testing.T
	random  *rand.Rand
	network *simulation.Network
	seeds   []string
	members []*member
}

// member is one machine with its present process.
type member struct {
	cluster *cluster
	machine *simulation.Machine

	mu       sync.Mutex
	acceptor *Acceptor
	proposer *Proposer
	known    *tierpb.ControlState // newest chosen value that has come to this process
	stop     func(failpoint.Point) bool
}

// newCluster starts count coordinators for the first time, of which the first are the seeds.
func newCluster(t *testing.T, seed uint64, seeds, count int, traits simulation.LinkConditions) *cluster {
	random := rand.New(rand.NewPCG(seed, 1))
	c := &cluster{t: t, random: random, network: simulation.NewNetwork(rand.New(rand.NewPCG(seed, 2)), traits)}
	for i := range count {
		address := fmt.Sprintf("10.0.0.%d:7380", i+1)
		if i < seeds {
			c.seeds = append(c.seeds, address)
		}
		machine := c.network.NewMachine(address, rand.New(rand.NewPCG(seed, uint64(3+i))))
		c.members = append(c.members, &member{cluster: c, machine: machine})
	}
	for _, m := range c.members {
		m.start(true)
	}
	t.Cleanup(c.end)
	return c
}

// end lets every goroutine of the bubble come to its end.
func (c *cluster) end() {
	for _, m := range c.members {
		m.machine.Kill()
		m.machine.Thaw()
	}
	<-time.After(time.Minute)
}

// start begins a new life on whatever the disk holds; it says whether that life got through its start.
func (m *member) start(bootstrap bool) bool {
	life := m.machine.Start()
	points := &failpoint.Points{ShouldStop: func(point failpoint.Point) bool { return m.stopsAt(life, point) }}
	acceptor, err := OpenAcceptor(AcceptorOptions{
		Disk: life.Mount(), Folder: folder, Address: m.machine.Address(), Bootstrap: bootstrap, Seeds: m.cluster.seeds,
		Failpoints: points,
	})
	if err != nil {
		life.Stop()
		return false
	}
	acceptor.Serve(life.Server)
	life.Listen()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known = nil
	m.acceptor = acceptor
	m.proposer = NewProposer(ProposerOptions{
		Caller: life.Caller(), Local: acceptor, KnownState: m.newestKnown, OnChosen: m.learn, Failpoints: points,
		Jitter: m.cluster.pause,
	})
	return true
}

// stopsAt ends the life that passes a point where the test says so.
func (m *member) stopsAt(life *simulation.Incarnation, point failpoint.Point) bool {
	select {
	case <-life.Ended():
		return true
	default:
	}
	m.mu.Lock()
	stop := m.stop
	m.mu.Unlock()
	if stop == nil || !stop(point) {
		return false
	}
	life.Stop()
	return true
}

func (m *member) stopWhen(stop func(failpoint.Point) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stop = stop
}

func (m *member) newestKnown() *tierpb.ControlState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known
}

// learn takes over a chosen value, as a watch would bring it.
func (m *member) learn(state *tierpb.ControlState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known == nil || state.GetVersion() > m.known.GetVersion() {
		m.known = state
	}
}

func (m *member) node() *tierpb.Node {
	return &tierpb.Node{Address: m.machine.Address(), Identity: m.current().Identity(), Role: tierpb.Role_ROLE_COORDINATOR}
}

func (m *member) current() *Acceptor {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.acceptor
}

func (m *member) changer() *Proposer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.proposer
}

func (c *cluster) pause(longest time.Duration) time.Duration { return longest / 2 }

// put changes the configuration from one generation to the next, as an operator does; it returns the generation
// that is current.
func (m *member) put(limit time.Duration, from, to uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	chosen, err := m.changer().Change(ctx, putFunc(from, to))
	return chosen.GetConfiguration().GetGeneration(), err
}

// errConflict is a 412.
var errConflict = fmt.Errorf("another generation is current")

func putFunc(from, to uint64) ChangeFunc {
	return func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		for _, taken := range current.CommittedChanges {
			if taken.Generation == to {
				return current, nil
			}
		}
		if current.GetConfiguration().GetGeneration() != from {
			return nil, errConflict
		}
		current.Configuration = &tierpb.Configuration{Generation: to}
		current.CommittedChanges = append(current.CommittedChanges, &tierpb.CommittedChange{IfMatch: from, Generation: to})
		return current, nil
	}
}

func (m *member) read(limit time.Duration) (*tierpb.ControlState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return m.changer().Read(ctx)
}

// describe logs what every member holds.
func (c *cluster) describe() {
	sets := func(state *tierpb.ControlState) (text string) {
		for _, set := range state.GetVoters() {
			text += "["
			for _, node := range set.Nodes {
				text += fmt.Sprintf("%s/%x ", node.Address, node.Identity)
			}
			text += "]"
		}
		return fmt.Sprintf("version %d epoch %d %s", state.GetVersion(), state.GetEpoch(), text)
	}
	for _, m := range c.members {
		state := m.current().state.Load()
		c.t.Logf("%s/%x promised %v accepted %v %s", m.machine.Address(), m.current().Identity(), state.promised,
			state.accepted, sets(state.value))
		c.t.Logf("    knows %s; proposer newest %s", sets(m.newestKnown()), sets(m.changer().newest))
	}
}

// mustRead reads at one member, which must succeed.
func (m *member) mustRead() *tierpb.ControlState {
	m.cluster.t.Helper()
	state, err := m.read(20 * time.Second)
	if err != nil {
		m.cluster.describe()
	}
	assert.NilError(m.cluster.t, err, "read at %s", m.machine.Address())
	return state
}

// mustPut changes the configuration at one member, which must succeed.
func (m *member) mustPut(from, to uint64) {
	m.cluster.t.Helper()
	generation, err := m.put(20*time.Second, from, to)
	assert.NilError(m.cluster.t, err, "put at %s", m.machine.Address())
	assert.Equal(m.cluster.t, generation, to)
}

// calm are links without trouble.
var calm = simulation.LinkConditions{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond}

// share brings the newest chosen value, or where nobody knows one an accepted value, to all, as watches would.
func (c *cluster) share() {
	for _, m := range c.members {
		for _, other := range c.members {
			if state := other.newestKnown(); state != nil {
				m.learn(state)
			}
			if state := other.current().AcceptedValue(); m.newestKnown() == nil && state != nil {
				m.learn(state)
			}
		}
	}
}
