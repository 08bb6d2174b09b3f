package modelcheck

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Walk plays random runs of a scenario, one for each seed from the first on, until one breaks an invariant or a bound
// is reached. Each run draws which kinds of trouble it has and how often it leaves the default.
func Walk(t *testing.T, scenario *Scenario, first uint64, bounds Bounds, report func(Progress)) Progress {
	t.Helper()
	progress := Progress{Scenario: scenario.Name}
	began := time.Now()
	for seed := first; !bounds.reached(progress); seed++ {
		result := run(t, scenario, newWalker(seed))
		progress.count(result, began)
		progress.Deviations = len(result.Schedule)
		if report != nil {
			report(progress)
		}
		if result.Failure != "" {
			return progress
		}
	}
	return progress
}

// walker decides a run at random.
type walker struct {
	random  *rand.Rand
	allowed [kinds]bool
	share   float64 // of the points at which another action than the default is taken
	most    int     // deviations
	taken   int
}

const mostOfAWalk = 12 // deviations

func newWalker(seed uint64) *walker {
	random := rand.New(rand.NewPCG(seed, 0))
	drawn := &walker{random: random, share: 0.02 + 0.3*random.Float64()*random.Float64(), most: 1 + random.IntN(mostOfAWalk)}
	for kind := range drawn.allowed {
		drawn.allowed[kind] = random.IntN(2) == 0
	}
	return drawn
}

func (r *walker) decide(_ *world, actions []action) (int, bool) {
	if r.taken >= r.most || r.random.Float64() >= r.share {
		return 0, true
	}
	var byKind [kinds][]int
	var present []Kind
	for number, a := range actions {
		if number == 0 || !r.allowed[a.kind] {
			continue
		}
		if byKind[a.kind] == nil {
			present = append(present, a.kind)
		}
		byKind[a.kind] = append(byKind[a.kind], number)
	}
	if len(present) == 0 {
		return 0, true
	}
	r.taken++
	numbers := byKind[present[r.random.IntN(len(present))]]
	return numbers[r.random.IntN(len(numbers))], true
}
