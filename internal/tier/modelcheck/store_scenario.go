package modelcheck

import (
	"fmt"
	"testing"
	"time"
)

// StoreScenario describes the runs of turn stores of one kind: the real placement decides on their membership, and the
// real rules of replica sets say where records belong. The stores themselves are small models of what
// internal/tier/turnstore does: they accept writes of the epoch they know, copy their records to the new replica sets at a
// change of membership, and report the end of that. Time is a number, so there is no bubble and a run is quick.
type StoreScenario struct {
	Name      string
	Machines  int // with one turn store each
	Late      int // how many of them, the last ones, start later than the others
	Tolerance int // members that may be lost at the same time
	Keys      int // records that a client writes, one after the other
	Cycles    int // number of cycles with faults
	Limits    Limits
	Retire    bool // the operator retires the first machine at retireCycle
}

// Title implements Model.
func (s *StoreScenario) Title() string { return s.Name }

// StoreScenarios returns the scenarios of turn stores that are explored.
func StoreScenarios() []*StoreScenario {
	limits := Limits{Crashes: 2, Wipes: 2, Partitions: 1}
	return []*StoreScenario{
		{Name: "stores", Machines: 4, Late: 1, Tolerance: 1, Keys: 3, Cycles: 40, Limits: limits},
		{Name: "stores-retire", Machines: 5, Late: 1, Tolerance: 1, Keys: 3, Cycles: 50, Limits: limits, Retire: true},
	}
}

const (
	cycleTime      = 250 * time.Millisecond
	writeEvery     = 6 // cycles between records
	retireCycle    = 12
	joinCycles     = 2 // cycles between join requests
	recoveryCycles = 60
	lateStartCycle = 5  // first cycle in which the late machines run
	faultCycles    = 12 // cycles that a partition or a dead process lasts
	lateDelivery   = 6  // cycles that a delayed call is in flight
)

// play implements Model.
func (s *StoreScenario) play(_ *testing.T, by decider) (result Result) {
	r := newStoreRun(s)
	for r.failure == "" {
		actions := r.actions()
		if len(actions) == 0 {
			break
		}
		number, on := by.decide(point{number: r.points, kinds: storeKinds(actions), fingerprint: r.fingerprint})
		if !on {
			result.Pruned = true
			break
		}
		if number > 0 {
			result.Schedule = append(result.Schedule, Deviation{Point: r.points, Action: number})
		}
		r.execute(actions[number])
		r.check()
		r.points++
	}
	if !result.Pruned && r.failure == "" {
		r.verifyRecovery()
	}
	result.Failure, result.Points, result.Timeline = r.failure, r.points, r.timeline
	return result
}

// verifyRecovery lets time pass without faults; all moves must then end, and all records must be found.
func (r *storeRun) verifyRecovery() {
	r.recovering = true
	for _, m := range r.machines {
		m.reachableAt = 0
	}
	for end := r.cycle + recoveryCycles; r.cycle < end && r.failure == ""; {
		r.execute(r.actions()[0])
		r.check()
		r.points++
	}
	switch stores := r.control.Stores; {
	case r.failure != "":
	case len(stores.Previous) > 0:
		r.fail("the move to epoch %d has not ended", stores.Epoch)
	case len(r.acknowledged) < r.scenario.Keys:
		r.fail("%d of %d records are written", len(r.acknowledged), r.scenario.Keys)
	}
}

func (r *storeRun) fail(format string, arguments ...any) {
	if r.failure == "" {
		r.failure = fmt.Sprintf(format, arguments...)
	}
}
