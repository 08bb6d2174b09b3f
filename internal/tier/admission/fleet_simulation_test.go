package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// The size of a simulated fleet: each of many proxies has a few requests in flight at as many stores.
const (
	simProxies        = 77
	simStores         = 60
	simSlots          = 8
	simRequestRate    = 576.0 // requests per second of all proxies, 60% of the stores' capacity
	simFirstByte      = 100 * time.Millisecond
	simRest           = 400 * time.Millisecond
	simLatencyTarget  = time.Second
	simTimeout        = 3 * time.Second
	simTurns          = 6 // of a program
	simThinkTime      = 200 * time.Millisecond
	simSampleInterval = 100 * time.Millisecond
	simSweepInterval  = 20 * time.Millisecond
)

// storeFault is a fault of an engine.
type storeFault struct {
	zone              string  // of the callers that it affects, empty for all
	errorShare        float64 // of the requests that it fails at once
	hangs             bool
	slowdown          float64 // factor on its response times; 0 for none
	refuseConnections func(now time.Duration) bool
}

func (f storeFault) affects(zone string) bool { return f.zone == "" || f.zone == zone }

func (f storeFault) isPresent() bool {
	return f.errorShare > 0 || f.hangs || f.slowdown > 1 || f.refuseConnections != nil
}

// simEngine is a store that works on a number of requests at a time and lets the others wait.
type simEngine struct {
	instance string
	running  int
	waiting  []*simAttempt
	fault    storeFault
	arrived  int // requests so far
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
	number         int // of the last event
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

// zoneOf returns the zone of an engine, or of a proxy, by its number.
func zoneOf(number int) string { return fmt.Sprint("z", number%3) }

// publishStores sets the stores of all proxies.
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

// turn sends one turn of a program through any of the proxies, as sessions come in at all of them.
func (s *fleetSimulation) turn(program uint64, number int) {
	proxy := s.proxies[s.random.IntN(len(s.proxies))]
	request := Request{Service: "s", LatencyTarget: simLatencyTarget, Streaming: true, Idempotent: true, FirstTurn: number == 1}
	if s.affinity {
		request.Affinity = splitMix64(program)
	}
	s.attempt(proxy, request, s.now, number, program)
}

func (s *fleetSimulation) attempt(proxy *core, r Request, arrival time.Duration, number int, program uint64) {
	p := &pendingRequest{Request: r, targetAt: arrival + r.LatencyTarget, deadlineAt: arrival + simTimeout, index: -1}
	a := &simAttempt{proxy: proxy, pending: p, turn: number, program: program}
	proxy.submit(s.now, p)
	s.undecided = append(s.undecided, a)
	s.sendGranted()
}

// sendGranted sends the requests that were granted, and drops those that were rejected.
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
	s.after(a.pending.deadlineAt-s.now, func() { s.cancel(a) })
	if fault.hangs {
		return
	}
	if e.running >= simSlots {
		e.waiting = append(e.waiting, a)
		return
	}
	s.startOn(a, fault)
}

// startOn has the attempt's engine work on it.
func (s *fleetSimulation) startOn(a *simAttempt, fault storeFault) {
	e := a.engine
	e.running++
	slowdown := max(fault.slowdown, 1) * (0.8 + 0.4*s.random.Float64())
	first := time.Duration(slowdown * float64(simFirstByte))
	s.after(first, func() {
		if !a.finished {
			a.proxy.recordFirstByte(a.pending.grant, s.now)
		}
	})
	s.after(first+time.Duration(slowdown*float64(simRest)), func() {
		e.running--
		if !a.finished {
			a.pending.grant.store.recordReport(s.now, e.running+1, len(e.waiting), simSlots)
			s.finish(a, Success)
		}
		s.startNext(e)
	})
}

// startNext has an engine work on the requests that wait there.
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

// finish reports how an attempt ended: the program goes on, or the request is retried elsewhere.
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

// loadSpread sums up samples of the engines' load.
type loadSpread struct {
	samples, idle int
	unevenness    float64 // sum of the greatest load over the mean
}

func (s *fleetSimulation) measure(sum *loadSpread) {
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
		sum.unevenness += float64(greatest) * float64(len(s.engines)) / float64(total)
	}
}

func (l *loadSpread) maxOverMean() float64 { return l.unevenness / float64(l.samples) }
func (l *loadSpread) idleShare() float64   { return float64(l.idle) / float64(l.samples*simStores) }

// peakLoad returns the greatest load of an engine over the mean in the time that follows.
func (s *fleetSimulation) peakLoad(e *simEngine, span time.Duration) float64 {
	peak, total, samples := 0, 0, 0
	s.onSample = func() {
		peak = max(peak, e.load())
		for _, other := range s.engines {
			total += other.load()
			samples++
		}
	}
	s.run(s.now + span)
	return float64(peak) / (float64(total) / float64(samples))
}

// suspectShare returns the greatest share of the healthy engines that one proxy suspects now.
func (s *fleetSimulation) suspectShare() float64 {
	greatest := 0.0
	for _, proxy := range s.proxies {
		suspects, all := 0, 0
		for _, known := range proxy.services["s"].stores {
			if s.byInstance[known.Instance].fault.isPresent() {
				continue
			}
			all++
			if !known.healthy(s.now) || known.stalled(s.now) {
				suspects++
			}
		}
		greatest = max(greatest, float64(suspects)/float64(all))
	}
	return greatest
}

// requestShares runs the simulation for a time, and returns each engine's share of the requests as a multiple of an even one.
func (s *fleetSimulation) requestShares(span time.Duration) []float64 {
	before := make([]int, len(s.engines))
	for i, e := range s.engines {
		before[i] = e.arrived
	}
	s.run(s.now + span)
	all, shares := 0, make([]float64, len(s.engines))
	for i, e := range s.engines {
		all += e.arrived - before[i]
	}
	for i, e := range s.engines {
		shares[i] = float64((e.arrived-before[i])*len(s.engines)) / float64(all)
	}
	return shares
}
