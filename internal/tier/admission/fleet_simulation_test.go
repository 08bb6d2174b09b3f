package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// Parameters of the simulated fleet: many proxies, each of which has only a few requests in flight.
const (
	simProxies         = 77
	simStores          = 60
	simSlots           = 8
	simRequestRate     = 576.0                  // requests per second of all proxies, 60% of the stores' capacity
	simTimeToFirstByte = 100 * time.Millisecond // from the start of a request to its first byte
	simStreamTime      = 400 * time.Millisecond // from the first byte to the end
	simLatencyTarget   = time.Second
	simTimeout         = 3 * time.Second
	simTurns           = 6 // turns of a program
	simThinkTime       = 200 * time.Millisecond
	simSampleInterval  = 100 * time.Millisecond
	simSweepInterval   = 20 * time.Millisecond
)

// storeFault is a fault of an engine.
type storeFault struct {
	zone              string  // zone of the affected proxies; empty for all
	errorShare        float64 // share of requests that fail at once
	hangs             bool
	slowdown          float64 // factor on response times; 0 means none
	refuseConnections func(now time.Duration) bool
}

func (f storeFault) affects(zone string) bool { return f.zone == "" || f.zone == zone }

func (f storeFault) isPresent() bool {
	return f.errorShare > 0 || f.hangs || f.slowdown > 1 || f.refuseConnections != nil
}

// simEngine is a store that runs up to simSlots requests concurrently and queues the others.
type simEngine struct {
	instance string
	running  int
	waiting  []*simAttempt
	fault    storeFault
	arrived  int // attempts so far
}

func (e *simEngine) load() int { return e.running + len(e.waiting) }

// simAttempt is one attempt of a request.
type simAttempt struct {
	proxy    *core
	engine   *simEngine
	pending  *pendingRequest
	turn     int
	finished bool
	program  uint64
}

// fleetSimulation is a discrete-event simulation of proxies and engines.
type fleetSimulation struct {
	random         *rand.Rand
	now            time.Duration
	events         eventHeap
	number         int // sequence number of the last event
	proxies        []*core
	byInstance     map[string]*simEngine
	engines        []*simEngine
	undecided      []*simAttempt // without a grant or a rejection
	affinity       bool
	programs       uint64
	succeeded      int // requests
	failedAttempts int
	rejected       int // requests
	onSample       func()
}

type simEvent struct {
	at     time.Duration
	number int
	run    func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newFleetSimulation(seed uint64, affinity bool) *fleetSimulation {
	s := &fleetSimulation{random: rand.New(rand.NewPCG(seed, 1)), affinity: affinity}
	for i := range simStores {
		s.engines = append(s.engines, &simEngine{instance: fmt.Sprint("e-", i)})
	}
	for i := range simProxies {
		s.proxies = append(s.proxies, &core{
			zone: zoneOf(i), random: rand.New(rand.NewPCG(seed, uint64(i+2))), services: map[string]*service{},
		})
	}
	s.publishStores()
	s.arrivals()
	s.every(simSampleInterval, func() {
		if s.onSample != nil {
			s.onSample()
		}
	})
	s.every(simSweepInterval, s.sweep)
	return s
}

func (s *fleetSimulation) after(delay time.Duration, run func()) {
	s.number++
	heap.Push(&s.events, simEvent{at: s.now + delay, number: s.number, run: run})
}

func (s *fleetSimulation) every(interval time.Duration, run func()) {
	s.after(interval, func() { run(); s.every(interval, run) })
}

func (s *fleetSimulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.run()
	}
	s.now = until
}

// zoneOf returns the zone of the engine or proxy with this number.
func zoneOf(number int) string { return fmt.Sprint("z", number%3) }

// publishStores passes the current list of stores to all proxies.
func (s *fleetSimulation) publishStores() {
	var listed []Store
	s.byInstance = make(map[string]*simEngine, len(s.engines))
	for i, e := range s.engines {
		s.byInstance[e.instance] = e
		listed = append(listed, Store{Instance: e.instance, Zone: zoneOf(i), Slots: simSlots})
	}
	for _, proxy := range s.proxies {
		svc := proxy.services["s"]
		if svc == nil {
			svc = newService("s")
			proxy.services["s"] = svc
		}
		svc.engine = true
		for _, p := range svc.update(s.now, func(time.Time) time.Duration { return 0 }, listed) {
			proxy.reassign(svc, p, s.now)
		}
		proxy.releaseQueued(svc, s.now)
		s.sendGranted()
	}
}

func (s *fleetSimulation) arrivals() {
	mean := float64(time.Second) / simRequestRate * simTurns
	s.after(time.Duration(s.random.ExpFloat64()*mean), func() {
		s.programs++
		s.turn(s.programs, 1)
		s.arrivals()
	})
}

// turn sends one turn of a program through a random proxy, as the requests of a session may arrive at any of them.
func (s *fleetSimulation) turn(program uint64, number int) {
	proxy := s.proxies[s.random.IntN(len(s.proxies))]
	request := Request{Service: "s", LatencyTarget: simLatencyTarget, Streaming: true, Idempotent: true, FirstTurn: number == 1}
	if s.affinity {
		request.Affinity = splitMix64(program)
	}
	s.attempt(proxy, request, s.now, number, program)
}

func (s *fleetSimulation) attempt(proxy *core, r Request, arrival time.Duration, number int, program uint64) {
	p := &pendingRequest{Request: r, targetAt: arrival + r.LatencyTarget, timeoutAt: arrival + simTimeout, index: -1}
	a := &simAttempt{proxy: proxy, pending: p, turn: number, program: program}
	proxy.submit(s.now, p)
	s.undecided = append(s.undecided, a)
	s.sendGranted()
}

// sendGranted sends the requests that have been granted and counts those that have been rejected.
func (s *fleetSimulation) sendGranted() {
	before := s.undecided
	s.undecided = nil
	for _, a := range before {
		switch {
		case a.pending.grant != nil:
			s.send(a)
		case a.pending.rejection != nil:
			s.rejected++
		default:
			s.undecided = append(s.undecided, a)
		}
	}
}

func (s *fleetSimulation) sweep() {
	for _, proxy := range s.proxies {
		if svc := proxy.services["s"]; svc.queued > 0 {
			proxy.sweep(svc, s.now)
		}
	}
	s.sendGranted()
}

func (s *fleetSimulation) send(a *simAttempt) {
	e := s.byInstance[a.pending.grant.store.Instance]
	if e == nil {
		s.after(time.Millisecond, func() { s.finish(a, NotExecuted) })
		return
	}
	a.engine = e
	e.arrived++
	fault := e.fault
	if !fault.affects(a.proxy.zone) {
		fault = storeFault{}
	}
	switch {
	case fault.refuseConnections != nil && fault.refuseConnections(s.now):
		s.after(time.Millisecond, func() { s.finish(a, ConnectFailed) })
		return
	case s.random.Float64() < fault.errorShare:
		s.after(20*time.Millisecond, func() { s.finish(a, StoreError) })
		return
	}
	s.after(a.pending.timeoutAt-s.now, func() { s.cancel(a) })
	if fault.hangs {
		return
	}
	if e.running >= simSlots {
		e.waiting = append(e.waiting, a)
		return
	}
	s.startOn(a, fault)
}

// startOn makes the attempt's engine start to run it.
func (s *fleetSimulation) startOn(a *simAttempt, fault storeFault) {
	e := a.engine
	e.running++
	slowdown := max(fault.slowdown, 1) * (0.8 + 0.4*s.random.Float64())
	first := time.Duration(slowdown * float64(simTimeToFirstByte))
	s.after(first, func() {
		if !a.finished {
			a.proxy.recordFirstByte(a.pending.grant, s.now)
		}
	})
	s.after(first+time.Duration(slowdown*float64(simStreamTime)), func() {
		e.running--
		if !a.finished {
			a.pending.grant.store.recordLoadReport(s.now, e.running+1, len(e.waiting), simSlots)
			s.finish(a, Success)
		}
		s.startNext(e)
	})
}

// startNext makes an engine start waiting requests while it has free slots.
func (s *fleetSimulation) startNext(e *simEngine) {
	for e.running < simSlots && len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !a.finished {
			s.startOn(a, e.fault)
		}
	}
}

func (s *fleetSimulation) cancel(a *simAttempt) {
	if !a.finished {
		s.finish(a, Cancelled)
	}
}

// finish reports the outcome of an attempt. After a success the program continues with its next turn; after a failure the
// request is retried at another store.
func (s *fleetSimulation) finish(a *simAttempt, outcome Outcome) {
	a.finished = true
	a.proxy.finish(a.pending.grant, s.now, outcome)
	switch outcome {
	case Success:
		s.succeeded++
		if a.turn < simTurns {
			s.after(simThinkTime, func() { s.turn(a.program, a.turn+1) })
		}
	case Cancelled:
		s.failedAttempts++
	default:
		s.failedAttempts++
		retry := a.pending.Request
		retry.AttemptedInstances = append(retry.AttemptedInstances, a.pending.grant.store.Instance)
		retry.ExecutedAttempts++
		s.attempt(a.proxy, retry, a.pending.targetAt-retry.LatencyTarget, a.turn, a.program)
	}
	s.sendGranted()
}

// loadSpread accumulates samples of the engines' load.
type loadSpread struct {
	samples, idle int
	ratioSum      float64 // sum over the samples of the ratio of maximum to mean load
}

func (s *fleetSimulation) addSample(sum *loadSpread) {
	total, greatest := 0, 0
	for _, e := range s.engines {
		total += e.load()
		greatest = max(greatest, e.load())
		if e.load() == 0 {
			sum.idle++
		}
	}
	sum.samples++
	if total > 0 {
		sum.ratioSum += float64(greatest) * float64(len(s.engines)) / float64(total)
	}
}

func (l *loadSpread) maxOverMean() float64 { return l.ratioSum / float64(l.samples) }
func (l *loadSpread) idleShare() float64   { return float64(l.idle) / float64(l.samples*simStores) }

// peakLoad runs the simulation for some time and returns the ratio of the engine's peak load to the mean load of all engines.
func (s *fleetSimulation) peakLoad(e *simEngine, duration time.Duration) float64 {
	peak, total, samples := 0, 0, 0
	s.onSample = func() {
		peak = max(peak, e.load())
		for _, other := range s.engines {
			total += other.load()
			samples++
		}
	}
	s.run(s.now + duration)
	return float64(peak) / (float64(total) / float64(samples))
}

// falsePositiveShare returns the share of the faultless engines that a proxy takes for unhealthy or stalled now, at the proxy
// where it is greatest.
func (s *fleetSimulation) falsePositiveShare() float64 {
	greatest := 0.0
	for _, proxy := range s.proxies {
		falsePositives, all := 0, 0
		for _, known := range proxy.services["s"].stores {
			if s.byInstance[known.Instance].fault.isPresent() {
				continue
			}
			all++
			if !known.healthy(s.now) || known.stalled(s.now) {
				falsePositives++
			}
		}
		greatest = max(greatest, float64(falsePositives)/float64(all))
	}
	return greatest
}

// requestShares runs the simulation for some time and returns each engine's share of the attempts, as a multiple of an even
// share.
func (s *fleetSimulation) requestShares(duration time.Duration) []float64 {
	before := make([]int, len(s.engines))
	for i, e := range s.engines {
		before[i] = e.arrived
	}
	s.run(s.now + duration)
	all, shares := 0, make([]float64, len(s.engines))
	for i, e := range s.engines {
		all += e.arrived - before[i]
	}
	for i, e := range s.engines {
		shares[i] = float64((e.arrived-before[i])*len(s.engines)) / float64(all)
	}
	return shares
}
