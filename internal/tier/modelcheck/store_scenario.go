package modelcheck

import (
	"fmt"
	"testing"
	"time"
)

// StoreScenario is what happens to turn stores in all runs of one kind: the real placement decides on their
// membership, and the real rules of replica sets say where records belong. The stores themselves are small models of
// what internal/tier/turnstore does: they take writes of the epoch they know, hand on what they hold at a change of
// members, and report it. Time is a number, so there is no bubble and a run is quick.
type StoreScenario struct {
	Name      string
	Machines  int // with a turn store each
	Late      int // of these, the last ones come only when the others are members
	Tolerance int // members that may be lost at once
	Keys      int // records that a client writes, one after the other
	Cycles    int // after which trouble ends
	Limits    Limits
	Retire    bool // the operator has the first machine emptied after some cycles
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
	writeEvery     = 6 // cycles from one record to the next
	retireCycle    = 12
	joinCycles     = 2 // cycles from one call to join to the next
	recoveryCycles = 60
	lateStartCycle = 5  // the first in which the late machines run
	faultCycles    = 12 // cycles that a cut or a dead process lasts
	lateDelivery   = 6  // cycles for which a delayed call is under way
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

// rest lets time go by without trouble; all moves must come to their end then, and all records must be found.
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
