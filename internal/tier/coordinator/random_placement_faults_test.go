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

// Number and duration of the random schedules, in simulated time.
const (
	placementSchedules    = 12
	placementScheduleTime = 60 * time.Second
	extraFreezeTime       = 10 * time.Second // added to the duration of a freeze, compared to other faults
)

// valueHistory collects the chosen values that any machine knows, one per version.
type valueHistory struct {
	t      *testing.T
	values map[uint64]*tierpb.ControlState
}

// collect collects the values that the machines know. The test fails if two values of one version have different terms or
// epochs, or if checkStep fails between consecutive versions.
func (w *valueHistory) collect(c *cluster) {
	for name := range c.machines {
		p := c.process(name)
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

// checkStep checks that a change of the term raises it by one and changes neither the voters nor the turn store members.
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
	assert.Equal(w.t, from.GetStores().GetEpoch(), to.GetStores().GetEpoch(), "version %d changes the term and the turn stores", to.Version)
}

// placementSchedule is a random schedule of faults for five coordinators, three of which are voters.
type placementSchedule struct {
	*cluster
	random      *rand.Rand
	history     *valueHistory
	faultEnds   map[string]time.Time // when the fault of each faulty machine ends
	frozen      map[string]*frozenMachine
	isolated    map[string]bool
	faultCounts *placementFaultCounts
}

// placementFaultCounts counts the faults of all schedules.
type placementFaultCounts struct{ Wipes, Freezes, Stops int }

// Coordinators are killed, shut down, isolated and wiped at random, and lease holders are frozen at the failpoints of a change.
// A disk is wiped only while all voters run and have the newest value. After the faults have ended three voters must run and
// commit changes. At no time may two values of one version differ, or a change that raises the term change anything else.
func TestRandomFaultsDuringPlacement(t *testing.T) {
	faultCounts := &placementFaultCounts{}
	for seed := range uint64(placementSchedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withCluster(t, 5, 1, func(c *cluster) {
				s := &placementSchedule{
					cluster: c, random: rand.New(rand.NewPCG(seed, 5)), faultEnds: make(map[string]time.Time),
					frozen: make(map[string]*frozenMachine), isolated: make(map[string]bool), faultCounts: faultCounts,
					history: &valueHistory{t: c.t, values: make(map[uint64]*tierpb.ControlState)},
				}
				defer s.thawAll()
				s.run()
			})
		})
	}
	t.Logf("%d schedules: %+v", placementSchedules, *faultCounts)
	assert.Assert(t, faultCounts.Wipes >= placementSchedules && faultCounts.Freezes >= placementSchedules, "too few faults were injected")
}

// run runs the schedule and checks that the cluster recovers.
func (s *placementSchedule) run() {
	assert.Equal(s.t, s.process("core-1").putConfiguration(0, configurationOf(1, "a")), 200)
	for ends := time.Now().Add(placementScheduleTime); time.Now().Before(ends); {
		for range 5 + s.random.IntN(30) {
			s.advance(50 * time.Millisecond)
			s.history.collect(s.cluster)
		}
		s.heal(time.Now())
		s.injectFault(fmt.Sprintf("core-%d", 1+s.random.IntN(5)))
	}
	s.heal(time.Now().Add(time.Hour))
	s.awaitStableVoters(3, 1)
	s.history.collect(s.cluster)
}

// injectFault injects a random fault, or none, unless the machine is already faulty. Freezes hit the lease holder if possible.
func (s *placementSchedule) injectFault(name string) {
	if _, found := s.faultEnds[name]; found {
		return
	}
	faultEnd := time.Now().Add(time.Duration(s.random.IntN(8000)) * time.Millisecond)
	switch s.random.IntN(8) {
	case 0:
		s.kill(name)
		s.faultEnds[name] = faultEnd
	case 1:
		s.isolate(name, true)
		s.isolated[name] = true
		s.faultEnds[name] = faultEnd
	case 2:
		s.faultCounts.Stops++
		s.process(name).membership.BeginShutdown()
		s.process(name).transfer.Run(context.Background())
		s.kill(name)
		s.faultEnds[name] = faultEnd
	case 3, 4:
		s.heal(time.Now().Add(time.Hour))
		s.advance(4 * time.Second)
		if s.fullyReplicated() {
			s.faultCounts.Wipes++
			s.kill(name)
			s.wipe(name)
			s.faultEnds[name] = faultEnd
		}
	case 5, 6:
		name = s.leaseHolderOr(name)
		points := []failpoint.Point{failpoint.PlacementDecided, failpoint.PrepareDone, failpoint.AcceptSending, failpoint.VotersJoint}
		s.frozen[name] = s.freezeAt(name, points[s.random.IntN(len(points))])
		s.faultEnds[name] = faultEnd.Add(extraFreezeTime)
	}
}

// leaseHolderOr returns the machine that holds the lease if it is not faulty, and the given one otherwise.
func (s *placementSchedule) leaseHolderOr(other string) string {
	for _, name := range s.runningMachines() {
		if _, found := s.faultEnds[name]; !found && s.process(name).candidate.OwnsLease() {
			return name
		}
	}
	return other
}

// fullyReplicated reports whether all voters run and all running machines know the same version, which all voters have accepted.
func (s *placementSchedule) fullyReplicated() bool {
	var versions []uint64
	for _, name := range s.runningMachines() {
		if !s.allVotersRun(name) {
			return false
		}
		versions = append(versions, s.process(name).state.Control().GetVersion())
		if register.IsVoter(s.process(name).state.Control(), s.process(name).self.Identity) {
			versions = append(versions, s.process(name).acceptor.AcceptedValue().GetVersion())
		}
	}
	return len(slices.Compact(versions)) == 1
}

// thawMachine ends the freeze of a machine, or cancels it if the machine has not reached the failpoint yet.
func (s *placementSchedule) thawMachine(name string) {
	machine := s.frozen[name]
	if machine == nil {
		return
	}
	delete(s.frozen, name)
	if machine.isFrozen() {
		s.faultCounts.Freezes++
	}
	s.process(name).failpoints.set(nil)
	machine.thaw()
}

func (s *placementSchedule) thawAll() {
	for name := range s.frozen {
		s.thawMachine(name)
	}
}

// heal ends the faults whose time is over at the given time, and isolates again the machines that are still faulty: ending a
// fault may have unblocked their links.
func (s *placementSchedule) heal(by time.Time) {
	for name, faultEnd := range s.faultEnds {
		if faultEnd.After(by) {
			continue
		}
		delete(s.faultEnds, name)
		s.thawMachine(name)
		delete(s.isolated, name)
		s.isolate(name, false)
		if s.process(name) == nil {
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
