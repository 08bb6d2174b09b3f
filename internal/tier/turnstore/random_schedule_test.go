package turnstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// schedule applies random events to a cluster that tolerates the failure of one machine. At most one machine at a time is
// down, is partitioned or has lost its disk since the last rebalance, but all may lose power at the same time.
type schedule struct {
	*cluster
	failed          *machine          // nil if all are up
	completedEpochs map[uint64]uint64 // by identity: epoch of the last complete rebalance
	saves           sync.WaitGroup
	saved           savedTurns
	programs        map[string]*budgetUsage
	nextNumber      int
}

// client returns the context and options of a client in a random zone, which may know an older membership.
func (s *schedule) client(seed uint64) (context.Context, context.CancelFunc, replica.Options) {
	random := rand.New(rand.NewPCG(seed, 2))
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	options := s.replicaOptions()
	options.CacheBytes = 1
	options.Zone = string(rune('a' + random.IntN(3)))
	options.Now, options.After = time.Now, time.After
	outdated := s.olderMembership(random.IntN(3))
	options.Membership = func() *tierpb.StoreMembership { return outdated }
	return ctx, cancel, options
}

// runEvent runs the event of a random number below 100.
func (s *schedule) runEvent(event int) {
	switch {
	case event < 40:
		s.save()
	case event < 60:
		s.claimBudget()
	case event < 66:
		s.failMachine()
	case event < 74:
		s.restore()
	case event < 78:
		s.replace()
	case event < 80:
		s.addMachine()
	case event < 82:
		s.removeMachine()
	case event < 95:
		s.rebalanceRandomMember()
	case event < 97:
		s.losePowerEverywhere()
	default:
		s.compactRandomMachine()
	}
}

// save starts to save some turns. Other events happen while they are saved.
func (s *schedule) save() {
	for range 1 + s.random.IntN(3) {
		id := fmt.Sprintf("turn-%d", s.nextNumber)
		s.nextNumber++
		previous := ""
		if saved := s.saved.list(); len(saved) > 0 && s.random.IntN(3) > 0 {
			previous = saved[s.random.IntN(len(saved))]
		}
		record, seed := s.newRecord(id, previous), s.random.Uint64()
		s.saves.Go(func() {
			ctx, cancel, options := s.client(seed)
			defer cancel()
			if turns.NewClient(options).Save(ctx, record) == nil {
				s.saved.add(id)
			}
		})
	}
	time.Sleep(s.latency())
}

// claimBudget makes concurrent claims on the budget of one program and settles some of those that are granted.
func (s *schedule) claimBudget() {
	name := fmt.Sprintf("program-%d", s.random.IntN(4))
	usage := s.programs[name]
	if usage == nil {
		usage = &budgetUsage{budget: uint64(15 + s.random.IntN(60))}
		s.programs[name] = usage
	}
	var calls sync.WaitGroup
	for range 1 + s.random.IntN(4) {
		seed := s.random.Uint64()
		usage.claims++
		request := fmt.Sprintf("%s-%d", name, usage.claims)
		calls.Add(1)
		go func() {
			defer calls.Done()
			s.claim(name, usage, request, seed)
		}()
	}
	calls.Wait()
}

func (s *schedule) claim(name string, usage *budgetUsage, request string, seed uint64) {
	ctx, cancel, options := s.client(seed)
	defer cancel()
	client := budget.NewClient(options)
	if client.Reserve(ctx, name, usage.budget, request, maxTokensPerTurn) != nil {
		client.Wait()
		return
	}
	used := uint64(maxTokensPerTurn)
	if seed%3 == 0 {
		used = seed % maxTokensPerTurn
		client.Settle(name, request, used)
		client.Wait()
	}
	usage.mu.Lock()
	defer usage.mu.Unlock()
	usage.reserved += used
	assert.Check(s.t, usage.reserved <= usage.budget, "%s: %d tokens reserved of a budget of %d", name, usage.reserved, usage.budget)
}

// randomMachine returns a machine that is up.
func (s *schedule) randomMachine() *machine {
	var addresses []string
	for address, m := range s.machines {
		if m.store != nil && m != s.failed {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return s.machines[addresses[s.random.IntN(len(addresses))]]
}

// failMachine fails one machine in a random way.
func (s *schedule) failMachine() {
	if s.failed != nil || len(s.currentMembership().Previous) > 0 {
		return
	}
	s.failed = s.randomMachine()
	switch s.random.IntN(4) {
	case 0:
		s.kill(s.failed)
	case 1:
		s.losePower(s.failed)
	case 2:
		s.wipe(s.failed)
	case 3:
		s.setPartitioned(s.failed, true)
	}
}

// restore restarts the failed machine. If it has a new identity, the membership changes.
func (s *schedule) restore() {
	if s.failed == nil {
		return
	}
	m := s.failed
	s.setPartitioned(m, false)
	if m.store == nil {
		s.start(m)
	}
	s.sendControl(m.store)
	if replica.Contains(s.currentMembership().Current, m.store.Identity()) {
		s.failed = nil
		return
	}
	if len(s.currentMembership().Previous) == 0 {
		s.setMembers(s.currentMembership().Current)
	}
}

// replace replaces the failed machine permanently by an empty one at another address.
func (s *schedule) replace() {
	if s.failed == nil || len(s.currentMembership().Previous) > 0 {
		return
	}
	s.remove(s.failed)
	s.failed = s.add(s.nextAddress(), s.failed.zone)
	s.setMembers(s.currentMembership().Current)
}

func (s *schedule) nextAddress() string {
	s.nextNumber++
	return s.newAddress(s.nextNumber)
}

// addMachine adds a machine, also during a rebalance: the previous members then remain, and the current ones change.
func (s *schedule) addMachine() {
	if len(s.machines) >= 6 || s.failed != nil {
		return
	}
	s.add(s.nextAddress(), "d")
	previous := s.currentMembership().Previous
	if len(previous) == 0 {
		previous = s.currentMembership().Current
	}
	s.setMembers(previous)
}

// removeMachine removes a machine from the membership. The machine is shut down when its records have been transferred.
func (s *schedule) removeMachine() {
	if len(s.machines) <= 3 || s.failed != nil || len(s.currentMembership().Previous) > 0 {
		return
	}
	removed := s.randomMachine()
	before := s.currentMembership().Current
	isRemoved := func(node *tierpb.Node) bool { return node.Address == removed.address }
	s.changeMembership(slices.DeleteFunc(slices.Clone(before), isRemoved), before)
}

// rebalanceRandomMember runs the rebalance of one previous member, and drops the previous members when enough are complete.
func (s *schedule) rebalanceRandomMember() {
	members := s.currentMembership()
	if len(members.Previous) == 0 {
		return
	}
	m := s.randomMachine()
	if replica.Contains(members.Previous, m.store.Identity()) && s.rebalanceWithCrash(m) == nil {
		s.completedEpochs[m.store.Identity()] = members.Epoch
	}
	reported := 0
	for _, node := range members.Previous {
		if s.completedEpochs[node.Identity] >= members.Epoch {
			reported++
		}
	}
	if reported < len(members.Previous)-1 {
		return
	}
	s.dropPrevious()
	for _, m := range s.machines {
		if m.store != nil && !replica.Contains(members.Current, m.store.Identity()) && m != s.failed {
			s.remove(m)
		}
	}
	if s.failed != nil && s.failed.store != nil && replica.Contains(members.Current, s.failed.store.Identity()) {
		s.failed = nil
	}
}

// rebalanceWithCrash runs a rebalance that may crash at a failpoint; the store is then restarted.
func (s *schedule) rebalanceWithCrash(m *machine) error {
	if s.random.IntN(3) > 0 {
		return s.rebalanceOn(m)
	}
	m.crashAfter(s.random.IntN(4))
	err := s.rebalanceOn(m)
	m.disarmCrash()
	if err != nil || m.store.wal.hasFailed() {
		s.kill(m)
		s.start(m)
	}
	return err
}

// losePowerEverywhere cuts the power of all running machines and restarts all; the failed one may stay down.
func (s *schedule) losePowerEverywhere() {
	for _, m := range s.machines {
		if m.store != nil {
			s.losePower(m)
		}
	}
	for _, m := range s.machines {
		if m != s.failed || s.random.IntN(2) == 0 {
			s.start(m)
		}
	}
}

// compactRandomMachine runs a compaction that may crash at a failpoint.
func (s *schedule) compactRandomMachine() {
	m := s.randomMachine()
	m.crashAfter(s.random.IntN(4))
	err := m.store.Compact(context.Background())
	m.disarmCrash()
	if errors.Is(err, failpoint.ErrStopped) || m.store.wal.hasFailed() {
		s.losePower(m)
		s.start(m)
	}
}

// check reads the chain of every acknowledged turn and verifies its records' inputs and order.
func (s *schedule) check() {
	s.saves.Wait()
	s.sendControlToAll()
	for _, id := range s.saved.list() {
		ctx, cancel, options := s.client(s.random.Uint64())
		chain, err := turns.NewClient(options).Chain(ctx, id)
		cancel()
		assert.NilError(s.t, err, "%s\n%s", id, s.describe(id))
		for i, record := range chain {
			assert.Equal(s.t, string(record.Input), "in of "+record.Id)
			if i > 0 {
				assert.Equal(s.t, record.Previous, chain[i-1].Id)
			}
		}
	}
}

// describe lists the machines and which of them have a turn.
func (s *schedule) describe(id string) string {
	text := fmt.Sprintf("epoch %d, previous %d", s.currentMembership().Epoch, len(s.currentMembership().Previous))
	for address, m := range s.machines {
		if m.store == nil {
			text += fmt.Sprintf("\n%s is down", address)
			continue
		}
		m.store.mu.Lock()
		text += fmt.Sprintf("\n%s identity %d epoch %d partitioned %v failed %v has the turn %v write-ahead log error %v", address, m.store.identity,
			m.store.membership.GetEpoch(), s.partitioned[address], m == s.failed, m.store.state.records[id] != nil, m.store.wal.checkWritable())
		m.store.mu.Unlock()
	}
	return text
}

// savedTurns is a list of the turns that were acknowledged. It is safe for concurrent use.
type savedTurns struct {
	mu  sync.Mutex
	ids []string
}

func (s *savedTurns) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids = append(s.ids, id)
}

func (s *savedTurns) list() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ids)
}

// budgetUsage is a program's budget and how much of it the claims of a test take.
type budgetUsage struct {
	mu       sync.Mutex
	budget   uint64
	reserved uint64 // tokens reserved by granted claims, or used by them once settled
	claims   int    // number of claims so far
}

const (
	maxTokensPerTurn = 10
	scheduleSeeds    = 20
	scheduleEvents   = 150
)

func newSchedule(t *testing.T, seed uint64) *schedule {
	t.Helper()
	s := &schedule{
		cluster:         newCluster(t, seed, "a", "b", "c", "a"),
		completedEpochs: make(map[uint64]uint64),
		programs:        make(map[string]*budgetUsage),
	}
	s.delayedUpdates = true
	s.clock.now = time.Now()
	s.latency = randomLatency(seed, 6*time.Millisecond)
	for _, m := range s.machines {
		m.disk.setSyncDelay(s.latency)
	}
	return s
}

// clientTimeout bounds an operation of a client, in the simulated time of a synctest bubble.
const clientTimeout = 2 * time.Second

func TestRandomSchedulesLoseNoTurnAndOverspendNoBudget(t *testing.T) {
	for seed := range uint64(scheduleSeeds) {
		synctest.Test(t, func(t *testing.T) {
			s := newSchedule(t, seed)
			defer s.close()
			defer s.saves.Wait()
			for range scheduleEvents {
				s.runEvent(s.random.IntN(100))
			}
			s.check()
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
