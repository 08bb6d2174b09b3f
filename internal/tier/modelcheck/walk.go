package modelcheck

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Walk plays random runs of a model, one for each seed from the first on, until one violates an invariant or a bound is
// reached. Each run draws which kinds of faults it has and how often it deviates from the default.
func Walk(t *testing.T, model Model, first uint64, bounds Bounds, report func(Progress)) Progress {
	t.Helper()
	progress := Progress{Model: model.Title()}
	began := time.Now()
	for seed := first; !bounds.reached(progress); seed++ {
		result := model.play(t, newWalker(seed))
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

// walker is a decider that chooses at random.
type walker struct {
	random        *rand.Rand
	enabled       [kindCount]bool
	deviationRate float64 // share of the points at which the run deviates
	maxDeviations int     // limit of deviations
	deviations    int
}

// Bounds of a walk. Their draws make some runs deviate early and often, others late and seldom.
const (
	maxWalkDeviations = 12  // deviations
	maxDeviationRate  = 0.3 // share of the points; the least is a hundredth of it
)

func newWalker(seed uint64) *walker {
	random := rand.New(rand.NewPCG(seed, 0))
	drawn := &walker{
		random: random, deviationRate: maxDeviationRate * math.Pow(10, -2*random.Float64()),
		maxDeviations: 1 + random.IntN(maxWalkDeviations),
	}
	for kind := range drawn.enabled {
		drawn.enabled[kind] = random.IntN(2) == 0
	}
	return drawn
}

func (r *walker) decide(at point) (int, bool) {
	if r.deviations >= r.maxDeviations || r.random.Float64() >= r.deviationRate {
		return 0, true
	}
	var byKind [kindCount][]int
	var present []Kind
	for number, kind := range at.kinds {
		if number == 0 || !r.enabled[kind] {
			continue
		}
		if byKind[kind] == nil {
			present = append(present, kind)
		}
		byKind[kind] = append(byKind[kind], number)
	}
	if len(present) == 0 {
		return 0, true
	}
	r.deviations++
	numbers := byKind[present[r.random.IntN(len(present))]]
	return numbers[r.random.IntN(len(numbers))], true
}
