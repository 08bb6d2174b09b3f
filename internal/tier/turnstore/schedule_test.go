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

// schedule plays random events on a cluster that bears the loss of one machine: at any time at most one is down,
// cut off or has lost its disk since the last change of members was over; all may lose power at once.
type schedule struct {
	*cluster
	lost     *machine          // the one that is lost now
	copied   map[uint64]uint64 // by identity: epoch of the last pass
	saving   sync.WaitGroup
	saved    savedTurns
	programs map[string]*spending
	next     int
}

// savedTurns lists the turns whose saving was acknowledged.
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

// spending is what a test knows of a program.
type spending struct {
	mu     sync.Mutex
	budget uint64
	passed uint64 // claims that passed, settled ones at what they used
	turns  int
}

const (
	mostOfTurn       = 10
	schedules        = 20
	eventsInSchedule = 150
)

func newSchedule(t *testing.T, seed uint64) *schedule {
	t.Helper()
	s := &schedule{
		cluster:  newCluster(t, seed, "a", "b", "c", "a"),
		copied:   make(map[uint64]uint64),
		programs: make(map[string]*spending),
	}
	s.lagging = true
	s.clock.now = time.Now()
	s.latency = randomLatency(seed, 6*time.Millisecond)
	for _, m := range s.machines {
		m.disk.setSyncTime(s.latency)
	}
	return s
}

// patient is how long a client tries, in the simulated time of a synctest bubble.
const patient = 2 * time.Second

// client makes the options of a client in some zone, which may know an older membership.
func (s *schedule) client(seed uint64) (context.Context, context.CancelFunc, replica.Options) {
	random := rand.New(rand.NewPCG(seed, 2))
	ctx, cancel := context.WithTimeout(context.Background(), patient)
	options := s.options()
	options.CacheBytes = 1
	options.Zone = string(rune('a' + random.IntN(3)))
	options.Now, options.After = time.Now, time.After
	outdated := s.outdated(random.IntN(3))
	options.Membership = func() *tierpb.StoreMembership { return outdated }
	return ctx, cancel, options
}

func (s *schedule) step(event int) {
	switch {
	case event < 40:
		s.save()
	case event < 60:
		s.spend()
	case event < 66:
		s.lose()
	case event < 74:
		s.restore()
	case event < 78:
		s.replace()
	case event < 80:
		s.grow()
	case event < 82:
		s.shrink()
	case event < 95:
		s.passSomewhere()
	case event < 97:
		s.allLosePower()
	default:
		s.merge()
	}
}

// save begins to save some turns; other events come meanwhile.
func (s *schedule) save() {
	for range 1 + s.random.IntN(3) {
		id := fmt.Sprintf("turn-%d", s.next)
		s.next++
		previous := ""
		if saved := s.saved.list(); len(saved) > 0 && s.random.IntN(3) > 0 {
			previous = saved[s.random.IntN(len(saved))]
		}
		record, seed := s.record(id, previous), s.random.Uint64()
		s.saving.Go(func() {
			ctx, cancel, options := s.client(seed)
			defer cancel()
			if turns.NewClient(options).Save(ctx, record) == nil {
				s.saved.add(id)
			}
		})
	}
	time.Sleep(s.latency())
}

// spend has some turns of one program claim at the same time, and settles some of those that passed.
func (s *schedule) spend() {
	name := fmt.Sprintf("program-%d", s.random.IntN(4))
	known := s.programs[name]
	if known == nil {
		known = &spending{budget: uint64(15 + s.random.IntN(60))}
		s.programs[name] = known
	}
	var calls sync.WaitGroup
	for range 1 + s.random.IntN(4) {
		seed := s.random.Uint64()
		known.turns++
		request := fmt.Sprintf("%s-%d", name, known.turns)
		calls.Add(1)
		go func() {
			defer calls.Done()
			s.claim(name, known, request, seed)
		}()
	}
	calls.Wait()
}

func (s *schedule) claim(name string, known *spending, request string, seed uint64) {
	ctx, cancel, options := s.client(seed)
	defer cancel()
	client := budget.NewClient(options)
	if client.Reserve(ctx, name, known.budget, request, mostOfTurn) != nil {
		client.Wait()
		return
	}
	used := uint64(mostOfTurn)
	if seed%3 == 0 {
		used = seed % mostOfTurn
		client.Settle(name, request, used)
		client.Wait()
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	known.passed += used
	assert.Check(s.t, known.passed <= known.budget, "%s: %d of %d", name, known.passed, known.budget)
}

// some picks a running machine.
func (s *schedule) some() *machine {
	var addresses []string
	for address, m := range s.machines {
		if m.store != nil && m != s.lost {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return s.machines[addresses[s.random.IntN(len(addresses))]]
}

// lose takes one machine away in one of the ways there are.
func (s *schedule) lose() {
	if s.lost != nil || len(s.known().Previous) > 0 {
		return
	}
	s.lost = s.some()
	switch s.random.IntN(4) {
	case 0:
		s.kill(s.lost)
	case 1:
		s.losePower(s.lost)
	case 2:
		s.wipe(s.lost)
	case 3:
		s.setCut(s.lost, true)
	}
}

// restore brings the lost machine back. One with another identity is taken in by a change of members.
func (s *schedule) restore() {
	if s.lost == nil {
		return
	}
	m := s.lost
	s.setCut(m, false)
	if m.store == nil {
		s.start(m)
	}
	s.teach(m.store)
	if replica.Contains(s.known().Current, m.store.Identity()) {
		s.lost = nil
		return
	}
	if len(s.known().Previous) == 0 {
		s.setMembers(s.known().Current)
	}
}

// replace puts an empty machine at another address in the place of the lost one, for good.
func (s *schedule) replace() {
	if s.lost == nil || len(s.known().Previous) > 0 {
		return
	}
	s.remove(s.lost)
	s.lost = s.add(s.nextAddress(), s.lost.zone)
	s.setMembers(s.known().Current)
}

func (s *schedule) nextAddress() string {
	s.next++
	return s.freshAddress(s.next)
}

// grow adds a machine, also while members change: what was current is then replaced, what was previous stays.
func (s *schedule) grow() {
	if len(s.machines) >= 6 || s.lost != nil {
		return
	}
	s.add(s.nextAddress(), "d")
	previous := s.known().Previous
	if len(previous) == 0 {
		previous = s.known().Current
	}
	s.setMembers(previous)
}

// shrink empties a machine and takes it away when its records have moved.
func (s *schedule) shrink() {
	if len(s.machines) <= 3 || s.lost != nil || len(s.known().Previous) > 0 {
		return
	}
	victim := s.some()
	before := s.known().Current
	isVictim := func(node *tierpb.Node) bool { return node.Address == victim.address }
	s.change(slices.DeleteFunc(slices.Clone(before), isVictim), before)
}

// passSomewhere has a store of the previous members make its pass, and ends the change when enough have.
func (s *schedule) passSomewhere() {
	members := s.known()
	if len(members.Previous) == 0 {
		return
	}
	m := s.some()
	if replica.Contains(members.Previous, m.store.Identity()) && s.interrupted(m) == nil {
		s.copied[m.store.Identity()] = members.Epoch
	}
	reported := 0
	for _, node := range members.Previous {
		if s.copied[node.Identity] >= members.Epoch {
			reported++
		}
	}
	if reported < len(members.Previous)-1 {
		return
	}
	s.dropPrevious()
	for _, m := range s.machines {
		if m.store != nil && !replica.Contains(members.Current, m.store.Identity()) && m != s.lost {
			s.remove(m)
		}
	}
	if s.lost != nil && s.lost.store != nil && replica.Contains(members.Current, s.lost.store.Identity()) {
		s.lost = nil
	}
}

// interrupted makes a pass that may be stopped at a numbered point; the store then starts again.
func (s *schedule) interrupted(m *machine) error {
	if s.random.IntN(3) > 0 {
		return s.pass(m)
	}
	m.stopAfter(s.random.IntN(4))
	err := s.pass(m)
	m.goOn()
	if err != nil || m.store.wal.hasFailed() {
		s.kill(m)
		s.start(m)
	}
	return err
}

func (s *schedule) allLosePower() {
	for _, m := range s.machines {
		if m.store != nil {
			s.losePower(m)
		}
	}
	for _, m := range s.machines {
		if m != s.lost || s.random.IntN(2) == 0 {
			s.start(m)
		}
	}
}

func (s *schedule) merge() {
	m := s.some()
	m.stopAfter(s.random.IntN(4))
	err := m.store.Compact(context.Background())
	m.goOn()
	if errors.Is(err, failpoint.ErrStopped) || m.store.wal.hasFailed() {
		s.losePower(m)
		s.start(m)
	}
}

// check reads everything that was acknowledged.
func (s *schedule) check() {
	s.saving.Wait()
	s.teachAll()
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

func TestRandomSchedulesLoseNoTurnAndOverspendNoBudget(t *testing.T) {
	for seed := range uint64(schedules) {
		synctest.Test(t, func(t *testing.T) {
			s := newSchedule(t, seed)
			defer s.close()
			defer s.saving.Wait()
			for range eventsInSchedule {
				s.step(s.random.IntN(100))
			}
			s.check()
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// describe lists the machines and which of them hold a turn.
func (s *schedule) describe(id string) string {
	text := fmt.Sprintf("epoch %d, previous %d", s.known().Epoch, len(s.known().Previous))
	for address, m := range s.machines {
		if m.store == nil {
			text += fmt.Sprintf("\n%s is down", address)
			continue
		}
		m.store.mu.Lock()
		text += fmt.Sprintf("\n%s identity %d epoch %d cut %v lost %v holds %v disk %v", address, m.store.identity,
			m.store.membership.GetEpoch(), s.cut[address], m == s.lost, m.store.state.records[id] != nil, m.store.wal.checkWritable())
		m.store.mu.Unlock()
	}
	return text
}
