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

// build is a checkout that is played.
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

// play is one day of a site with one seed on one build.
type play struct {
	build build
	site  string
	day   string
	seed  int64
}

// pairKey names what all builds play alike.
type pairKey struct {
	site string
	day  string
	seed int64
}

func (p play) key() pairKey {
	return pairKey{site: siteName(p.site), day: siteName(p.day), seed: p.seed}
}

// label names a play in file names.
func (p play) label() string {
	return fmt.Sprintf("%s-%s-%d-%s", siteName(p.site), siteName(p.day), p.seed, p.build.name)
}

func siteName(path string) string { return strings.TrimSuffix(filepath.Base(path), ".toml") }

// result is what the bench reports of a play.
type result struct {
	Worth  float64        `json:"G"`
	Served float64        `json:"served"`
	Failed float64        `json:"unserved"` // refused and failed, as a share of what was owed
	All    counts         `json:"all"`
	Breaks map[string]any `json:"breaks"` // by rule
	Prices [][]any        `json:"prices"`
}

// counts are how many of a day's requests, or programs, there were and how many came late.
type counts struct {
	Asked int `json:"n"`
	Late  int `json:"late"`
}

// lateShare is the share that came late.
func (r result) lateShare() float64 { return float64(r.All.Late) / float64(max(r.All.Asked, 1)) }

// price sums up all prices, in worth.
func (r result) price() float64 {
	total := 0.0
	for _, entry := range r.Prices {
		if value, ok := entry[len(entry)-1].(float64); ok {
			total += value
		}
	}
	return total
}

// playAll plays everything, builds innermost, so that pairs share the machine's state.
func playAll(chosen options, builds []build) (map[string]map[pairKey]result, error) {
	results := map[string]map[pairKey]result{}
	for _, b := range builds {
		results[b.name] = map[pairKey]result{}
	}
	plays := make(chan play)
	var mu sync.Mutex
	var failures []string
	var workers sync.WaitGroup
	for range chosen.Jobs {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for next := range plays {
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
					plays <- play{build: b, site: site, day: day, seed: seed}
				}
			}
		}
	}
	close(plays)
	workers.Wait()
	for _, failure := range failures {
		fmt.Println("NOT PLAYED", failure)
	}
	if len(failures) > 0 && len(results[builds[0].name]) == 0 {
		return nil, eris.New("nothing was played")
	}
	return results, nil
}

// run plays one day and reads the bench's report of it.
func (p play) run(chosen options) (result, error) {
	out, err := filepath.Abs(chosen.Out)
	if err != nil {
		return result{}, eris.Wrap(err, "folder for output")
	}
	report := filepath.Join(out, p.label()+".json")
	bench, site := absolute(chosen.Bench), absolute(p.site)
	day := p.day
	if strings.HasSuffix(day, ".toml") {
		day = absolute(day)
	}
	arguments := []string{"run", site, day, "--seed", fmt.Sprint(p.seed), "--jobs", "1", "--report", report,
		"--why", chosen.Why + ": " + p.build.name}
	if !chosen.Charge {
		arguments = append(arguments, "--no-cpu")
	}
	command := exec.Command(bench, arguments...)
	command.Dir = p.build.folder
	printed, err := command.CombinedOutput()
	if writeErr := os.WriteFile(filepath.Join(out, p.label()+".txt"), printed, 0o644); writeErr != nil {
		return result{}, eris.Wrap(writeErr, "output")
	}
	content, readErr := os.ReadFile(report)
	if readErr != nil {
		return result{}, eris.Wrapf(readErr, "no report (bench: %v)", err)
	}
	var got result
	if err := json.Unmarshal(content, &got); err != nil {
		return result{}, eris.Wrap(err, "report")
	}
	return got, nil
}

// absolute leaves a path as it is where it has no absolute form.
func absolute(path string) string {
	if made, err := filepath.Abs(path); err == nil {
		return made
	}
	return path
}
