package modelcheck

import "testing"

// Shrink removes deviations from a failing schedule, one at a time, as long as the run violates some invariant without
// them. It returns the result of the shortest schedule found.
func Shrink(t *testing.T, model Model, schedule Schedule) Result {
	t.Helper()
	best := Replay(t, model, schedule)
	for index := 0; index < len(best.Schedule); {
		shorter := Replay(t, model, best.Schedule.without(index))
		if shorter.Failure == "" || len(shorter.Schedule) >= len(best.Schedule) {
			index++
			continue
		}
		best, index = shorter, 0
	}
	return best
}
