// Command rounds plays the same days and seeds of the bench on several builds of the tier in turn, and tells by how much
// each differs from the first one: the mean of the paired differences, its 95% interval by Student's t and how many pairs
// went each way. A build is a folder that holds a checkout; see docs/experiments/README.md.
//
//	go run ./tools/pairedtrials --bench PROGRAM --build base=FOLDER --build trial=FOLDER --site FILE --day scale-1 --seeds 1,2,3
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
)

// options is the command line.
type options struct {
	Bench    string   `required:"" help:"The bench's program."`
	Build    []string `required:"" help:"NAME=FOLDER of a checkout; the first one is what the others are held against."`
	LeaveOut []string `help:"Mechanisms (package ablation); each is left out of a build made of the first one's last commit, and held against one that leaves out nothing."`
	Site     []string `required:"" help:"Site files."`
	Day      []string `required:"" help:"Days of the sites by name, or files with days of one's own."`
	Seeds    []int64  `required:"" help:"Seeds; each build plays each site's days with each of them."`
	Jobs     int      `default:"4" help:"Plays at a time."`
	Charge   bool     `help:"Charge processor time. Without it a play mostly repeats."`
	Why      string   `default:"paired round" help:"Note for the bench's journal."`
	Out      string   `default:"bin/rounds" help:"Folder for what the bench prints."`
}

func main() {
	var chosen options
	kong.Parse(&chosen, kong.Description("Plays builds of the tier against each other on the same days and seeds."))
	if err := run(chosen); err != nil {
		fmt.Fprintln(os.Stderr, "rounds:", err)
		os.Exit(1)
	}
}

func run(chosen options) error {
	builds, err := parseBuilds(chosen.Build)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(chosen.Out, 0o755); err != nil {
		return eris.Wrap(err, "folder for output")
	}
	ablated, err := withoutEach(builds[0], chosen.LeaveOut, chosen.Out)
	if err != nil {
		return err
	}
	if len(ablated) > 0 {
		builds = ablated // the first of them leaves out nothing
	}
	results, err := playAll(chosen, builds)
	if err != nil {
		return err
	}
	writeTable(os.Stdout, builds, results)
	return nil
}
