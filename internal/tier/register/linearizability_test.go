package register

import (
	"context"
	"errors"
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

var (
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the random schedules")
	seedCount = flag.Int("seeds", 60, "number of random schedules")
)

// Simulated time for which a random schedule injects faults, and the bound of the recovery afterwards.
const (
	faultDuration   = 20 * time.Second
	recoveryTimeout = 60 * time.Second
)

// schedule is one random run of operations and faults.
type schedule struct {
	*cluster
	mu         sync.Mutex
	history    []porcupine.Operation
	next       uint64 // generation of the last change sent
	newest     uint64 // generation of the last successful operation
	wiped      identitySet
	wipedAt    time.Time // time of the last wipe
	planned    []plannedVoters
	recovering bool // failpoints no longer stop processes
}

// plannedVoters is a voter set that a proposer may be about to propose.
type plannedVoters struct {
	at    time.Time
	nodes []*tierpb.Node
}

// planTimeout bounds how long a planned voter set may still be proposed.
const planTimeout = 20 * time.Second

// wipeInterval is the minimum time between two disk losses, in which the wiped machine can catch up.
const wipeInterval = 5 * time.Second

// TestRandomSchedulesAreLinearizable runs changes, reads and changes of voters during kills, power losses, disk losses,
// partitions, freezes and full disks, and checks that every history is linearizable.
func TestRandomSchedulesAreLinearizable(t *testing.T) {
	count := *seedCount
	if testing.Short() {
		count = min(count, 40)
	}
	var sum scheduleStats
	for i := range count {
		seed := *firstSeed + uint64(i)
		synctest.Test(t, func(t *testing.T) { runSchedule(t, seed, &sum) })
		if t.Failed() {
			t.FailNow()
		}
	}
	t.Logf("%d schedules: %+v", count, sum)
}

// scheduleStats counts what happened in the schedules. The log shows whether the faults and operations really took place.
type scheduleStats struct {
	Done, Conflicts, Unknown, Unavailable, Reads int
	Kills, PowerLosses, Wipes, Replaced, Stops   int
	Versions, Epochs                             uint64
	Undecided                                    int // histories that porcupine could not decide in time
}

func runSchedule(t *testing.T, seed uint64, sum *scheduleStats) {
	t.Helper()
	defer func() {
		if t.Failed() {
			t.Logf("seed %d failed", seed)
		}
	}()
	random := rand.New(rand.NewPCG(seed, 0))
	count := 3 + random.IntN(4)
	conditions := simulation.LinkConditions{
		MinDelay: 500 * time.Microsecond, MaxDelay: 10 * time.Millisecond,
		LossRate: random.Float64() * 0.1, LateRate: random.Float64() * 0.1, MaxLateDelay: 3 * time.Second, DuplicateRate: random.Float64() * 0.1,
	}
	s := &schedule{cluster: newCluster(t, seed, 3, count, conditions), wiped: identitySet{}}
	s.random = random
	if random.IntN(2) == 0 {
		s.stopAtFailpoints(sum, random.Float64()*0.01)
	}
	ctx, cancel := context.WithTimeout(t.Context(), faultDuration)
	defer cancel()
	var clients sync.WaitGroup
	for i := range 2 + random.IntN(4) {
		clients.Go(func() { s.runClient(ctx, i, rand.New(rand.NewPCG(seed, 100+uint64(i))), sum) })
	}
	clients.Go(func() { s.replaceVoters(ctx, rand.New(rand.NewPCG(seed, 200)), sum) })
	s.injectFaults(ctx, sum)
	clients.Wait()
	s.recoverAll(sum)
	result := porcupine.CheckOperationsTimeout(registerModel, s.history, 30*time.Second)
	if result == porcupine.Unknown {
		sum.Undecided++
	}
	assert.Assert(t, result != porcupine.Illegal, "seed %d: history is not linearizable", seed)
}

// stopAtFailpoints stops processes at random failpoints.
func (s *schedule) stopAtFailpoints(sum *scheduleStats, share float64) {
	for i, m := range s.members {
		random := rand.New(rand.NewPCG(uint64(i), math.Float64bits(share)))
		var mu sync.Mutex
		m.stopWhen(func(failpoint.Point) bool {
			mu.Lock()
			defer mu.Unlock()
			if random.Float64() >= share {
				return false
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			sum.Stops++
			return !s.recovering
		})
	}
}

// runClient puts and reads at random members until ctx ends.
func (s *schedule) runClient(ctx context.Context, number int, random *rand.Rand, sum *scheduleStats) {
	for ctx.Err() == nil {
		<-time.After(time.Duration(random.IntN(300)) * time.Millisecond)
		m := s.members[random.IntN(len(s.members))]
		if m.machine.Running() {
			s.operate(number, m, random, sum)
		}
	}
}

func (s *schedule) operate(number int, m *member, random *rand.Rand, sum *scheduleStats) {
	limit := time.Duration(200+random.IntN(3000)) * time.Millisecond
	request := operation{read: random.IntN(3) == 0}
	if !request.read {
		request.from, request.to = s.nextGenerations(random)
	}
	called := time.Now()
	var result outcome
	var err error
	if request.read {
		var state *tierpb.ControlState
		state, err = m.read(limit)
		result.generation = state.GetConfiguration().GetGeneration()
	} else {
		result.generation, err = m.put(limit, request.from, request.to)
	}
	s.record(number, request, result, err, called, sum)
}

// nextGenerations returns the generations of the next change. Most changes are based on the newest generation.
func (s *schedule) nextGenerations(random *rand.Rand) (from, to uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	from = s.newest
	if random.IntN(8) == 0 {
		from = random.Uint64N(s.next)
	}
	return from, s.next
}

func (s *schedule) record(number int, request operation, result outcome, err error, called time.Time, sum *scheduleStats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := time.Now().UnixNano()
	switch {
	case err == nil && request.read:
		sum.Reads++
		s.newest = result.generation
	case err == nil:
		sum.Done++
		s.newest = request.to
	case errors.Is(err, errConflict):
		result.conflict = true
		sum.Conflicts++
	case errors.Is(err, ErrUncertain):
		result.unknown = true
		ended = math.MaxInt64
		sum.Unknown++
	case errors.Is(err, ErrUnavailable):
		result.notExecuted = true
		sum.Unavailable++
	default:
		assert.NilError(s.t, err)
	}
	s.history = append(s.history, porcupine.Operation{
		ClientId: number, Input: request, Call: called.UnixNano(), Output: result, Return: ended,
	})
}

// replaceVoters changes voters as placement lease holders do, sometimes two of them concurrently.
func (s *schedule) replaceVoters(ctx context.Context, random *rand.Rand, sum *scheduleStats) {
	for ctx.Err() == nil {
		<-time.After(time.Duration(random.IntN(1500)) * time.Millisecond)
		m := s.members[random.IntN(len(s.members))]
		if !m.machine.Running() {
			continue
		}
		choices := rand.New(rand.NewPCG(random.Uint64(), 0))
		choose := func(state *tierpb.ControlState) []*tierpb.Node { return s.planVoters(state, choices) }
		limited, cancel := context.WithTimeout(ctx, 3*time.Second)
		done := func() {
			defer cancel()
			if _, err := ChangeVoters(limited, m.currentProposer(), choose); err == nil {
				s.mu.Lock()
				defer s.mu.Unlock()
				sum.Replaced++
			}
		}
		if random.IntN(4) == 0 {
			go done()
		} else {
			done()
		}
	}
}

// planVoters chooses voters and records the choice, so that wipe spares the disks on which it relies.
func (s *schedule) planVoters(state *tierpb.ControlState, random *rand.Rand) []*tierpb.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	nodes := s.nextVoters(state, random)
	s.planned = append(s.planned, plannedVoters{at: time.Now(), nodes: nodes})
	return nodes
}

// nextVoters returns voters in which one is replaced, preferably a wiped one. Sometimes it adds or drops two, so that the
// number stays odd.
func (s *schedule) nextVoters(state *tierpb.ControlState, random *rand.Rand) []*tierpb.Node {
	set := state.Voters[len(state.Voters)-1].Nodes
	nodes := append([]*tierpb.Node{}, set...)
	alreadyVoters := identitySet{}
	for _, node := range nodes {
		alreadyVoters.add(node.Identity)
	}
	var fresh []*tierpb.Node
	for _, m := range s.members {
		if node := m.node(); m.machine.Running() && !alreadyVoters.has(node.Identity) {
			fresh = append(fresh, node)
		}
	}
	random.Shuffle(len(fresh), func(i, j int) { fresh[i], fresh[j] = fresh[j], fresh[i] })
	out := slices.IndexFunc(nodes, func(node *tierpb.Node) bool { return s.wiped.has(node.Identity) })
	switch {
	case len(nodes) == 3 && len(fresh) >= 2 && random.IntN(4) == 0:
		return append(nodes, fresh[:2]...)
	case len(nodes) == 5 && out < 0 && random.IntN(4) == 0:
		return nodes[:3]
	case len(fresh) == 0:
		return nodes
	case out < 0:
		out = random.IntN(len(nodes))
	}
	nodes[out] = fresh[0]
	return nodes
}

// injectFaults injects random faults until ctx ends.
func (s *schedule) injectFaults(ctx context.Context, sum *scheduleStats) {
	for ctx.Err() == nil {
		<-time.After(time.Duration(s.random.IntN(800)) * time.Millisecond)
		m := s.members[s.random.IntN(len(s.members))]
		other := s.members[s.random.IntN(len(s.members))]
		switch s.random.IntN(22) {
		case 0:
			sum.Kills++
			m.machine.Kill()
		case 1:
			sum.PowerLosses++
			m.machine.PowerLoss()
		case 2:
			s.wipe(m, sum)
		case 3:
			s.failAll(sum)
		case 4:
			s.network.Partition(m.machine.Address(), other.machine.Address(), true)
		case 5:
			s.isolate(m)
		case 6:
			s.network.Heal()
		case 7:
			m.machine.Freeze()
		case 8:
			m.machine.Disk.SetFault(simulation.DiskFault{Full: s.random.IntN(2) == 0, SyncFails: s.random.IntN(2) == 0})
		case 9:
			m.machine.Disk.SetFault(simulation.DiskFault{SyncDelay: time.Duration(s.random.IntN(400)) * time.Millisecond})
		case 10:
			m.machine.Disk.SetFault(simulation.DiskFault{})
		case 11:
			if state := other.newestKnown(); state != nil {
				m.learn(state)
			}
		default:
			s.thawAndStart(false)
		}
	}
}

// failAll kills all processes, or cuts the power of all machines, at the same moment. One disk may be lost as well.
func (s *schedule) failAll(sum *scheduleStats) {
	powerLoss := s.random.IntN(2) == 0
	for _, m := range s.members {
		if powerLoss {
			m.machine.PowerLoss()
		} else {
			m.machine.Kill()
		}
	}
	if s.random.IntN(2) == 0 {
		s.wipe(s.members[s.random.IntN(len(s.members))], sum)
	}
	s.thawAndStart(true)
}

// isolate partitions one member from all others in both directions.
func (s *schedule) isolate(m *member) {
	for _, other := range s.members {
		s.network.Partition(m.machine.Address(), other.machine.Address(), true)
		s.network.Partition(other.machine.Address(), m.machine.Address(), true)
	}
}

// thawAndStart thaws and restarts all members, or a random half of them.
func (s *schedule) thawAndStart(all bool) {
	for _, m := range s.members {
		if !all && s.random.IntN(2) == 0 {
			continue
		}
		m.machine.Thaw()
		if !m.machine.Running() {
			m.start(false)
		}
	}
}

// wipe empties a disk, unless the last wipe was too recent or a voter set that any member knows, has accepted or plans would
// lose its majority.
func (s *schedule) wipe(m *member, sum *scheduleStats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lostIdentity := m.currentAcceptor().Identity()
	if !s.wipedAt.IsZero() && time.Since(s.wipedAt) < wipeInterval {
		return
	}
	lost := func(identity uint64) bool { return identity == lostIdentity || s.wiped.has(identity) }
	for _, other := range s.members {
		for _, state := range []*tierpb.ControlState{other.currentAcceptor().AcceptedValue(), other.newestKnown()} {
			if state != nil && !HasQuorum(state.Voters, func(identity uint64) bool { return !lost(identity) }) {
				return
			}
		}
	}
	for _, plan := range s.planned {
		set := []*tierpb.VoterSet{{Nodes: plan.nodes}}
		if time.Since(plan.at) < planTimeout && !HasQuorum(set, func(identity uint64) bool { return !lost(identity) }) {
			return
		}
	}
	sum.Wipes++
	s.wipedAt = time.Now()
	s.wiped.add(lostIdentity)
	m.machine.Wipe()
}

// recoverAll ends all faults. Every member must then be able to read and change the register.
func (s *schedule) recoverAll(sum *scheduleStats) {
	s.mu.Lock()
	s.recovering = true
	s.mu.Unlock()
	s.network.Heal()
	s.network.SetConditions(reliableLinks)
	for _, m := range s.members {
		m.machine.Disk.SetFault(simulation.DiskFault{})
		m.machine.Thaw()
		for !m.machine.Running() || m.currentAcceptor() == nil {
			m.start(false)
		}
	}
	<-time.After(5 * time.Second) // operations in flight end
	s.shareNewestState()
	s.finalPut(sum)
	first := s.members[0].mustRead()
	for i, m := range s.members {
		called := time.Now()
		state := m.mustRead()
		s.record(1000+i, operation{read: true}, outcome{generation: state.Configuration.GetGeneration()}, nil, called, sum)
		assert.Equal(s.t, state.Version, first.Version)
	}
	sum.Versions += first.Version
	sum.Epochs += first.Epoch
}

// finalPut makes one last change. An earlier change with an unknown outcome may still take effect before it, and none can
// after it.
func (s *schedule) finalPut(sum *scheduleStats) {
	m := s.members[len(s.members)-1]
	for range 10 {
		from := m.mustRead().Configuration.GetGeneration()
		s.next++
		called := time.Now()
		generation, err := m.put(20*time.Second, from, s.next)
		s.record(2000, operation{from: from, to: s.next}, outcome{generation: generation}, err, called, sum)
		if err == nil {
			break
		}
		assert.ErrorIs(s.t, err, errConflict)
	}
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	_, err := LeaveJoint(ctx, m.currentProposer())
	assert.NilError(s.t, err)
}
