// Modelcheck explores internal/tier/modelcheck for as long as it is told, in several processes, and shows their
// progress. It ends with status 1 when an invariant was broken; the lines before tell how to replay the run.
package main

import (
	"bufio"
	"context"
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
	explored = "./internal/tier/modelcheck"
	// seedsOfAJob keeps the walks of two jobs apart.
	seedsOfAJob = 1 << 32
)

// options are those of the command line.
type options struct {
	Hours      float64 `help:"How long to explore." default:"1"`
	Jobs       int     `help:"Processes, each with one processor." default:"2"`
	Deviations int     `help:"Most deviations of a run in the search, 0 for walks alone." default:"2"`
	Scenario   string  `help:"The one scenario to explore; all of them where empty."`
	FirstSeed  uint64  `help:"Seed of the first walk." default:"1"`
}

func main() {
	given := options{}
	kong.Parse(&given, kong.Description("Explores the control side's interleavings."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := explore(ctx, given); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// explore builds the explorer and runs its jobs. The first that fails ends the others.
func explore(ctx context.Context, given options) error {
	folder, err := os.MkdirTemp("", "modelcheck")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	binary := filepath.Join(folder, "modelcheck.test")
	build := exec.CommandContext(ctx, "go", "test", "-c", "-o", binary, explored)
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

// job runs one process until its time is over.
func (o options) job(ctx context.Context, binary string, number int) error {
	seed := o.FirstSeed + uint64(number)*seedsOfAJob
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

// show copies lines with the number of their job before them.
func show(output io.Reader, number int) {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		fmt.Printf("job %d: %s\n", number, lines.Text())
	}
}
