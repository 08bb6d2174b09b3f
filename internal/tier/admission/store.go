package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// store is what is known of one store.
type store struct {
	Store
	service  *service
	hash     uint64 // of its instance, for affinity
	listed   bool
	coldFrom time.Duration
	coldTo   time.Duration

	out     int      // requests of ours that are there
	unheard []*Grant // those of them that nothing has come of yet, oldest first
	held    queue
	turn    uint64 // number of its last turn

	records   []record
	slowness  float64 // smoothed answer time as a multiple of the usual; 0 when unheard
	slowAt    time.Duration
	failing   float64 // smoothed share of failures
	failedAt  time.Duration
	losing    float64 // the same of answers that were lost, which is forgotten more slowly
	lostAt    time.Duration
	cap       float64
	capFellAt time.Duration

	running  float64 // requests of other callers that it works on, as it told last ...
	waiting  float64 // ... and those that wait there
	loadAt   time.Duration
	loadTold bool
	leftTo   time.Duration // it turned a request away, or could not be reached: until when it is left alone
}

// slots is how many requests the store works on at a time.
func (s *store) slots() int {
	switch {
	case s.Slots > 0:
		return s.Slots
	case s.service.slots > 0:
		return s.service.slots
	}
	return slotsGuess
}

// load is how many requests the store has now, by what it told and what we sent. What it told of others' requests fades to
// what stores of the service usually tell.
func (s *store) load(now time.Duration) float64 {
	running, waiting := s.others(now)
	return float64(s.out) + running + waiting
}

// others is how many requests of other callers run and wait at the store.
func (s *store) others(now time.Duration) (running, waiting float64) {
	if ablation.Disabled(ablation.ReportedLoad) {
		return 0, 0
	}
	running, waiting = s.service.usual(now)
	if s.loadTold {
		left := curve.Decay(1, now-s.loadAt, loadHalf)
		running += left * (s.running - running)
		waiting += left * (s.waiting - waiting)
	}
	return running, waiting
}

// pressure is how much work waits at the store, in requests: one that has its first answer still to come holds up others
// more than one that only goes on.
func (s *store) pressure(now time.Duration) float64 {
	running, waiting := s.others(now)
	unheard := float64(len(s.unheard))
	return running + float64(s.out) - unheard + waitingWeight*(waiting+unheard)
}

// open says whether the store may be sent anything now.
func (s *store) open(now time.Duration) bool {
	return s.listed && (s.State == Ready || s.State == Suspect) && !s.leftAlone(now)
}

// leftAlone says whether the store turned a request away, or could not be reached, a moment ago.
func (s *store) leftAlone(now time.Duration) bool {
	return now < s.leftTo && !ablation.Disabled(ablation.Backoff)
}

// warmth is the share of its capacity that the store has.
func (s *store) warmth(now time.Duration) float64 {
	if s.coldTo <= now || ablation.Disabled(ablation.SlowStart) {
		return 1
	}
	return tailguard.SlowStartShare(coldShare, now-s.coldFrom, s.coldTo-s.coldFrom)
}

// room says whether the store has a place for one request more: fewer than the cap of ours are out, and as far as it told
// there are places left.
func (s *store) room(now time.Duration) bool {
	warmth := s.warmth(now)
	if float64(s.out) >= max(s.cap*warmth, 1) && !ablation.Disabled(ablation.ConcurrencyLimit) {
		return false
	}
	return s.load(now) < max(float64(s.slots())*warmth, 1)
}

// late is the design's skip: the oldest request that nothing has come of is past the 99th percentile of the record.
func (s *store) late(now time.Duration) bool {
	if len(s.unheard) == 0 || ablation.Disabled(ablation.StallDetection) {
		return false
	}
	oldest := s.unheard[0]
	return (now - oldest.sentAt).Seconds() > s.patience(oldest.class, now)
}

// failingNow is the smoothed share of failures, as far as it isn't forgotten.
func (s *store) failingNow(now time.Duration) float64 {
	return curve.Decay(s.failing, now-s.failedAt, failingHalf)
}

// losingNow is the smoothed share of answers that were lost, as far as it isn't forgotten.
func (s *store) losingNow(now time.Duration) float64 {
	return curve.Decay(s.losing, now-s.lostAt, losingHalf)
}

// lost takes in whether an answer was lost.
func (s *store) lost(now time.Duration, lost bool) {
	s.losing, s.lostAt = lossRule.Next(s.losingNow(now), !lost, 1), now
}

// trust is 1 on the ordinary path, and less while the store fails, is slower than the others, or is cold.
func (s *store) trust(now time.Duration) float64 {
	if ablation.Disabled(ablation.HealthWeights) {
		return s.warmth(now)
	}
	slow := 1 + curve.Decay(max(s.slowness/max(s.service.slowness, 1), 1)-1, now-s.slowAt, latencyHalf)
	t := tailguard.Weight(s.failingNow(now), slow/slowSlack, s.warmth(now))
	if s.State == Suspect {
		t *= trusted
	}
	return t
}

// sound says whether the store is no suspect. To be cold is no fault.
func (s *store) sound(now time.Duration) bool { return s.trust(now) >= trusted*s.warmth(now) }

// note takes in a success or a failure.
func (s *store) note(now time.Duration, ok bool, weight float64) {
	s.failing, s.failedAt = failureRule.Next(s.failingNow(now), ok, weight), now
}

// heard takes in an answer time; quiet says that it was sent while the store was unloaded.
func (s *store) heard(c *class, now time.Duration, seconds float64, quiet bool) {
	c.refresh(now)
	ratio := seconds / c.base
	if s.slowness == 0 {
		s.slowness = ratio
	}
	weight := latencyWeight
	if ratio < capRule.Near {
		weight = latencyBack
	}
	s.slowness, s.slowAt = s.slowness+weight*(ratio-s.slowness), now
	s.service.slowness += slownessWeight * (ratio - s.service.slowness)
	c.recent.Add(now, seconds)
	c.fresh = false
	if quiet {
		s.remember(c, now, seconds)
	}
	rule := capRule
	rule.Min = max(rule.Min, float64(s.slots())*capSlots)
	s.cap, s.capFellAt = rule.Next(s.cap, s.capFellAt, now, s.slowness*c.base, c.base)
}

// told takes in the load that the store put into an answer; this request is still counted in it.
func (s *store) told(now time.Duration, running, waiting, slots int) {
	if slots > 0 {
		s.Slots = slots
	}
	unheard := len(s.unheard)
	s.running = float64(max(running-(s.out-unheard), 0))
	s.waiting = float64(max(waiting-unheard, 0))
	s.loadAt, s.loadTold = now, true
	v := s.service
	v.toldAt, v.tellsLoad = now, true
	v.running += loadWeight * (s.running - v.running)
	v.waiting += loadWeight * (s.waiting - v.waiting)
}

// forget drops a grant from those that nothing has come of.
func (s *store) forget(g *Grant) {
	for i, o := range s.unheard {
		if o == g {
			s.unheard = append(s.unheard[:i], s.unheard[i+1:]...)
			return
		}
	}
}
