package modelcheck

import (
	"slices"
	"testing"
	"testing/synctest"
)

// Result is the outcome of a run.
type Result struct {
	Failure  string   // the first violated invariant; empty if there is none
	Schedule Schedule // the deviations that were taken
	Points   int      // up to the last decision
	Pruned   bool     // the run was abandoned at a state that was met before
	Timeline *Timeline
}

// Model is what is explored: a Scenario, or a StoreScenario.
type Model interface {
	// Title names the model on the command line.
	Title() string
	// play plays one run; the decider chooses its actions.
	play(t *testing.T, by decider) Result
}

// Models returns all models that are explored.
func Models() (models []Model) {
	for _, scenario := range Scenarios() {
		models = append(models, scenario)
	}
	for _, scenario := range StoreScenarios() {
		models = append(models, scenario)
	}
	return models
}

// decider chooses an action at each point; the action with number 0 is the default. False abandons the run.
type decider interface {
	decide(at point) (number int, on bool)
}

// point is what a decider may know of a run.
type point struct {
	number      int
	kinds       []Kind
	fingerprint func() uint64 // of the state
}

// Title implements Model.
func (s *Scenario) Title() string { return s.Name }

// maxPoints bounds the length of a run; faults that last longer end there.
const maxPoints = 2000

func (s *Scenario) play(t *testing.T, by decider) (result Result) {
	t.Helper()
	defer fixRandomness()()
	synctest.Test(t, func(*testing.T) {
		r := newRun(s)
		defer r.end()
		result.Pruned = !r.play(by, &result)
		if !result.Pruned {
			r.verifyRecovery()
		}
		result.Failure = r.checks.firstFailure()
		result.Timeline = r.timeline
	})
	return result
}

// play goes through the points of a run until nothing is left to do or an invariant is violated. It returns false if the
// decider has abandoned the run.
func (r *run) play(by decider, result *Result) bool {
	for r.points < maxPoints && r.checks.firstFailure() == "" {
		actions := r.actions()
		if len(actions) == 0 {
			break
		}
		number, on := by.decide(point{number: r.points, kinds: actionKinds(actions), fingerprint: r.fingerprint})
		if !on {
			return false
		}
		if number > 0 {
			result.Schedule = append(result.Schedule, Deviation{Point: r.points, Action: number})
		}
		r.execute(actions[number])
		r.points++
		result.Points = r.points
	}
	return true
}

// verifyRecovery ends all faults; the register must then be readable and changeable, and the history linearizable.
func (r *run) verifyRecovery() {
	if r.checks.firstFailure() != "" {
		return
	}
	r.recovering = true
	r.endFaults()
	r.runDefaults()
	r.shareNewestValue()
	if r.scenario.Lease {
		return
	}
	for _, plan := range r.scenario.finalOperations() {
		o := &operation{Operation: plan, run: r, number: len(r.operations)}
		if o.Kind == Put {
			o.From = r.operations[len(r.operations)-1].state.GetConfiguration().GetGeneration()
		}
		r.operations = append(r.operations, o)
		r.offerOperations()
		r.runDefaults()
	}
	if r.checks.firstFailure() == "" {
		r.checks.checkHistory()
	}
}

// endFaults heals all partitions, thaws all processes and starts those that have ended.
func (r *run) endFaults() {
	for _, node := range r.nodes {
		node.partitioned, node.inboundPartitioned = false, false
		node.frozen = r.began
		if node.process == nil {
			node.start(r, false)
		}
	}
	r.deferred = slices.DeleteFunc(r.deferred, func(e *event) bool { return e.kind == startEvent || e.kind == healEvent })
}

// runDefaults takes default actions until nothing is left to do.
func (r *run) runDefaults() {
	for range maxPoints {
		actions := r.actions()
		if len(actions) == 0 || r.checks.firstFailure() != "" {
			return
		}
		r.execute(actions[0])
		r.points++
	}
}

// shareNewestValue gives every process the newest chosen value, as watches would, or an accepted value if no process
// knows a chosen one.
func (r *run) shareNewestValue() {
	for _, one := range r.nodes {
		for _, other := range r.nodes {
			if one.process == nil || other.process == nil {
				continue
			}
			if state := other.process.newestKnown(); state != nil {
				one.process.learn(state)
			}
		}
	}
	for _, one := range r.nodes {
		for _, other := range r.nodes {
			if one.process != nil && other.process != nil && one.process.newestKnown() == nil {
				one.process.assume(other.process.acceptor.AcceptedValue())
			}
		}
	}
}

// replayer takes the deviations of a schedule.
type replayer struct{ schedule Schedule }

func (r *replayer) decide(at point) (int, bool) {
	if number := r.schedule.at(at.number); number < len(at.kinds) {
		return number, true
	}
	return 0, true
}

// Replay plays a schedule of a model.
func Replay(t *testing.T, model Model, schedule Schedule) Result {
	t.Helper()
	return model.play(t, &replayer{schedule: schedule})
}
