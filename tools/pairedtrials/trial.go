package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// build is a checkout that is measured.
type build struct {
	name   string
	folder string
}

// parseBuilds reads NAME=FOLDER arguments.
func parseBuilds(arguments []string) ([]build, error) {
	var builds []build
	for _, argument := range arguments {
		name, folder, found := strings.Cut(argument, "=")
		if !found || name == "" || folder == "" {
			return nil, eris.Errorf("--build %q is not NAME=FOLDER", argument)
		}
		absolute, err := filepath.Abs(folder)
		if err != nil {
			return nil, eris.Wrapf(err, "folder of build %s", name)
		}
		builds = append(builds, build{name: name, folder: absolute})
	}
	return builds, nil
}

// trial is one run: a workload (day) of a site with one seed on one build.
type trial struct {
	build build
	site  string
	day   string
	seed  int64
}

// pairKey identifies the trials of the builds that are compared with each other.
type pairKey struct {
	site string
	day  string
	seed int64
}

func (t trial) key() pairKey {
	return pairKey{site: siteName(t.site), day: siteName(t.day), seed: t.seed}
}

// label names a trial in file names.
func (t trial) label() string {
	return fmt.Sprintf("%s-%s-%d-%s", siteName(t.site), siteName(t.day), t.seed, t.build.name)
}

// siteName returns the base name of a site or workload without its extension.
func siteName(path string) string { return strings.TrimSuffix(filepath.Base(path), ".toml") }

// result is the benchmark's report of a trial. Its JSON keys are those of the benchmark.
type result struct {
	Value  float64        `json:"G"` // value of the served work, as a share of all
	Served float64        `json:"served"`
	Failed float64        `json:"unserved"` // rejected and failed, as a share of the work due
	All    counts         `json:"all"`
	Breaks map[string]any `json:"breaks"` // violations by rule
	Prices [][]any        `json:"prices"`
}

// counts are the numbers of requests or programs, and of late ones among them.
type counts struct {
	Asked int `json:"n"`
	Late  int `json:"late"`
}

// lateRate returns the share that was late.
func (r result) lateRate() float64 { return float64(r.All.Late) / float64(max(r.All.Asked, 1)) }

// price returns the sum of all prices, in units of Value.
func (r result) price() float64 {
	total := 0.0
	for _, entry := range r.Prices {
		if value, ok := entry[len(entry)-1].(float64); ok {
			total += value
		}
	}
	return total
}

// runAll runs all trials, with the builds innermost, so that the trials of a pair run under similar machine load.
func runAll(chosen options, builds []build) (map[string]map[pairKey]result, error) {
	results := map[string]map[pairKey]result{}
	for _, b := range builds {
		results[b.name] = map[pairKey]result{}
	}
	trials := make(chan trial)
	var mu sync.Mutex
	var failures []string
	var workers sync.WaitGroup
	for range chosen.Jobs {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for next := range trials {
				got, err := next.run(chosen)
				mu.Lock()
				if err != nil {
					failures = append(failures, next.label()+": "+err.Error())
				} else {
					results[next.build.name][next.key()] = got
				}
				mu.Unlock()
			}
		}()
	}
	for _, seed := range chosen.Seeds {
		for _, site := range chosen.Site {
			for _, day := range chosen.Day {
				for _, b := range builds {
					trials <- trial{build: b, site: site, day: day, seed: seed}
				}
			}
		}
	}
	close(trials)
	workers.Wait()
	for _, failure := range failures {
		fmt.Println("NOT RUN", failure)
	}
	if len(failures) > 0 && len(results[builds[0].name]) == 0 {
		return nil, eris.New("no trial of the first build succeeded")
	}
	return results, nil
}

// run runs a trial and reads the benchmark's report.
func (t trial) run(chosen options) (result, error) {
	out, err := filepath.Abs(chosen.Out)
	if err != nil {
		return result{}, eris.Wrap(err, "folder for output")
	}
	report := filepath.Join(out, t.label()+".json")
	benchmark, site := absolute(chosen.Bench), absolute(t.site)
	day := t.day
	if strings.HasSuffix(day, ".toml") {
		day = absolute(day)
	}
	arguments := []string{"run", site, day, "--seed", fmt.Sprint(t.seed), "--jobs", "1", "--report", report,
		"--why", chosen.Why + ": " + t.build.name}
	if !chosen.Charge {
		arguments = append(arguments, "--no-cpu")
	}
	command := exec.Command(benchmark, arguments...)
	command.Dir = t.build.folder
	printed, err := command.CombinedOutput()
	if writeErr := os.WriteFile(filepath.Join(out, t.label()+".txt"), printed, 0o644); writeErr != nil {
		return result{}, eris.Wrap(writeErr, "output")
	}
	content, readErr := os.ReadFile(report)
	if readErr != nil {
		return result{}, eris.Wrapf(readErr, "no report (benchmark: %v)", err)
	}
	var got result
	if err := json.Unmarshal(content, &got); err != nil {
		return result{}, eris.Wrap(err, "report")
	}
	return got, nil
}

// absolute returns the absolute form of a path, or the path itself if there is none.
func absolute(path string) string {
	if absolutePath, err := filepath.Abs(path); err == nil {
		return absolutePath
	}
	return path
}
