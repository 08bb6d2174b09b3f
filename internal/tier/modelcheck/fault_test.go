package modelcheck

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/invariant"
)

var (
	faultPattern = flag.String("faults", "", "regular expression of the names of the seeded faults to look for")
	huntTime     = flag.Duration("hunt-time", time.Minute, "time limit to find a seeded fault, for the search and for the walks")
	hunt         = flag.String("hunt", "", "search or walk: explore until an invariant is violated, and print a report")
)

// seededFault is a mutation of the code under test that reintroduces a bug as other systems had it. The mutated file
// replaces the original at compile time (go build -overlay), so production code has no hooks for it.
type seededFault struct {
	name    string
	file    string // in internal/tier
	old     string // occurs once
	changed string
	also    *seededFault // a second change, if each of them alone leaves the system safe
}

// edits returns the changes of a fault.
func (f *seededFault) edits() (list []*seededFault) {
	for ; f != nil; f = f.also {
		list = append(list, f)
	}
	return list
}

// TestSeededFaultsApply fails if the code has changed so that a fault no longer applies.
func TestSeededFaultsApply(t *testing.T) {
	for _, fault := range seededFaults {
		for _, edit := range fault.edits() {
			text, err := os.ReadFile(filepath.Join("..", edit.file))
			assert.NilError(t, err)
			assert.Check(t, strings.Count(string(text), edit.old) == 1, "%s: its text is not once in %s", fault.name, edit.file)
		}
	}
}

// TestSeededFaultsAreFound builds the package with each of the chosen faults and looks for it by search and by walks.
func TestSeededFaultsAreFound(t *testing.T) {
	if *faultPattern == "" {
		t.Skip("no -faults")
	}
	names := regexp.MustCompile(*faultPattern)
	for _, fault := range seededFaults {
		if !names.MatchString(fault.name) {
			continue
		}
		t.Run(fault.name, func(t *testing.T) {
			binary := fault.build(t)
			searched, walked := runHunt(t, binary, "search"), runHunt(t, binary, "walk")
			t.Logf("| %s | %s | %s |", fault.name, searched, walked)
			t.Logf("%s: %s", searched.Scenario, searched.Failure)
			assert.Check(t, searched.Failure != "" || walked.Failure != "", "not found")
		})
	}
}

// build compiles this package's tests with the fault.
func (f *seededFault) build(t *testing.T) (binary string) {
	t.Helper()
	folder := t.TempDir()
	replaced := make(map[string]string)
	for number, edit := range f.edits() {
		original, err := filepath.Abs(filepath.Join("..", edit.file))
		assert.NilError(t, err)
		text, err := os.ReadFile(original)
		assert.NilError(t, err)
		replaced[original] = filepath.Join(folder, fmt.Sprintf("altered%d.go", number))
		altered := strings.Replace(string(text), edit.old, edit.changed, 1)
		assert.NilError(t, os.WriteFile(replaced[original], []byte(altered), 0o600))
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replaced})
	assert.NilError(t, err)
	list := filepath.Join(folder, "overlay.json")
	assert.NilError(t, os.WriteFile(list, overlay, 0o600))
	binary = filepath.Join(folder, "modelcheck.test")
	output, err := exec.CommandContext(t.Context(), "go", "test", "-c", "-vet=off", "-overlay", list, "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return binary
}

// huntReport is the result of a hunt.
type huntReport struct {
	Scenario string
	Failure  string // empty if nothing was found
	Runs     int
	Seconds  float64
	Schedule string
}

func (r huntReport) String() string {
	if r.Failure == "" {
		return "not found"
	}
	text, _ := json.Marshal([]any{r.Runs, r.Seconds, r.Scenario, r.Schedule})
	return string(text)
}

const reportPrefix = "hunt report "

// runHunt runs a hunt by a mutated build and reads its report.
func runHunt(t *testing.T, binary, way string) (report huntReport) {
	t.Helper()
	output, err := exec.CommandContext(t.Context(), binary, "-test.run", "^TestHunt$", "-test.v", "-hunt", way, "-hunt-time",
		huntTime.String(), "-scenario", *scenarioName).CombinedOutput()
	if violation := violatedInvariant(output); err != nil && violation != "" {
		return huntReport{Failure: violation}
	}
	assert.NilError(t, err, "%s", output)
	_, line, found := strings.Cut(string(output), reportPrefix)
	assert.Assert(t, found, "%s", output)
	line, _, _ = strings.Cut(line, "\n")
	assert.NilError(t, json.Unmarshal([]byte(line), &report))
	return report
}

// violatedInvariant returns the text of a panic by package invariant, empty if there is none. Such a panic ends the process
// of the hunt before it can write its report.
func violatedInvariant(output []byte) string {
	_, violation, panicked := strings.Cut(string(output), "panic: "+invariant.Message)
	if !panicked {
		return ""
	}
	violation, _, _ = strings.Cut(violation, "\n")
	return invariant.Message + violation
}

// TestHunt explores all models in turn until an invariant is violated or the time is over, and prints a report.
func TestHunt(t *testing.T) {
	if *hunt == "" {
		t.Skip("no -hunt")
	}
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	report := huntReport{}
	began := time.Now()
	searches := make(map[string]*Search)
	for round := 0; report.Failure == "" && time.Since(began) < *huntTime; round++ {
		for _, model := range chosenModels(t) {
			if searches[model.Title()] == nil {
				searches[model.Title()] = NewSearch(model, huntDeviations)
			}
			progress, played := huntOnce(t, model, searches[model.Title()], round)
			report.Runs += played
			if progress.Failure != "" {
				report.Seconds = time.Since(began).Seconds()
				result := Shrink(t, model, progress.Schedule)
				report.Scenario, report.Failure, report.Schedule = model.Title(), result.Failure, result.Schedule.String()
				break
			}
		}
	}
	line, err := json.Marshal(report)
	assert.NilError(t, err)
	t.Logf("%s%s", reportPrefix, line)
}

const (
	huntDeviations = 3
	runsPerRound   = 100 // of each model
)

// huntOnce plays the next runs of a model and returns their number.
func huntOnce(t *testing.T, model Model, search *Search, round int) (progress Progress, played int) {
	t.Helper()
	if *hunt == "search" {
		before := search.progress.Runs
		progress = search.Play(t, Bounds{Runs: (round + 1) * runsPerRound}, nil)
		return progress, progress.Runs - before
	}
	progress = Walk(t, model, uint64(1+round*runsPerRound), Bounds{Runs: runsPerRound}, nil)
	return progress, progress.Runs
}
