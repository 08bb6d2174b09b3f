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

// placementSchedules is how many random schedules are played, each of placementScheduleTime in the bubble's time.
const (
	placementSchedules    = 12
	placementScheduleTime = 60 * time.Second
	extraFreezeTime       = 10 * time.Second // by which a freeze lasts longer than other faults
)

// valueHistory looks at the values that become known, at any machine, and keeps one of each version.
type valueHistory struct {
	t      *testing.T
	values map[uint64]*tierpb.ControlState
}

// observe fails if two values share a version, and where one is known whose neighbour is, if the step between them breaks
// a rule of placement.
func (w *valueHistory) observe(c *cluster) {
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
func (w *valueHistory) checkStep(from, to *tierpb.ControlState) {
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

// placementSchedule is one random schedule of five coordinators of which three vote.
type placementSchedule struct {
	*cluster
	random   *rand.Rand
	watched  *valueHistory
	away     map[string]time.Time // when a machine is to come back
	frozen   map[string]*frozenMachine
	isolated map[string]bool
	tally    *placementTally
}

// placementTally counts what the schedules held.
type placementTally struct{ Wipes, Sleeps, Stops int }

// TestRandomFaultsDuringPlacement kills, stops, cuts off and wipes coordinators and freezes lease holders at the
// points of a change, one disk at a time and none while a voter is missing. At rest three voters run and take changes, no
// two values shared a version, and what raised the term did nothing else.
func TestRandomFaultsDuringPlacement(t *testing.T) {
	tally := &placementTally{}
	for seed := range uint64(placementSchedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inCluster(t, 5, 1, func(c *cluster) {
				s := &placementSchedule{
					cluster: c, random: rand.New(rand.NewPCG(seed, 5)), away: make(map[string]time.Time),
					frozen: make(map[string]*frozenMachine), isolated: make(map[string]bool), tally: tally,
					watched: &valueHistory{t: c.t, values: make(map[uint64]*tierpb.ControlState)},
				}
				defer s.thawAll()
				s.play()
			})
		})
	}
	t.Logf("%d schedules: %+v", placementSchedules, *tally)
	assert.Assert(t, tally.Wipes >= placementSchedules && tally.Sleeps >= placementSchedules, "hardly anything happened")
}

func (s *placementSchedule) play() {
	assert.Equal(s.t, s.at("core-1").putConfiguration(0, configurationOf(1, "a")), 200)
	for ends := time.Now().Add(placementScheduleTime); time.Now().Before(ends); {
		for range 5 + s.random.IntN(30) {
			s.pass(50 * time.Millisecond)
			s.watched.observe(s.cluster)
		}
		s.heal(time.Now())
		s.injectFault(fmt.Sprintf("core-%d", 1+s.random.IntN(5)))
	}
	s.heal(time.Now().Add(time.Hour))
	s.awaitStableVoters(3, 1)
	s.watched.observe(s.cluster)
}

// injectFault does one thing to a machine that has no fault yet.
func (s *placementSchedule) injectFault(name string) {
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
		s.isolated[name] = true
		s.away[name] = back
	case 2:
		s.tally.Stops++
		s.at(name).membership.BeginShutdown()
		s.at(name).transfer.Run(context.Background())
		s.kill(name)
		s.away[name] = back
	case 3, 4:
		s.heal(time.Now().Add(time.Hour))
		s.pass(4 * time.Second)
		if s.fullyReplicated() {
			s.tally.Wipes++
			s.kill(name)
			s.wipe(name)
			s.away[name] = back
		}
	case 5, 6:
		name = s.leaseHolderOr(name)
		points := []failpoint.Point{failpoint.PlacementDecided, failpoint.PrepareDone, failpoint.AcceptSending, failpoint.VotersJoint}
		s.frozen[name] = s.freezeAt(name, points[s.random.IntN(len(points))])
		s.away[name] = back.Add(extraFreezeTime)
	}
}

// leaseHolderOr is the machine that holds the lease where that has no fault, else another.
func (s *placementSchedule) leaseHolderOr(other string) string {
	for _, name := range s.runningMachines() {
		if _, found := s.away[name]; !found && s.at(name).candidate.OwnsLease() {
			return name
		}
	}
	return other
}

// fullyReplicated reports that all voters of the newest value run and have it.
func (s *placementSchedule) fullyReplicated() bool {
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

// thawMachine ends the freeze of a machine, or the wait for it.
func (s *placementSchedule) thawMachine(name string) {
	machine := s.frozen[name]
	if machine == nil {
		return
	}
	delete(s.frozen, name)
	if machine.isFrozen() {
		s.tally.Sleeps++
	}
	s.at(name).points.set(nil)
	machine.thaw()
}

func (s *placementSchedule) thawAll() {
	for name := range s.frozen {
		s.thawMachine(name)
	}
}

// heal ends the faults that are over by a time.
func (s *placementSchedule) heal(by time.Time) {
	for name, back := range s.away {
		if back.After(by) {
			continue
		}
		delete(s.away, name)
		s.thawMachine(name)
		delete(s.isolated, name)
		s.isolate(name, false)
		if s.at(name) == nil {
			s.start(name, false)
		}
	}
	for name := range s.isolated {
		s.isolate(name, true)
	}
	for name, machine := range s.frozen {
		if machine.isFrozen() {
			s.isolate(name, true)
		}
	}
}
