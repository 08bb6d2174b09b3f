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
	only       = flag.String("scenario", "", "name of the one model to explore; all of them where empty")
	deviations = flag.Int("deviations", 2, "most deviations of a run in a search; 0 for walks alone")
	firstSeed  = flag.Uint64("first-seed", 1, "seed of the first walk")
	part       = flag.Int("part", 0, "number of this process among -parts, which share the searches")
	parts      = flag.Int("parts", 1, "number of processes")
	toReplay   = flag.String("schedule", "", "schedule of -scenario to replay, as a failure prints it")
)

// Times of an exploration.
const (
	reportInterval = 10 * time.Second
	walkTurn       = 20 * time.Second // of the walks of one model before the next has its turn
)

// TestExplore searches each model, and then walks through all of them in turn until the hours are over.
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
			left := min(walkTurn, time.Until(until))
			if left <= 0 {
				break
			}
			seed := *firstSeed + seeds[model.Title()]
			progress := Walk(t, model, seed, Bounds{Time: left}, nil)
			seeds[model.Title()] += uint64(progress.Runs)
			t.Logf("walk from seed %d", seed)
			judge(t, model, progress)
		}
	}
}

// searchAll shares half of the time among the searches of this process.
func searchAll(t *testing.T, until time.Time) {
	models := ownPart(chosenModels(t))
	if len(models) == 0 {
		return
	}
	share := max(time.Until(until)/2/time.Duration(len(models)), time.Millisecond)
	for _, model := range models {
		reported := time.Now()
		report := func(progress Progress) {
			if time.Since(reported) >= reportInterval {
				reported = time.Now()
				t.Log(progress)
			}
		}
		judge(t, model, NewSearch(model, *deviations).Play(t, Bounds{Time: share}, report))
	}
}

// ownPart are the models that this process searches.
func ownPart(all []Model) (own []Model) {
	for i, model := range all {
		if i%*parts == *part {
			own = append(own, model)
		}
	}
	return own
}

// TestReplay plays the schedule that the command line gives and shows its timeline.
func TestReplay(t *testing.T) {
	if *only == "" || *toReplay == "" {
		t.Skip("no -scenario or no -schedule")
	}
	schedule, err := ParseSchedule(*toReplay)
	assert.NilError(t, err)
	result := Replay(t, chosenModels(t)[0], schedule)
	t.Logf("%d points\n%s", result.Points, result.Timeline)
	assert.Equal(t, result.Failure, "")
}

func chosenModels(t *testing.T) []Model {
	if *only == "" {
		return Models()
	}
	for _, model := range Models() {
		if model.Title() == *only {
			return []Model{model}
		}
	}
	t.Fatalf("no scenario is named %q", *only)
	return nil
}
