// Command configdelay measures how long after the commit of a configuration each proxy applies it. It reads what the bench
// prints of a play with --log all, one file a play, and prints one line a file: the number of configurations and of pairs of
// a configuration and a proxy, the median, the 99th percentile and the longest delay in seconds, and the slowest pairs.
//
// A proxy that was not running from the commit on, or was started meanwhile, is left out: nothing could reach it.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
)

// slowestShown is how many of the slowest pairs are printed.
const slowestShown = 3

type options struct {
	Play []string `arg:"" type:"existingfile" help:"Outputs of plays with --log all."`
}

func main() {
	var chosen options
	kong.Parse(&chosen, kong.Description("Measures how long after its commit proxies apply a configuration."))
	for _, path := range chosen.Play {
		if err := measure(path, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "configdelay:", err)
			os.Exit(1)
		}
	}
}

func measure(path string, out io.Writer) error {
	file, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "play")
	}
	play, err := readPlay(file)
	if err = errors.Join(err, file.Close()); err != nil {
		return eris.Wrapf(err, "read %s", path)
	}
	delays := play.delays()
	if len(delays) == 0 {
		_, err = fmt.Fprintf(out, "%s: no configuration was committed and applied\n", path)
		return err
	}
	slices.SortFunc(delays, func(a, b delay) int { return int((a.seconds - b.seconds) * 1e6) })
	at := func(share float64) float64 { return delays[int(share*float64(len(delays)-1))].seconds }
	_, err = fmt.Fprintf(out, "%s: %d configurations, %d pairs, median %.3f, 99th percentile %.3f, longest %.3f\n",
		path, len(play.committed), len(delays), at(0.5), at(0.99), at(1))
	for _, slow := range delays[max(0, len(delays)-slowestShown):] {
		if err == nil {
			_, err = fmt.Fprintf(out, "  %.3f generation %d at %s\n", slow.seconds, slow.generation, slow.proxy)
		}
	}
	return err
}
