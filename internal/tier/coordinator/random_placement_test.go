package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// placementDays is how many random schedules are played, each of placementDay in the bubble's time.
const (
	placementDays = 12
	placementDay  = 60 * time.Second
	sleepLonger   = 10 * time.Second // by which a sleep lasts longer than other troubles
)

// valueWatch looks at the values that become known, at any machine, and keeps one of each version.
type valueWatch struct {
	t      *testing.T
	values map[uint64]*tierpb.ControlState
}

// look fails if two values share a version, and where one is known whose neighbour is, if the step between them breaks
// a rule of placement.
func (w *valueWatch) look(c *cluster) {
	for name := range c.machines {
		p := c.at(name)
		if p == nil || p.state.Control() == nil {
			continue
		}
		value := p.state.Control()
		known := w.values[value.Version]
		if known == nil {
			w.values[value.Version] = value
			w.checkStep(w.values[value.Version-1], value)
			w.checkStep(value, w.values[value.Version+1])
			continue
		}
		assert.Equal(w.t, placement.TermOf(known), placement.TermOf(value), "two values of version %d", value.Version)
		assert.Equal(w.t, known.Epoch, value.Epoch, "two values of version %d", value.Version)
	}
}

// checkStep: a step that raises the term does nothing else, and one with other members leaves the term.
func (w *valueWatch) checkStep(from, to *tierpb.ControlState) {
	if from == nil || to == nil {
		return
	}
	before, after := placement.TermOf(from), placement.TermOf(to)
	if before == after {
		return
	}
	assert.Equal(w.t, after.Number, before.Number+1, "version %d", to.Version)
	assert.Equal(w.t, from.Epoch, to.Epoch, "version %d changes the term and the voters", to.Version)
	assert.Equal(w.t, from.GetStores().GetEpoch(), to.GetStores().GetEpoch(), "version %d changes the term and the stores", to.Version)
}

// placementSchedule is one random day of five coordinators of which three vote.
type placementSchedule struct {
	*cluster
	random  *rand.Rand
	watched *valueWatch
	away    map[string]time.Time // when a machine is to come back
	frozen  map[string]*sleeper
	cutOff  map[string]bool
	tally   *placementTally
}

// placementTally counts what the schedules held.
type placementTally struct{ Wipes, Sleeps, Stops int }

// TestRandomTroubleOfPlacement kills, stops, cuts off and wipes coordinators and freezes holders of the lease at the
// points of a change, one disk at a time and none while a voter is missing. At rest three voters run and take orders, no
// two values shared a version, and what raised the term did nothing else.
func TestRandomTroubleOfPlacement(t *testing.T) {
	tally := &placementTally{}
	for seed := range uint64(placementDays) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inCluster(t, 5, 1, func(c *cluster) {
				s := &placementSchedule{
					cluster: c, random: rand.New(rand.NewPCG(seed, 5)), away: make(map[string]time.Time),
					frozen: make(map[string]*sleeper), cutOff: make(map[string]bool), tally: tally,
					watched: &valueWatch{t: c.t, values: make(map[uint64]*tierpb.ControlState)},
				}
				defer s.wakeAll()
				s.play()
			})
		})
	}
	t.Logf("%d schedules: %+v", placementDays, *tally)
	assert.Assert(t, tally.Wipes >= placementDays && tally.Sleeps >= placementDays, "hardly anything happened")
}

func (s *placementSchedule) play() {
	assert.Equal(s.t, s.at("core-1").configured(0, configurationOf(1, "a")), 200)
	for ends := time.Now().Add(placementDay); time.Now().Before(ends); {
		for range 5 + s.random.IntN(30) {
			s.pass(50 * time.Millisecond)
			s.watched.look(s.cluster)
		}
		s.bringBack(time.Now())
		s.strike(fmt.Sprintf("core-%d", 1+s.random.IntN(5)))
	}
	s.bringBack(time.Now().Add(time.Hour))
	s.settled(3, 1)
	s.watched.look(s.cluster)
}

// strike does one thing to a machine that is not in trouble.
func (s *placementSchedule) strike(name string) {
	if _, found := s.away[name]; found {
		return
	}
	back := time.Now().Add(time.Duration(s.random.IntN(8000)) * time.Millisecond)
	switch s.random.IntN(8) {
	case 0:
		s.kill(name)
		s.away[name] = back
	case 1:
		s.isolate(name, true)
		s.cutOff[name] = true
		s.away[name] = back
	case 2:
		s.tally.Stops++
		s.at(name).membership.BeginShutdown()
		s.at(name).transfer.Run(context.Background())
		s.kill(name)
		s.away[name] = back
	case 3, 4:
		s.bringBack(time.Now().Add(time.Hour))
		s.pass(4 * time.Second)
		if s.whole() {
			s.tally.Wipes++
			s.kill(name)
			s.wipe(name)
			s.away[name] = back
		}
	case 5, 6:
		name = s.holderAmong(name)
		points := []failpoint.Point{failpoint.PlacementDecided, failpoint.PrepareDone, failpoint.AcceptSending, failpoint.VotersJoint}
		s.frozen[name] = s.freezeAt(name, points[s.random.IntN(len(points))])
		s.away[name] = back.Add(sleepLonger)
	}
}

// holderAmong is the machine that holds the lease where it is not in trouble, else another.
func (s *placementSchedule) holderAmong(other string) string {
	for _, name := range s.runningMachines() {
		if _, found := s.away[name]; !found && s.at(name).candidate.OwnsLease() {
			return name
		}
	}
	return other
}

// whole says that all voters of the newest value run and have it.
func (s *placementSchedule) whole() bool {
	var versions []uint64
	for _, name := range s.runningMachines() {
		if !s.votersRun(name) {
			return false
		}
		versions = append(versions, s.at(name).state.Control().GetVersion())
		if register.IsVoter(s.at(name).state.Control(), s.at(name).self.Identity) {
			versions = append(versions, s.at(name).acceptor.AcceptedValue().GetVersion())
		}
	}
	return len(slices.Compact(versions)) == 1
}

// wakeUp ends the sleep of a machine, or the wait for it.
func (s *placementSchedule) wakeUp(name string) {
	sleeping := s.frozen[name]
	if sleeping == nil {
		return
	}
	delete(s.frozen, name)
	if sleeping.sleeps() {
		s.tally.Sleeps++
	}
	s.at(name).points.set(nil)
	sleeping.thaw()
}

func (s *placementSchedule) wakeAll() {
	for name := range s.frozen {
		s.wakeUp(name)
	}
}

// bringBack ends the troubles that are over by a time.
func (s *placementSchedule) bringBack(by time.Time) {
	for name, back := range s.away {
		if back.After(by) {
			continue
		}
		delete(s.away, name)
		s.wakeUp(name)
		delete(s.cutOff, name)
		s.isolate(name, false)
		if s.at(name) == nil {
			s.start(name, false)
		}
	}
	for name := range s.cutOff {
		s.isolate(name, true)
	}
	for name, sleeping := range s.frozen {
		if sleeping.sleeps() {
			s.isolate(name, true)
		}
	}
}
