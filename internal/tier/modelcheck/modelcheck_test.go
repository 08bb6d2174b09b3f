package modelcheck

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Sizes of the exploration that goes with the ordinary tests.
const (
	shortSearch = 250 // runs of each scenario
	shortWalk   = 60
)

// TestDefaultRuns plays each scenario without trouble, twice with the same end.
func TestDefaultRuns(t *testing.T) {
	for _, scenario := range Scenarios() {
		result := Replay(t, scenario, nil)
		assert.Equal(t, result.Failure, "", "%s\n%s", scenario.Name, result.Timeline)
		assert.Equal(t, Replay(t, scenario, nil).Timeline.String(), result.Timeline.String())
	}
}

// TestWalksReplay plays random runs and then the same from their schedules.
func TestWalksReplay(t *testing.T) {
	for _, scenario := range Scenarios() {
		for seed := range uint64(20) {
			walked := run(t, scenario, newWalker(seed))
			again := Replay(t, scenario, walked.Schedule)
			assert.Equal(t, again.Timeline.String(), walked.Timeline.String(), "%s, seed %d: %s", scenario.Name, seed, walked.Schedule)
		}
	}
}

func TestShortSearch(t *testing.T) {
	for _, scenario := range Scenarios() {
		judge(t, scenario, NewSearch(scenario, 1).Play(t, Bounds{Runs: shortSearch}, nil))
	}
}

func TestShortWalk(t *testing.T) {
	for _, scenario := range Scenarios() {
		judge(t, scenario, Walk(t, scenario, 1, Bounds{Runs: shortWalk}, nil))
	}
}

// judge logs how far an exploration came, and fails with the timeline of the shortest failing schedule.
func judge(t *testing.T, scenario *Scenario, progress Progress) {
	t.Helper()
	t.Log(progress)
	if progress.Failure == "" {
		return
	}
	result := Shrink(t, scenario, progress.Schedule)
	t.Errorf("%s: %s\nreplay: -scenario %s -schedule %s\n%s", scenario.Name, result.Failure, scenario.Name, result.Schedule,
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
