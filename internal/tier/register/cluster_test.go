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

// cluster is a set of coordinators in a simulated network. It runs in a synctest bubble, so time is simulated.
type cluster struct {
	t       *testing.T
	random  *rand.Rand
	network *simulation.Network
	seeds   []string
	members []*member
}

// member is one machine with its current process.
type member struct {
	cluster *cluster
	machine *simulation.Machine

	mu       sync.Mutex
	acceptor *Acceptor
	proposer *Proposer
	known    *tierpb.ControlState       // newest chosen value that this process knows
	stop     func(failpoint.Point) bool // reports whether the process stops at a failpoint; nil for never
}

// newCluster bootstraps count coordinators. The first ones, as many as seeds says, are the seeds and thus the voters.
func newCluster(t *testing.T, seed uint64, seeds, count int, conditions simulation.LinkConditions) *cluster {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	c := &cluster{t: t, random: random, network: simulation.NewNetwork(rand.New(rand.NewPCG(seed, 2)), conditions)}
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
	t.Cleanup(c.stopAll)
	return c
}

// stopAll kills all processes and waits until every goroutine of the bubble has returned.
func (c *cluster) stopAll() {
	for _, m := range c.members {
		m.machine.Kill()
		m.machine.Thaw()
	}
	<-time.After(time.Minute)
}

// start starts a new process on the machine's disk as it is, and reports whether the acceptor could be opened.
func (m *member) start(bootstrap bool) bool {
	incarnation := m.machine.Start()
	points := &failpoint.Points{ShouldStop: func(point failpoint.Point) bool { return m.stopsAt(incarnation, point) }}
	acceptor, err := OpenAcceptor(AcceptorOptions{
		Disk: incarnation.Mount(), Folder: folder, Address: m.machine.Address(), Bootstrap: bootstrap, Seeds: m.cluster.seeds,
		Failpoints: points,
	})
	if err != nil {
		incarnation.Stop()
		return false
	}
	acceptor.Serve(incarnation.Server)
	incarnation.Listen()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known = nil
	m.acceptor = acceptor
	m.proposer = NewProposer(ProposerOptions{
		Caller: incarnation.Caller(), Local: acceptor, KnownState: m.newestKnown, OnChosen: m.learn, Failpoints: points,
		Jitter: m.cluster.jitter,
	})
	return true
}

// stopsAt reports whether a process stops at a failpoint, and stops its incarnation if the test asks for it.
func (m *member) stopsAt(incarnation *simulation.Incarnation, point failpoint.Point) bool {
	select {
	case <-incarnation.Ended():
		return true
	default:
	}
	m.mu.Lock()
	stop := m.stop
	m.mu.Unlock()
	if stop == nil || !stop(point) {
		return false
	}
	incarnation.Stop()
	return true
}

// stopWhen sets a hook that is called at each failpoint. If it returns true, the member stops there.
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

// learn updates the known value if the given one is newer, as a watch would.
func (m *member) learn(state *tierpb.ControlState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known == nil || state.GetVersion() > m.known.GetVersion() {
		m.known = state
	}
}

func (m *member) node() *tierpb.Node {
	return &tierpb.Node{Address: m.machine.Address(), Identity: m.currentAcceptor().Identity(), Role: tierpb.Role_ROLE_COORDINATOR}
}

func (m *member) currentAcceptor() *Acceptor {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.acceptor
}

func (m *member) currentProposer() *Proposer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.proposer
}

func (c *cluster) jitter(longest time.Duration) time.Duration { return longest / 2 }

// put changes the configuration from one generation to another, as an operator does, and returns the generation that is
// then current.
func (m *member) put(limit time.Duration, from, to uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	chosen, err := m.currentProposer().Change(ctx, putFunc(from, to))
	return chosen.GetConfiguration().GetGeneration(), err
}

// errConflict stands for the HTTP status 412, Precondition Failed.
var errConflict = fmt.Errorf("another generation is current")

func putFunc(from, to uint64) ChangeFunc {
	return func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		for _, committed := range current.CommittedChanges {
			if committed.Generation == to {
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
	return m.currentProposer().Read(ctx)
}

// logStates logs the state of every member.
func (c *cluster) logStates() {
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
		state := m.currentAcceptor().state.Load()
		c.t.Logf("%s/%x prepared %v accepted %v %s", m.machine.Address(), m.currentAcceptor().Identity(), state.prepared,
			state.accepted, sets(state.value))
		c.t.Logf("    known: %s; newest of the proposer: %s", sets(m.newestKnown()), sets(m.currentProposer().newest))
	}
}

// mustRead reads at one member, which must succeed.
func (m *member) mustRead() *tierpb.ControlState {
	m.cluster.t.Helper()
	state, err := m.read(20 * time.Second)
	if err != nil {
		m.cluster.logStates()
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

// reliableLinks are links without faults.
var reliableLinks = simulation.LinkConditions{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond}

// shareNewestState makes the newest chosen value known to all members, as watches would. A member that still knows none
// gets an accepted value.
func (c *cluster) shareNewestState() {
	for _, m := range c.members {
		for _, other := range c.members {
			if state := other.newestKnown(); state != nil {
				m.learn(state)
			}
			if state := other.currentAcceptor().AcceptedValue(); m.newestKnown() == nil && state != nil {
				m.learn(state)
			}
		}
	}
}

// newReliableCluster bootstraps a cluster with reliable links and a fixed random seed.
func newReliableCluster(t *testing.T, seeds, count int) *cluster {
	t.Helper()
	return newCluster(t, 1, seeds, count, reliableLinks)
}

// partition cuts the links between two groups.
func partition(c *cluster, one, other []*member) {
	for _, m := range one {
		for _, n := range other {
			c.network.Partition(m.machine.Address(), n.machine.Address(), true)
			c.network.Partition(n.machine.Address(), m.machine.Address(), true)
		}
	}
}

// changeVoters replaces the third voter with the fourth member.
func (c *cluster) changeVoters(m *member) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := ChangeVoters(ctx, m.currentProposer(), func(current *tierpb.ControlState) []*tierpb.Node {
		set := current.Voters[0].Nodes
		return []*tierpb.Node{set[0], set[1], c.members[3].node()}
	})
	return err
}

// leaveJoint completes an incomplete change of voters.
func (c *cluster) leaveJoint(m *member) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	state, err := LeaveJoint(ctx, m.currentProposer())
	assert.NilError(c.t, err)
	assert.Equal(c.t, len(state.Voters), 1)
}

// restartAll restarts all processes that have stopped, and shares the newest state with those whose disks are empty.
func (c *cluster) restartAll() {
	for _, m := range c.members {
		m.machine.Thaw()
		for !m.machine.Running() {
			m.start(false)
		}
	}
	<-time.After(5 * time.Second)
	c.shareNewestState()
}
