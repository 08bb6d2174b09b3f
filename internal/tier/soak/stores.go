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
	minHealthyStores     = 2 // of each service
	churnInterval        = 700 * time.Millisecond
	acknowledgeTimeout   = 6 * time.Second
	serveAfterDeregister = 3500 * time.Millisecond // longer than drainMs
	storeFaultDuration   = 900 * time.Millisecond
	reuseAfter           = 2 * time.Second // reuseAfterS
)

// Events of the churn. The remaining numbers below storeEvents make the store misbehave for a while.
const (
	storeCrashes = iota
	storeDrains
	storeDeregisters
	storeEvents = 6
)

// serveLongAfterDeregister is how long a store serves whose deregistration was acknowledged by a coordinator that was
// killed directly after.
const serveLongAfterDeregister = 9 * time.Second

// storeSet holds the fake stores of the two services. Those that have ended are kept, since their runs are checked.
type storeSet struct {
	harness *harness

	mu            sync.Mutex
	all           []*testbed.Store
	healthy       map[string][]*testbed.Store // by service
	deregistering map[*testbed.Store]time.Time
}

func (s *storeSet) add(ctx context.Context, service string) error {
	return s.addAt(ctx, "", service)
}

// addAt adds a store at an address that an earlier one had, or at a new one if the address is empty.
func (s *storeSet) addAt(ctx context.Context, address, service string) error {
	store, err := s.start(address, service)
	if err != nil {
		return err
	}
	if err := store.Register(ctx); err != nil { // it may be registered nevertheless, and have run requests
		store.Kill()
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.healthy[service] = append(s.healthy[service], store)
	return nil
}

// start starts a store, whose runs are checked from here on.
func (s *storeSet) start(address, service string) (*testbed.Store, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := func() (*testbed.Store, error) { return s.harness.NewStore(service, slots) }
	if address != "" {
		start = func() (*testbed.Store, error) { return s.harness.NewStoreAt(address, service, slots) }
	}
	store, err := start()
	if err != nil {
		return nil, err
	}
	if s.healthy == nil {
		s.healthy, s.deregistering = make(map[string][]*testbed.Store), make(map[*testbed.Store]time.Time)
	}
	s.all = append(s.all, store)
	return store, nil
}

// removeHealthy removes a store from the healthy ones and returns it, nil if too few would remain.
func (s *storeSet) removeHealthy(service string, number int) *testbed.Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	healthy := s.healthy[service]
	if len(healthy) <= minHealthyStores {
		return nil
	}
	removed := healthy[number%len(healthy)]
	kept := make([]*testbed.Store, 0, len(healthy)-1)
	for _, store := range healthy {
		if store != removed {
			kept = append(kept, store)
		}
	}
	s.healthy[service] = kept
	return removed
}

// addHealthy adds a store to the healthy ones again.
func (s *storeSet) addHealthy(service string, store *testbed.Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.healthy[service] = append(s.healthy[service], store)
}

func (s *storeSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, store := range s.all {
		store.Kill()
	}
}

// recordDeregistered records when the drain or deregistration of a store was acknowledged.
func (s *storeSet) recordDeregistered(store *testbed.Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deregistering[store] = time.Now()
}

// churn makes stores join, drain, deregister, crash and misbehave until ctx ends.
func (s *storeSet) churn(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.harness.plan.Seed, 2000))
	var group sync.WaitGroup
	defer group.Wait()
	for clock.Sleep(ctx, churnInterval) {
		service := []string{testbed.EngineService, testbed.PlainService}[random.IntN(2)]
		store := s.removeHealthy(service, random.IntN(1<<16))
		if store == nil {
			if s.add(ctx, service) != nil {
				s.harness.Count("a store could not register")
			}
			continue
		}
		event, fault := random.IntN(storeEvents), testbed.Fault(1+random.IntN(int(testbed.LastFault)))
		source := rand.New(rand.NewPCG(random.Uint64(), 0))
		group.Go(func() { s.injectFault(ctx, service, store, event, fault, source) })
	}
}

// deliverLateHeartbeat delivers a heartbeat from before the deregistration after its acknowledgement.
func (s *storeSet) deliverLateHeartbeat(ctx context.Context, heartbeat func(context.Context, string) error) {
	for _, address := range s.harness.Controls() {
		if heartbeat(ctx, address) == nil {
			s.harness.Count("heartbeat arrived after the deregistration")
		}
	}
}

// killAcknowledgingCoordinator kills, for half of the stores, the coordinator that acknowledged the deregistration directly
// after it: the other coordinators must know of it. For the other half an old heartbeat arrives late.
func (s *storeSet) killAcknowledgingCoordinator(
	ctx, acknowledgeCtx context.Context, store *testbed.Store, heartbeat func(context.Context, string) error, spared bool,
) {
	h := s.harness
	machine := h.machineAt(store.AcknowledgedBy())
	if machine == nil || spared || !h.claim(machine) {
		s.deliverLateHeartbeat(acknowledgeCtx, heartbeat)
		clock.Sleep(ctx, serveAfterDeregister)
		return
	}
	end := h.beginFault(faultScope{what: "coordinator " + machine.Settings.NodeName + " is killed after an acknowledgement"})
	h.kill(machine)
	clock.Sleep(ctx, time.Second)
	_ = h.launch(machine)
	h.release(machine)
	end()
	h.Count("coordinator killed after the acknowledgement of a deregistration")
	clock.Sleep(context.WithoutCancel(ctx), serveLongAfterDeregister) // into the calm period, where a late request shows
}

// reuse starts a store of the other service at the address of one that crashed.
func (s *storeSet) reuse(ctx context.Context, address, service string) {
	other := testbed.EngineService
	if service == other {
		other = testbed.PlainService
	}
	if clock.Sleep(ctx, reuseAfter) && s.addAt(ctx, address, other) == nil {
		s.harness.Count("address reused by another service")
	}
}

// deregisterAtPartitionedCoordinator deregisters a store at a coordinator that is partitioned from all other machines, and
// kills that coordinator: an acknowledgement that it gave alone would be known to no other. Then the others restart, so that
// they know nothing of the store's heartbeat time-out either. It reports whether there was an acknowledgement. With a single
// coordinator it does nothing: that one is the majority by itself, and while it is down nothing has contact with one.
func (s *storeSet) deregisterAtPartitionedCoordinator(ctx, acknowledgeCtx context.Context, store *testbed.Store, random *rand.Rand) bool {
	h := s.harness
	machine := h.Coordinators[random.IntN(len(h.Coordinators))]
	if len(h.Coordinators) == 1 || !h.claim(machine) {
		return false
	}
	defer h.release(machine)
	end := h.beginFault(faultScope{
		what: "coordinator " + machine.Settings.NodeName + " is partitioned, receives a deregistration and is killed",
	})
	restore := h.isolate(machine)
	err := store.DeregisterAt(acknowledgeCtx, machine.Settings.Listen.Control)
	h.kill(machine)
	restore()
	h.Count("deregistration sent to a partitioned coordinator")
	if err != nil {
		_ = h.launch(machine)
		end()
		return false
	}
	s.recordDeregistered(store)
	h.Count("deregistration acknowledged by a partitioned coordinator")
	h.killMachines(h.Coordinators, 0)
	end()                                                             // while it is down, it affects no request
	clock.Sleep(context.WithoutCancel(ctx), serveLongAfterDeregister) // into the calm period, where a late request shows
	defer h.beginFault(faultScope{what: "coordinator " + machine.Settings.NodeName + " is back"})()
	_ = h.launch(machine)
	return true
}

// injectFault makes one event of the churn happen to a store. Fault also decides between the variants of an event.
func (s *storeSet) injectFault(
	ctx context.Context, service string, store *testbed.Store, event int, fault testbed.Fault, random *rand.Rand,
) {
	h := s.harness
	acknowledgeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acknowledgeTimeout)
	defer cancel()
	heartbeat := store.DelayedHeartbeat()
	switch event {
	case storeCrashes:
		end := h.beginFault(faultScope{what: "store " + store.ID() + " crashes"})
		store.Kill()
		end()
		h.Count("store crashed")
		if fault%2 == 0 {
			s.reuse(ctx, store.Address(), service)
		}
	case storeDrains:
		if store.Drain(acknowledgeCtx) == nil {
			s.recordDeregistered(store)
			h.Count("store drained")
			s.deliverLateHeartbeat(acknowledgeCtx, heartbeat)
			clock.Sleep(ctx, serveAfterDeregister)
			_ = store.Shutdown(acknowledgeCtx)
		}
		store.Kill()
	case storeDeregisters:
		if fault%2 == 1 && !s.harness.mixed && s.deregisterAtPartitionedCoordinator(ctx, acknowledgeCtx, store, random) {
			break
		}
		if store.Deregister(acknowledgeCtx) == nil {
			s.recordDeregistered(store)
			h.Count("store deregistered without draining")
			s.killAcknowledgingCoordinator(ctx, acknowledgeCtx, store, heartbeat, fault%2 == 0)
		}
		store.Kill()
	default:
		defer h.beginFault(faultScope{what: "store " + store.ID() + " misbehaves"})()
		h.Count("store misbehaved")
		store.SetFault(fault)
		clock.Sleep(ctx, storeFaultDuration)
		store.SetFault(testbed.NoFault)
		s.addHealthy(service, store)
	}
}
