package modelcheck

import (
	"fmt"
	"testing"
	"time"
)

// Bounds of an exploration. The first that is reached ends it; zero is none.
type Bounds struct {
	Deviations int           // most in one run; of a search only
	Runs       int           // most runs
	Time       time.Duration // of the machine's clock
}

// Progress is how far an exploration has come.
type Progress struct {
	Scenario   string
	Runs       int
	Points     int           // decisions over all runs
	States     int           // distinct ones; of a search only
	Deviations int           // of the present run
	Waiting    int           // runs that are known and not played; of a search only
	Complete   bool          // all runs within the bound of deviations were played
	Elapsed    time.Duration // of the machine's clock
	Failure    string
	Schedule   Schedule // of the failure
}

// String is a line of progress.
func (p Progress) String() string {
	text := fmt.Sprintf("%s: %d runs, %d points, %.1f s, %.0f runs/s", p.Scenario, p.Runs, p.Points, p.Elapsed.Seconds(),
		float64(p.Runs)/max(p.Elapsed.Seconds(), 0.001))
	if p.States > 0 {
		text += fmt.Sprintf(", %d states, depth %d, %d runs wait, complete %v", p.States, p.Deviations, p.Waiting, p.Complete)
	}
	return text
}

// Search plays the runs of a scenario in the order of the number of their deviations until one breaks an invariant or a
// bound is reached. It leaves runs that go on from a state that was met with as many deviations left.
func Search(t *testing.T, scenario *Scenario, bounds Bounds, report func(Progress)) Progress {
	t.Helper()
	search := &search{states: make(map[uint64]uint8), bound: bounds.Deviations}
	progress := Progress{Scenario: scenario.Name}
	began := time.Now()
	frontier := []Schedule{nil}
	for len(frontier) > 0 && !bounds.reached(progress) {
		search.prefix, search.found = frontier[0], nil
		frontier = frontier[1:]
		result := run(t, scenario, search)
		frontier = append(frontier, search.found...)
		progress.count(result, began)
		progress.States, progress.Waiting, progress.Deviations = len(search.states), len(frontier), len(search.prefix)
		if report != nil {
			report(progress)
		}
		if result.Failure != "" {
			return progress
		}
	}
	progress.Complete = len(frontier) == 0
	return progress
}

func (b Bounds) reached(p Progress) bool {
	return b.Runs > 0 && p.Runs >= b.Runs || b.Time > 0 && p.Elapsed >= b.Time
}

func (p *Progress) count(result Result, began time.Time) {
	p.Runs++
	p.Points += result.Points
	p.Elapsed = time.Since(began)
	p.Failure, p.Schedule = result.Failure, result.Schedule
}

// search decides a run that follows a prefix and takes the default from there on.
type search struct {
	bound  int
	prefix Schedule
	found  []Schedule       // runs with one deviation more than the prefix
	states map[uint64]uint8 // one more than the most deviations that were left in a state
}

func (s *search) decide(w *world, actions []action) (int, bool) {
	if last := len(s.prefix) - 1; last >= 0 && w.points <= s.prefix[last].Point {
		for _, deviation := range s.prefix {
			if deviation.Point == w.points {
				return deviation.Action, true
			}
		}
		return 0, true
	}
	left := s.bound - len(s.prefix)
	state := w.fingerprint()
	if s.states[state] > uint8(left) {
		return 0, false
	}
	s.states[state] = uint8(left) + 1
	if left > 0 {
		for number := 1; number < len(actions); number++ {
			s.found = append(s.found, s.prefix.with(Deviation{Point: w.points, Action: number}))
		}
	}
	return 0, true
}
