package modelcheck

import "testing"

// Shrink leaves out deviations of a failing schedule as long as the run breaks some invariant without them. The result
// is that of the shortest schedule found.
func Shrink(t *testing.T, scenario *Scenario, schedule Schedule) Result {
	t.Helper()
	best := Replay(t, scenario, schedule)
	for index := 0; index < len(best.Schedule); {
		shorter := Replay(t, scenario, best.Schedule.without(index))
		if shorter.Failure == "" || len(shorter.Schedule) >= len(best.Schedule) {
			index++
			continue
		}
		best, index = shorter, 0
	}
	return best
}
