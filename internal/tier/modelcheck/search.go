package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Bounds limit an exploration. The first that is reached ends it; 0 is no limit.
type Bounds struct {
	Runs int           // number of runs
	Time time.Duration // wall-clock time
}

// Progress is how far an exploration has come.
type Progress struct {
	Model      string
	Runs       int
	Points     int           // scheduling decisions, over all runs
	States     int           // distinct states; of a search only
	Deviations int           // of the last run
	Pending    int           // runs that are discovered and not played; of a search only
	Complete   bool          // all runs within the bound of deviations were played
	Elapsed    time.Duration // wall-clock time
	Failure    string
	Schedule   Schedule // of the failure
}

// String is a line of progress.
func (p Progress) String() string {
	text := fmt.Sprintf("%s: %d runs, %d points, %.1f s, %.0f runs/s", p.Model, p.Runs, p.Points, p.Elapsed.Seconds(),
		float64(p.Runs)/max(p.Elapsed.Seconds(), 0.001))
	if p.States > 0 {
		text += fmt.Sprintf(", %d states, depth %d, %d runs pending, complete %v", p.States, p.Deviations, p.Pending, p.Complete)
	}
	return text
}

// Search plays the runs of a model in the order of the number of their deviations. Runs with equally many are played in
// an order that is drawn, the same each time. A run is pruned at a state that was met with as many deviations left.
type Search struct {
	model         Model
	maxDeviations int
	progress      Progress
	pending       [][]*branch // by the number of deviations
	states        map[uint64]uint8
	random        *rand.Rand

	current *branch // of the run that is being played
	prefix  Schedule
}

// branch is a run that is discovered and not played: another run's deviations with one more.
type branch struct {
	from *branch
	last Deviation
}

// NewSearch creates a search of the runs with up to the given number of deviations.
func NewSearch(model Model, deviations int) *Search {
	return &Search{
		model: model, maxDeviations: deviations, progress: Progress{Model: model.Title(), Pending: 1},
		pending: append([][]*branch{{{}}}, make([][]*branch, deviations)...),
		states:  make(map[uint64]uint8), random: rand.New(rand.NewPCG(0, 0)),
	}
}

// Play continues the search until a run violates an invariant, the bounds are reached, or no run is left. The bounds
// count all that the search has played so far, in earlier calls too.
func (s *Search) Play(t *testing.T, bounds Bounds, report func(Progress)) Progress {
	t.Helper()
	began := time.Now().Add(-s.progress.Elapsed)
	for !bounds.reached(s.progress) && s.next() {
		result := s.model.play(t, s)
		s.progress.count(result, began)
		s.progress.States, s.progress.Deviations = len(s.states), len(s.prefix)
		s.progress.Pending--
		if report != nil {
			report(s.progress)
		}
		if result.Failure != "" {
			break
		}
	}
	s.progress.Complete = s.progress.Pending == 0
	return s.progress
}

// next draws one of the runs with the fewest deviations; false says that none is left.
func (s *Search) next() bool {
	for count, branches := range s.pending {
		if len(branches) == 0 {
			continue
		}
		drawn, last := s.random.IntN(len(branches)), len(branches)-1
		s.current = branches[drawn]
		branches[drawn], branches[last] = branches[last], nil
		s.pending[count] = branches[:last]
		s.prefix = s.current.schedule(count)
		return true
	}
	return false
}

// schedule returns all deviations of a branch, of which there are count.
func (b *branch) schedule(count int) Schedule {
	schedule := make(Schedule, count)
	for i := count - 1; i >= 0; i-- {
		schedule[i] = b.last
		b = b.from
	}
	return schedule
}

// decide implements decider: it follows the prefix, and takes the default from there on.
func (s *Search) decide(at point) (int, bool) {
	if last := len(s.prefix) - 1; last >= 0 && at.number <= s.prefix[last].Point {
		return s.prefix.at(at.number), true
	}
	left := s.maxDeviations - len(s.prefix)
	state := at.fingerprint()
	if s.states[state] > uint8(left) {
		return 0, false
	}
	s.states[state] = uint8(left) + 1
	if left > 0 {
		s.branchOff(at.number, len(at.kinds))
	}
	return 0, true
}

// branchOff adds the runs that deviate from the present one at a point.
func (s *Search) branchOff(point, actions int) {
	count := len(s.prefix) + 1
	for number := 1; number < actions; number++ {
		branch := &branch{from: s.current, last: Deviation{Point: point, Action: number}}
		s.pending[count] = append(s.pending[count], branch)
		s.progress.Pending++
	}
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
