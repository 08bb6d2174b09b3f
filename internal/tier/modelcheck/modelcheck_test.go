package modelcheck

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Sizes of the exploration that runs with the ordinary tests.
const (
	shortSearch = 100 // runs of each model
	shortWalk   = 30
)

// TestDefaultRuns plays each model without faults, twice with the same result.
func TestDefaultRuns(t *testing.T) {
	for _, model := range Models() {
		result := Replay(t, model, nil)
		assert.Equal(t, result.Failure, "", "%s\n%s", model.Title(), result.Timeline)
		assert.Equal(t, Replay(t, model, nil).Timeline.String(), result.Timeline.String())
	}
}

// TestWalksReplay plays random runs and replays them from their schedules.
func TestWalksReplay(t *testing.T) {
	for _, model := range Models() {
		for seed := range uint64(15) {
			walked := model.play(t, newWalker(seed))
			again := Replay(t, model, walked.Schedule)
			assert.Equal(t, again.Timeline.String(), walked.Timeline.String(), "%s, seed %d: %s", model.Title(), seed, walked.Schedule)
		}
	}
}

func TestShortSearch(t *testing.T) {
	for _, model := range Models() {
		requireNoFailure(t, model, NewSearch(model, 1).Play(t, Bounds{Runs: shortSearch}, nil))
	}
}

func TestShortWalk(t *testing.T) {
	for _, model := range Models() {
		requireNoFailure(t, model, Walk(t, model, 1, Bounds{Runs: shortWalk}, nil))
	}
}

// requireNoFailure logs the progress of an exploration, and fails with the timeline of the shortest failing schedule.
func requireNoFailure(t *testing.T, model Model, progress Progress) {
	t.Helper()
	t.Log(progress)
	if progress.Failure == "" {
		return
	}
	result := Shrink(t, model, progress.Schedule)
	t.Errorf("%s: %s\nreplay: -scenario %s -schedule %s\n%s", model.Title(), result.Failure, model.Title(), result.Schedule,
		result.Timeline)
}

func TestScheduleIsReadAsItWasWritten(t *testing.T) {
	for _, schedule := range []Schedule{nil, {{3, 1}}, {{0, 2}, {17, 12}}} {
		read, err := ParseSchedule(schedule.String())
		assert.NilError(t, err)
		assert.DeepEqual(t, read, schedule)
	}
	for _, text := range []string{"3", "a:1", "1:b"} {
		_, err := ParseSchedule(text)
		assert.Assert(t, err != nil, text)
	}
}
