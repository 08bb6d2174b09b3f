package modelcheck

import (
	"slices"
	"testing"
	"testing/synctest"
)

// Result is the end of a run.
type Result struct {
	Failure  string   // the first broken invariant; empty where there is none
	Schedule Schedule // the deviations that were taken
	Points   int      // up to the last decision
	Pruned   bool     // the run was left because it goes on from a state that was met before
	Timeline *Timeline
}

// Model is what is explored: a Scenario, or a StoreScenario.
type Model interface {
	// Title names the model on the command line.
	Title() string
	// play plays a run as a decider says.
	play(t *testing.T, by decider) Result
}

// Models returns all that is explored.
func Models() (models []Model) {
	for _, scenario := range Scenarios() {
		models = append(models, scenario)
	}
	for _, scenario := range StoreScenarios() {
		models = append(models, scenario)
	}
	return models
}

// decider chooses at each point one of the actions, of whose kinds the first is the default; false leaves the run.
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

// maxPoints bounds a run; trouble that has not ended by then ends.
const maxPoints = 2000

func (s *Scenario) play(t *testing.T, by decider) (result Result) {
	t.Helper()
	defer drawFixed()()
	synctest.Test(t, func(*testing.T) {
		w := newWorld(s)
		defer w.end()
		result.Pruned = !w.play(by, &result)
		if !result.Pruned {
			w.rest()
		}
		result.Failure = w.checks.broken()
		result.Timeline = w.timeline
	})
	return result
}

// play goes through the points of a run until nothing is left to do or an invariant is broken; false says that the
// decider has left it.
func (w *world) play(by decider, result *Result) bool {
	for w.points < maxPoints && w.checks.broken() == "" {
		actions := w.actions()
		if len(actions) == 0 {
			break
		}
		number, on := by.decide(point{number: w.points, kinds: kindsOf(actions), fingerprint: w.fingerprint})
		if !on {
			return false
		}
		if number > 0 {
			result.Schedule = append(result.Schedule, Deviation{Point: w.points, Action: number})
		}
		w.do(actions[number])
		w.points++
		result.Points = w.points
	}
	return true
}

// rest ends all trouble; the register must then be readable and changeable, and the history must fit.
func (w *world) rest() {
	if w.checks.broken() != "" {
		return
	}
	w.resting = true
	w.calm()
	w.drain()
	w.share()
	if w.scenario.Lease {
		return
	}
	for _, plan := range w.scenario.rest() {
		o := &operation{Operation: plan, world: w, number: len(w.operations)}
		if o.Kind == Put {
			o.From = w.operations[len(w.operations)-1].state.GetConfiguration().GetGeneration()
		}
		w.operations = append(w.operations, o)
		w.offerOperations()
		w.drain()
	}
	if w.checks.broken() == "" {
		w.checks.atEnd()
	}
}

// calm heals all cuts, thaws all processes and starts those that have ended.
func (w *world) calm() {
	for _, node := range w.nodes {
		node.cut, node.deaf = false, false
		node.frozen = w.began
		if node.process == nil {
			node.start(w, false)
		}
	}
	w.held = slices.DeleteFunc(w.held, func(e *event) bool { return e.kind == startEvent || e.kind == healEvent })
}

// drain takes default actions until nothing is left to do.
func (w *world) drain() {
	for range maxPoints {
		actions := w.actions()
		if len(actions) == 0 || w.checks.broken() != "" {
			return
		}
		w.do(actions[0])
		w.points++
	}
}

// share brings the newest chosen value, or where nobody knows one an accepted value, to all, as watches would.
func (w *world) share() {
	for _, one := range w.nodes {
		for _, other := range w.nodes {
			if one.process == nil || other.process == nil {
				continue
			}
			if state := other.process.newestKnown(); state != nil {
				one.process.learn(state)
			}
		}
	}
	for _, one := range w.nodes {
		for _, other := range w.nodes {
			if one.process != nil && other.process != nil && one.process.newestKnown() == nil {
				one.process.guess(other.process.acceptor.AcceptedValue())
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
