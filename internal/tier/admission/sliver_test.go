package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// The size of a sliver: each of many proxies has a few requests out to as many stores.
const (
	sliverProxies   = 77
	sliverStores    = 60
	sliverSlots     = 8
	sliverRate      = 576.0 // requests a second of all proxies, 60% of what the stores can do
	sliverFirst     = 100 * time.Millisecond
	sliverRest      = 400 * time.Millisecond
	sliverAim       = time.Second
	sliverPatience  = 3 * time.Second
	sliverTurns     = 6 // of a program
	sliverThink     = 200 * time.Millisecond
	sliverSample    = 100 * time.Millisecond
	sliverHungCheck = 20 * time.Millisecond
)

// illness is what is wrong with an engine.
type illness struct {
	zone    string // of the callers that meet it, empty for all
	errors  float64
	hangs   bool
	slower  float64
	refuses func(now time.Duration) bool
}

func (i illness) meets(zone string) bool { return i.zone == "" || i.zone == zone }

// bad says that anything is wrong.
func (i illness) bad() bool { return i.errors > 0 || i.hangs || i.slower > 1 || i.refuses != nil }

// engine is a store that works on so many requests at a time and lets the others wait.
type engine struct {
	instance string
	running  int
	waiting  []*sending
	ill      illness
	arrived  int // requests so far
}

func (e *engine) load() int { return e.running + len(e.waiting) }

// sending is one try at an engine.
type sending struct {
	proxy   *core
	engine  *engine
	waiter  *waiter
	turn    int
	over    bool
	program uint64
}

// sliver is a world of proxies and engines; it has one clock and does one event after another.
type sliver struct {
	random   *rand.Rand
	now      time.Duration
	events   eventHeap
	number   int
	proxies  []*core
	byName   map[string]*engine
	engines  []*engine
	held     []*sending
	affinity bool
	programs uint64
	done     int // requests that were answered
	failed   int // tries that were not
	refused  int
	onSample func()
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

func newSliver(seed uint64, affinity bool) *sliver {
	s := &sliver{random: rand.New(rand.NewPCG(seed, 1)), affinity: affinity}
	for i := range sliverStores {
		s.engines = append(s.engines, &engine{instance: fmt.Sprint("e-", i)})
	}
	for i := range sliverProxies {
		zone := zoneOf(i)
		s.proxies = append(s.proxies, &core{zone: zone, random: rand.New(rand.NewPCG(seed, uint64(i+2))), services: map[string]*service{}})
	}
	s.list()
	s.arrivals()
	s.every(sliverSample, func() {
		if s.onSample != nil {
			s.onSample()
		}
	})
	s.every(sliverHungCheck, s.sweep)
	return s
}

func (s *sliver) after(delay time.Duration, run func()) {
	s.number++
	heap.Push(&s.events, simEvent{at: s.now + delay, number: s.number, run: run})
}

func (s *sliver) every(gap time.Duration, run func()) {
	s.after(gap, func() { run(); s.every(gap, run) })
}

func (s *sliver) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.run()
	}
	s.now = until
}

// zoneOf is the zone of an engine, or of a proxy, by its number.
func zoneOf(number int) string { return fmt.Sprint("z", number%3) }

// list tells all proxies of the engines.
func (s *sliver) list() {
	var listed []Store
	s.byName = make(map[string]*engine, len(s.engines))
	for i, e := range s.engines {
		s.byName[e.instance] = e
		listed = append(listed, Store{Instance: e.instance, Zone: zoneOf(i), Slots: sliverSlots})
	}
	for _, p := range s.proxies {
		v := p.services["s"]
		if v == nil {
			v = newService("s")
			p.services["s"] = v
		}
		v.engine = true
		for _, w := range v.set(s.now, func(t time.Time) time.Duration { return 0 }, listed) {
			p.replace(v, w, s.now)
		}
		p.release(v, s.now)
		s.letGo()
	}
}

func (s *sliver) arrivals() {
	mean := float64(time.Second) / sliverRate * sliverTurns
	s.after(time.Duration(s.random.ExpFloat64()*mean), func() {
		s.programs++
		s.turn(s.programs, 1)
		s.arrivals()
	})
}

// turn sends one turn of a program through any of the proxies, as sessions come in at all of them.
func (s *sliver) turn(program uint64, number int) {
	p := s.proxies[s.random.IntN(len(s.proxies))]
	request := Request{Service: "s", LatencyTarget: sliverAim, Streaming: true, Idempotent: true, FirstTurn: number == 1}
	if s.affinity {
		request.Affinity = mix(program)
	}
	s.try(p, request, s.now, number, program)
}

func (s *sliver) try(p *core, r Request, arrival time.Duration, number int, program uint64) {
	w := &waiter{Request: r, aimAt: arrival + r.LatencyTarget, endAt: arrival + sliverPatience, index: -1}
	at := &sending{proxy: p, waiter: w, turn: number, program: program}
	p.arrive(s.now, w)
	s.held = append(s.held, at)
	s.letGo()
}

// letGo sends what was granted and forgets what was refused.
func (s *sliver) letGo() {
	before := s.held
	s.held = nil
	for _, at := range before {
		switch {
		case at.waiter.grant != nil:
			s.send(at)
		case at.waiter.refusal != nil:
			s.refused++
		default:
			s.held = append(s.held, at)
		}
	}
}

func (s *sliver) sweep() {
	for _, p := range s.proxies {
		if v := p.services["s"]; v.held > 0 {
			p.sweep(v, s.now)
		}
	}
	s.letGo()
}

// engineOf is the engine that runs under an instance's name, nil where none does.
func (s *sliver) engineOf(instance string) *engine { return s.byName[instance] }

func (s *sliver) send(at *sending) {
	e := s.engineOf(at.waiter.grant.store.Instance)
	if e == nil {
		s.after(time.Millisecond, func() { s.end(at, NotExecuted) })
		return
	}
	at.engine = e
	e.arrived++
	ill := e.ill
	if !ill.meets(at.proxy.zone) {
		ill = illness{}
	}
	switch {
	case ill.refuses != nil && ill.refuses(s.now):
		s.after(time.Millisecond, func() { s.end(at, ConnectFailed) })
		return
	case s.random.Float64() < ill.errors:
		s.after(20*time.Millisecond, func() { s.end(at, StoreError) })
		return
	}
	s.after(at.waiter.endAt-s.now, func() { s.giveUp(at) })
	if ill.hangs {
		return
	}
	if e.running >= sliverSlots {
		e.waiting = append(e.waiting, at)
		return
	}
	s.begin(at, ill)
}

func (s *sliver) begin(at *sending, ill illness) {
	e := at.engine
	e.running++
	slower := max(ill.slower, 1) * (0.8 + 0.4*s.random.Float64())
	first := time.Duration(slower * float64(sliverFirst))
	s.after(first, func() {
		if !at.over {
			at.proxy.answered(at.waiter.grant, s.now)
		}
	})
	s.after(first+time.Duration(slower*float64(sliverRest)), func() {
		e.running--
		if !at.over {
			at.waiter.grant.store.told(s.now, e.running+1, len(e.waiting), sliverSlots)
			s.end(at, Success)
		}
		s.next(e)
	})
}

func (s *sliver) next(e *engine) {
	for e.running < sliverSlots && len(e.waiting) > 0 {
		at := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !at.over {
			s.begin(at, e.ill)
		}
	}
}

func (s *sliver) giveUp(at *sending) {
	if !at.over {
		s.end(at, Cancelled)
	}
}

// end takes in how a try ended: the program goes on, or the request is sent elsewhere.
func (s *sliver) end(at *sending, outcome Outcome) {
	at.over = true
	at.proxy.finish(at.waiter.grant, s.now, outcome)
	switch outcome {
	case Success:
		s.done++
		if at.turn < sliverTurns {
			s.after(sliverThink, func() { s.turn(at.program, at.turn+1) })
		}
	case Cancelled:
		s.failed++
	default:
		s.failed++
		again := at.waiter.Request
		again.AttemptedInstances = append(again.AttemptedInstances, at.waiter.grant.store.Instance)
		again.ExecutedAttempts++
		s.try(at.proxy, again, at.waiter.aimAt-again.LatencyTarget, at.turn, at.program)
	}
	s.letGo()
}

// spread sums up samples of the engines' load.
type spread struct {
	samples, idle int
	unevenness    float64 // sum of the greatest load over the mean
}

func (s *sliver) measure(sum *spread) {
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

func (s *spread) maxOverMean() float64 { return s.unevenness / float64(s.samples) }
func (s *spread) idleShare() float64   { return float64(s.idle) / float64(s.samples*sliverStores) }

// passedOver is the greatest share of well engines that one proxy holds for suspects now.
func (s *sliver) passedOver() float64 {
	greatest := 0.0
	for _, p := range s.proxies {
		suspects, all := 0, 0
		for _, known := range p.services["s"].stores {
			e := s.engineOf(known.Instance)
			if e.ill.bad() {
				continue
			}
			all++
			if !known.sound(s.now) || known.late(s.now) {
				suspects++
			}
		}
		greatest = max(greatest, float64(suspects)/float64(all))
	}
	return greatest
}
