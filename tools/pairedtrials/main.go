// Command pairedtrials runs paired experiments: it runs the same workloads with the same seeds on several builds of the
// tier, and prints by how much each build differs from the first one: the mean of the paired differences, its 95%
// confidence interval by Student's t, and how many pairs went up and down. A build is a folder with a checkout; see
// docs/experiments/README.md.
//
//	go run ./tools/pairedtrials --bench PROGRAM --build base=FOLDER --build trial=FOLDER --site FILE --day scale-1 --seeds 1,2,3
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
)

// options are the options of the command line.
type options struct {
	Bench    string   `required:"" help:"The benchmark program."`
	Build    []string `required:"" help:"NAME=FOLDER of a checkout; the others are compared with the first one."`
	LeaveOut []string `help:"Mechanisms (package ablation); for each a build of the first one's last commit without it is compared with one that has all."`
	Site     []string `required:"" help:"Site files."`
	Day      []string `required:"" help:"Workloads of the sites by name, or files with own workloads."`
	Seeds    []int64  `required:"" help:"Seeds; each build runs each workload with each of them."`
	Jobs     int      `default:"4" help:"Runs at the same time."`
	Charge   bool     `help:"Charge CPU time. Without it a run is mostly repeatable."`
	Why      string   `default:"paired round" help:"Note for the benchmark's journal."`
	Out      string   `default:"bin/rounds" help:"Folder for the output of the benchmark."`
}

func main() {
	var chosen options
	kong.Parse(&chosen, kong.Description("Compares builds of the tier on the same workloads and seeds."))
	if err := run(chosen); err != nil {
		fmt.Fprintln(os.Stderr, "pairedtrials:", err)
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
	ablated, err := ablatedBuilds(builds[0], chosen.LeaveOut, chosen.Out)
	if err != nil {
		return err
	}
	if len(ablated) > 0 {
		builds = ablated // the first one has all mechanisms
	}
	results, err := runAll(chosen, builds)
	if err != nil {
		return err
	}
	writeTable(os.Stdout, builds, results)
	return nil
}
