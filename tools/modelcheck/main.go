// Command modelcheck runs the model checker, internal/tier/modelcheck, for a given time in several processes and prints
// their progress. It exits with 1 if an invariant was violated; the lines before say how to replay the run.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
)

const (
	modelcheckPackage = "./internal/tier/modelcheck"
	// seedsPerJob keeps the seeds of the jobs' walks disjoint.
	seedsPerJob = 1 << 32
)

// options are the options of the command line.
type options struct {
	Hours      float64 `help:"Hours to explore." default:"1"`
	Jobs       int     `help:"Processes, each with one CPU." default:"2"`
	Deviations int     `help:"Limit of the deviations of a run in the search; 0 for walks only." default:"2"`
	Scenario   string  `help:"The only scenario to explore; empty for all."`
	FirstSeed  uint64  `help:"Seed of the first walk." default:"1"`
}

func main() {
	given := options{}
	kong.Parse(&given, kong.Description("Explores interleavings of the control plane."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := explore(ctx, given); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// explore builds the test binary and runs the jobs. The first job that fails ends the others.
func explore(ctx context.Context, given options) (err error) {
	folder, err := os.MkdirTemp("", "modelcheck")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	binary := filepath.Join(folder, "modelcheck.test")
	build := exec.CommandContext(ctx, "go", "test", "-c", "-o", binary, modelcheckPackage)
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		return eris.Wrap(err, "build")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var jobs sync.WaitGroup
	for number := range given.Jobs {
		jobs.Go(func() {
			if err := given.job(ctx, binary, number); err != nil {
				cancel(err)
			}
		})
	}
	jobs.Wait()
	return context.Cause(ctx)
}

// job runs one process until its time is over or it fails.
func (o options) job(ctx context.Context, binary string, number int) error {
	seed := o.FirstSeed + uint64(number)*seedsPerJob
	command := exec.CommandContext(ctx, binary,
		"-test.run", "^TestExplore$", "-test.v", "-test.timeout", "0",
		"-hours", strconv.FormatFloat(o.Hours, 'f', -1, 64), "-deviations", strconv.Itoa(o.Deviations),
		"-scenario", o.Scenario, "-first-seed", strconv.FormatUint(seed, 10),
		"-part", strconv.Itoa(number), "-parts", strconv.Itoa(o.Jobs),
	)
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	output, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	command.Stderr = command.Stdout
	if err := command.Start(); err != nil {
		return err
	}
	show(output, number)
	return command.Wait()
}

// show prints each line with the number of its job.
func show(output io.Reader, number int) {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		fmt.Printf("job %d: %s\n", number, lines.Text())
	}
}
