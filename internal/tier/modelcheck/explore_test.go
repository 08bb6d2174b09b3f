package modelcheck

import (
	"flag"
	"runtime/debug"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	hours      = flag.Float64("hours", 0, "how long TestExplore goes on")
	only       = flag.String("scenario", "", "name of the one scenario to explore; all of them where empty")
	deviations = flag.Int("deviations", 2, "most deviations of a run in a search; 0 for walks alone")
	firstSeed  = flag.Uint64("first-seed", 1, "seed of the first walk")
	toReplay   = flag.String("schedule", "", "schedule of -scenario to replay, as a failure prints it")
)

// Times of an exploration.
const (
	reportInterval = 10 * time.Second
	walkTurn       = time.Minute // of the walks of one scenario before the next has its turn
)

// TestExplore searches each scenario, and then walks through all of them in turn until the hours are over.
func TestExplore(t *testing.T) {
	if *hours <= 0 {
		t.Skip("no -hours")
	}
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	until := time.Now().Add(time.Duration(*hours * float64(time.Hour)))
	if *deviations > 0 {
		searchAll(t, until)
	}
	seeds := make(map[string]uint64)
	for time.Now().Before(until) && !t.Failed() {
		for _, scenario := range chosenScenarios(t) {
			seed := *firstSeed + seeds[scenario.Name]
			progress := Walk(t, scenario, seed, Bounds{Time: min(walkTurn, time.Until(until))}, nil)
			seeds[scenario.Name] += uint64(progress.Runs)
			t.Logf("walk from seed %d", seed)
			judge(t, scenario, progress)
		}
	}
}

// searchAll shares half of the time among the scenarios' searches, first with one deviation, then with more.
func searchAll(t *testing.T, until time.Time) {
	scenarios := chosenScenarios(t)
	share := time.Until(until) / 2 / time.Duration(len(scenarios))
	for _, scenario := range scenarios {
		reported := time.Now()
		report := func(progress Progress) {
			if time.Since(reported) >= reportInterval {
				reported = time.Now()
				t.Log(progress)
			}
		}
		judge(t, scenario, NewSearch(scenario, *deviations).Play(t, Bounds{Time: share}, report))
	}
}

// TestReplay plays the schedule that the command line gives and shows its timeline.
func TestReplay(t *testing.T) {
	if *only == "" || *toReplay == "" {
		t.Skip("no -scenario or no -schedule")
	}
	schedule, err := ParseSchedule(*toReplay)
	assert.NilError(t, err)
	result := Replay(t, chosenScenarios(t)[0], schedule)
	t.Logf("%d points\n%s", result.Points, result.Timeline)
	assert.Equal(t, result.Failure, "")
}

func chosenScenarios(t *testing.T) []*Scenario {
	if *only == "" {
		return Scenarios()
	}
	scenario := ScenarioNamed(*only)
	assert.Assert(t, scenario != nil, "no scenario is named %q", *only)
	return []*Scenario{scenario}
}
