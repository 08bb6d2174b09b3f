package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/testbed"
)

const (
	fewestStores  = 2 // of each service that stay well
	churnPause    = 700 * time.Millisecond
	ackPatience   = 6 * time.Second
	servesOn      = 3500 * time.Millisecond // after its leave was acknowledged, longer than drainMs
	disturbedTime = 900 * time.Millisecond
	reuseAfter    = 2 * time.Second // reuseAfterS
)

// servesOnLong is how long a store serves on whose leave was acknowledged by a machine that ended right after.
const servesOnLong = 9 * time.Second

// storeSet holds the stores of the two services, those that have ended too: their runs are judged.
type storeSet struct {
	world *world

	mu      sync.Mutex
	all     []*testbed.Store
	well    map[string][]*testbed.Store // by service
	leaving map[*testbed.Store]time.Time
}

func (s *storeSet) add(ctx context.Context, service string) error {
	return s.addAt(ctx, "", service)
}

// addAt adds a store at an address that an earlier one had, or at a new one where it is empty.
func (s *storeSet) addAt(ctx context.Context, address, service string) error {
	store, err := s.begin(address, service)
	if err != nil {
		return err
	}
	if err := store.Register(ctx); err != nil { // it may be known all the same, and have run something
		store.Kill()
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.well[service] = append(s.well[service], store)
	return nil
}

// begin starts a store; from here on its runs are judged.
func (s *storeSet) begin(address, service string) (*testbed.Store, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := func() (*testbed.Store, error) { return s.world.NewStore(service, slots) }
	if address != "" {
		start = func() (*testbed.Store, error) { return s.world.NewStoreAt(address, service, slots) }
	}
	store, err := start()
	if err != nil {
		return nil, err
	}
	if s.well == nil {
		s.well, s.leaving = make(map[string][]*testbed.Store), make(map[*testbed.Store]time.Time)
	}
	s.all = append(s.all, store)
	return store, nil
}

// take removes a store from those that are well, nil where too few would remain.
func (s *storeSet) take(service string, number int) *testbed.Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	well := s.well[service]
	if len(well) <= fewestStores {
		return nil
	}
	taken := well[number%len(well)]
	kept := make([]*testbed.Store, 0, len(well)-1)
	for _, store := range well {
		if store != taken {
			kept = append(kept, store)
		}
	}
	s.well[service] = kept
	return taken
}

func (s *storeSet) giveBack(service string, store *testbed.Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.well[service] = append(s.well[service], store)
}

func (s *storeSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, store := range s.all {
		store.Kill()
	}
}

// left notes when the leave of a store was acknowledged.
func (s *storeSet) left(store *testbed.Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[store] = time.Now()
}

// churn has stores come, leave, crash and misbehave until ctx ends.
func (s *storeSet) churn(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.world.plan.Seed, 2000))
	var group sync.WaitGroup
	defer group.Wait()
	for clock.Sleep(ctx, churnPause) {
		service := []string{testbed.EngineService, testbed.PlainService}[random.IntN(2)]
		store := s.take(service, random.IntN(1<<16))
		if store == nil {
			if s.add(ctx, service) != nil {
				s.world.Count("a store could not register")
			}
			continue
		}
		how, disturbance := random.IntN(6), testbed.Fault(1+random.IntN(int(testbed.LastFault)))
		source := rand.New(rand.NewPCG(random.Uint64(), 0))
		group.Go(func() { s.trouble(ctx, service, store, how, disturbance, source) })
	}
}

// deliverLate delivers a heartbeat of before the leave behind its acknowledgement.
func (s *storeSet) deliverLate(ctx context.Context, late func(context.Context, string) error) {
	for _, address := range s.world.Controls() {
		if late(ctx, address) == nil {
			s.world.Count("heartbeat came behind the leave")
		}
	}
}

// leaveAlone ends, for half of the stores, the coordinator that acknowledged the leave in the same moment: the others have
// to know of it. Else a heartbeat of before comes late.
func (s *storeSet) leaveAlone(
	ctx, patience context.Context, store *testbed.Store, late func(context.Context, string) error, spared bool,
) {
	w := s.world
	machine := w.machineAt(store.AcknowledgedBy())
	if machine == nil || spared || !w.claim(machine) {
		s.deliverLate(patience, late)
		clock.Sleep(ctx, servesOn)
		return
	}
	end := w.begin(cause{what: "coordinator " + machine.Settings.NodeName + " ends behind an acknowledgement"})
	w.kill(machine)
	clock.Sleep(ctx, time.Second)
	_ = w.launch(machine)
	w.release(machine)
	end()
	w.Count("coordinator ended behind the acknowledgement of a leave")
	clock.Sleep(context.WithoutCancel(ctx), servesOnLong) // into the calm time, where a late request shows
}

// reuse starts a store of the other service at the address of one that crashed.
func (s *storeSet) reuse(ctx context.Context, address, service string) {
	other := testbed.EngineService
	if service == other {
		other = testbed.PlainService
	}
	if clock.Sleep(ctx, reuseAfter) && s.addAt(ctx, address, other) == nil {
		s.world.Count("address used again by another service")
	}
}

// leaveCutOff has a coordinator that is cut off from all other machines be told of a leave, and ends it behind that: an
// acknowledgement that it gave by itself is known to nobody. Then the others start anew, so that they know as little of the
// store's silence. It says whether there was an acknowledgement. Of one coordinator it is none of its own, and while that is away
// nobody is in touch.
func (s *storeSet) leaveCutOff(ctx, patience context.Context, store *testbed.Store, random *rand.Rand) bool {
	w := s.world
	machine := w.Coordinators[random.IntN(len(w.Coordinators))]
	if len(w.Coordinators) == 1 || !w.claim(machine) {
		return false
	}
	defer w.release(machine)
	end := w.begin(cause{what: "coordinator " + machine.Settings.NodeName + " is cut off, told of a leave and killed"})
	restore := w.isolate(machine)
	err := store.DeregisterAt(patience, machine.Settings.Listen.Control)
	w.kill(machine)
	restore()
	w.Count("leave told to a coordinator that was cut off")
	if err != nil {
		_ = w.launch(machine)
		end()
		return false
	}
	s.left(store)
	w.Count("leave acknowledged by a coordinator that was cut off")
	w.killAll(w.Coordinators, 0)
	end()                                                 // away, it disturbs nobody any more
	clock.Sleep(context.WithoutCancel(ctx), servesOnLong) // into the calm time, where a late request shows
	defer w.begin(cause{what: "coordinator " + machine.Settings.NodeName + " is back"})()
	_ = w.launch(machine)
	return true
}

func (s *storeSet) trouble(
	ctx context.Context, service string, store *testbed.Store, how int, disturbance testbed.Fault, random *rand.Rand,
) {
	w := s.world
	acknowledged, cancel := context.WithTimeout(context.WithoutCancel(ctx), ackPatience)
	defer cancel()
	late := store.DelayedHeartbeat()
	switch how {
	case 0:
		end := w.begin(cause{what: "store " + store.ID() + " crashes"})
		store.Kill()
		end()
		w.Count("store crashed")
		if disturbance%2 == 0 {
			s.reuse(ctx, store.Address(), service)
		}
	case 1:
		if store.Drain(acknowledged) == nil {
			s.left(store)
			w.Count("store drained")
			s.deliverLate(acknowledged, late)
			clock.Sleep(ctx, servesOn)
			_ = store.Shutdown(acknowledged)
		}
		store.Kill()
	case 2:
		if disturbance%2 == 1 && !s.world.mixed && s.leaveCutOff(ctx, acknowledged, store, random) {
			break
		}
		if store.Deregister(acknowledged) == nil {
			s.left(store)
			w.Count("store said nothing but DELETE")
			s.leaveAlone(ctx, acknowledged, store, late, disturbance%2 == 0)
		}
		store.Kill()
	default:
		defer w.begin(cause{what: "store " + store.ID() + " is disturbed"})()
		w.Count("store disturbed")
		store.SetFault(disturbance)
		clock.Sleep(ctx, disturbedTime)
		store.SetFault(testbed.NoFault)
		s.giveBack(service, store)
	}
}
