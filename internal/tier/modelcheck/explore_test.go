package modelcheck

import (
	"flag"
	"runtime/debug"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	hours            = flag.Float64("hours", 0, "duration of TestExplore; 0 skips it")
	scenarioName     = flag.String("scenario", "", "name of the only model to explore; empty for all")
	deviations       = flag.Int("deviations", 2, "limit of the deviations of a run in a search; 0 for walks only")
	firstSeed        = flag.Uint64("first-seed", 1, "seed of the first walk")
	shardIndex       = flag.Int("part", 0, "index of this process among the -parts processes that share the searches")
	shardCount       = flag.Int("parts", 1, "number of processes")
	scheduleToReplay = flag.String("schedule", "", "schedule of -scenario to replay, as a failure prints it")
)

// Times of an exploration.
const (
	reportInterval = 10 * time.Second
	walkTimeSlice  = 20 * time.Second // walks of one model before those of the next one
)

// TestExplore searches each model, and then runs walks of all of them in turn until the time of -hours is over.
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
		for _, model := range chosenModels(t) {
			left := min(walkTimeSlice, time.Until(until))
			if left <= 0 {
				break
			}
			seed := *firstSeed + seeds[model.Title()]
			progress := Walk(t, model, seed, Bounds{Time: left}, nil)
			seeds[model.Title()] += uint64(progress.Runs)
			t.Logf("walk from seed %d", seed)
			requireNoFailure(t, model, progress)
		}
	}
}

// searchAll divides half of the time among the searches of this process.
func searchAll(t *testing.T, until time.Time) {
	t.Helper()
	models := ownShard(chosenModels(t))
	if len(models) == 0 {
		return
	}
	timeForEach := max(time.Until(until)/2/time.Duration(len(models)), time.Millisecond)
	for _, model := range models {
		reported := time.Now()
		report := func(progress Progress) {
			if time.Since(reported) >= reportInterval {
				reported = time.Now()
				t.Log(progress)
			}
		}
		requireNoFailure(t, model, NewSearch(model, *deviations).Play(t, Bounds{Time: timeForEach}, report))
	}
}

// ownShard returns the models that this process searches.
func ownShard(all []Model) (own []Model) {
	for i, model := range all {
		if i%*shardCount == *shardIndex {
			own = append(own, model)
		}
	}
	return own
}

// TestReplay plays the schedule that the command line gives and shows its timeline.
func TestReplay(t *testing.T) {
	if *scenarioName == "" || *scheduleToReplay == "" {
		t.Skip("no -scenario or no -schedule")
	}
	schedule, err := ParseSchedule(*scheduleToReplay)
	assert.NilError(t, err)
	result := Replay(t, chosenModels(t)[0], schedule)
	t.Logf("%d points\n%s", result.Points, result.Timeline)
	assert.Equal(t, result.Failure, "")
}

func chosenModels(t *testing.T) []Model {
	t.Helper()
	if *scenarioName == "" {
		return Models()
	}
	for _, model := range Models() {
		if model.Title() == *scenarioName {
			return []Model{model}
		}
	}
	t.Fatalf("no scenario is named %q", *scenarioName)
	return nil
}
