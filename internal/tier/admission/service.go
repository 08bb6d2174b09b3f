package admission

import (
	"hash/fnv"
	"maps"
	"time"

	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// service is a pool of stores and what is decided for all of them together.
type service struct {
	name    string
	engine  bool
	slots   int // of a store, as the configuration tells
	stores  []*store
	known   map[string]*store // by instance, also those that have left while requests are out there
	classes []*class
	turn    uint64
	held    int // requests in all queues

	shunned map[uint64]shun // by affinity
	begun   recent          // programs that were served

	running float64 // smoothed requests of other callers at a store, as stores tell ...
	waiting float64 // ... and those that wait there
	toldAt  time.Duration

	hasAnswered bool // a store of it has answered
	tellsLoad   bool // a store of it has told its load, which comes before the answer counts

	slowness  float64 // smoothed answer time of all stores as a multiple of the usual
	out       int     // requests of ours that are at its stores
	occupancy float64 // smoothed seconds that a request holds its place
	decided   curve.SlidingSum
	missed    curve.SlidingSum
	refused   float64 // share of new requests that is refused
	refusedAt time.Duration
	shares    [levels]float64 // smoothed share of what comes in, by priority
}

func newService(name string) *service {
	return &service{name: name, known: map[string]*store{}, shunned: map[uint64]shun{}}
}

// class finds what is usual for an aim and a kind of answer.
func (v *service) class(aim time.Duration, streaming bool) *class {
	for _, c := range v.classes {
		if c.aim == aim && c.streaming == streaming {
			return c
		}
	}
	c := newClass(aim, streaming)
	v.classes = append(v.classes, c)
	return c
}

// set brings the stores up to date. What is known of one that stays is kept; requests held for one that leaves
// are returned, to be placed anew.
func (v *service) set(now time.Duration, at func(time.Time) time.Duration, stores []Store) (homeless []*waiter) {
	for _, s := range v.stores {
		s.listed = false
	}
	v.stores = v.stores[:0]
	for _, told := range stores {
		s := v.known[told.Instance]
		if s == nil {
			s = v.start(told)
		}
		slots := s.Slots
		s.Store = told
		if told.Slots == 0 {
			s.Slots = slots
		}
		if to := at(told.SlowStartUntil); !told.SlowStartUntil.IsZero() && to > now && s.coldTo <= now {
			s.coldFrom, s.coldTo = min(now, to-coldRamp), to
		}
		s.listed = told.State != Deregistered
		if s.listed {
			v.stores = append(v.stores, s)
		}
	}
	for instance, s := range v.known {
		if !s.listed || s.State == Draining {
			homeless = append(homeless, s.held...)
			for _, w := range s.held {
				w.index = -1
			}
			v.held -= len(s.held)
			s.held = nil
		}
		if !s.listed && s.out == 0 {
			delete(v.known, instance)
		}
	}
	return homeless
}

func (v *service) start(told Store) *store {
	h := fnv.New64a()
	_, _ = h.Write([]byte(told.Instance)) // never fails
	s := &store{service: v, hash: h.Sum64(), turn: v.turn, coldTo: -1, Store: told}
	s.cap = max(float64(s.slots()), capLeast)
	v.known[told.Instance] = s
	return s
}

// shun is a store that failed a request.
type shun struct {
	store *store
	until time.Duration
}

// shun remembers that a store failed a request: its program's next one would likely meet the same.
func (v *service) shun(affinity uint64, s *store, now time.Duration) {
	if affinity == 0 {
		return
	}
	if len(v.shunned) >= shunMost {
		maps.DeleteFunc(v.shunned, func(_ uint64, o shun) bool { return o.until <= now })
	}
	if len(v.shunned) < shunMost {
		v.shunned[affinity] = shun{store: s, until: now + shunSpan}
	}
}

// shunnedBy is the store that failed what a request goes on from, or nil.
func (v *service) shunnedBy(affinity uint64, now time.Duration) *store {
	if o, is := v.shunned[affinity]; is && affinity != 0 && now < o.until && !ablation.Disabled(ablation.AvoidFailed) {
		return o.store
	}
	return nil
}

// usual is how many requests of other callers run and wait at a store, as far as stores told of late.
func (v *service) usual(now time.Duration) (running, waiting float64) {
	if ablation.Disabled(ablation.BaselineLoad) {
		return 0, 0
	}
	left := curve.Decay(1, now-v.toldAt, usualHalf)
	return left * v.running, left * v.waiting
}

// places sums the places of the stores that may be sent to, and how many are taken.
func (v *service) places(now time.Duration) (taken, all float64) {
	for _, s := range v.stores {
		if s.State == Ready || s.State == Suspect {
			all += float64(s.slots()) * s.warmth(now)
			taken += min(s.load(now), float64(s.slots()))
		}
	}
	return taken, all
}

// wait is how long a request that is held now will wait, by how fast our own leave.
func (v *service) wait(ahead int) time.Duration {
	return curve.Duration(float64(ahead) * v.occupancy / float64(max(v.out, 1)))
}
