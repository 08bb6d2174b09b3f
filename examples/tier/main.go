// Command tier plays a whole serving tier on this machine: three coordinators, three turn stores and two edges on
// loopback addresses, each role a process of its own, with toy stores and a toy operator that sends the first
// configuration. It ends all of them at SIGINT or SIGTERM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

const (
	storesOfService = 3
	slots           = 16
	startPatience   = 30 * time.Second
	askInterval     = 100 * time.Millisecond
)

type options struct {
	Program string `default:"target/pulleytier" help:"The tier's program."`
	Subnet  string `default:"127.7.0" help:"First three parts of the addresses."`
	Folder  string `help:"Where settings files and disks go; by default a new folder that is removed at the end."`
}

func main() {
	told := options{}
	kong.Parse(&told, kong.Name("tier"), kong.Description("A whole serving tier on loopback, with toy stores and operator."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := told.play(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "tier:", err)
		os.Exit(1)
	}
}

func (o *options) play(ctx context.Context) error {
	folder := o.Folder
	if folder == "" {
		made, err := os.MkdirTemp("", "tier-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(made)
		folder = made
	}
	tier, err := testbed.NewTier(testbed.Layout{
		Folder: folder, Subnet: o.Subnet, Zones: []string{"north", "south", "west"},
		Edges: 2, Coordinators: 3, TurnStores: 3, ToleratedFailures: 1, Launch: o.launch, Log: os.Stderr,
	})
	if err != nil {
		return err
	}
	defer terminate(tier)
	if err := tier.Start(); err != nil {
		return err
	}
	if err := surround(ctx, tier); err != nil {
		return err
	}
	tell(tier, folder)
	<-ctx.Done()
	return nil
}

func (o *options) launch(role, settingsPath string) *exec.Cmd {
	command := exec.Command(o.Program, role, "--settings", settingsPath)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt at the terminal comes from here only
	return command
}

// surround starts the toy stores, sends the configuration and waits until the edges take clients.
func surround(ctx context.Context, tier *testbed.Tier) error {
	ctx, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	for range storesOfService {
		for _, service := range []string{testbed.PlainService, testbed.EngineService} {
			if _, err := tier.AddStore(ctx, service, slots); err != nil {
				return err
			}
		}
	}
	operator := testbed.NewOperator(tier.Controls())
	answer, err := operator.PutConfiguration(ctx, 0, testbed.ExampleConfiguration(1).Body())
	if err != nil {
		return err
	}
	if answer.Status != 200 {
		return eris.Errorf("the configuration was refused: %d %s", answer.Status, answer.Body)
	}
	for _, edge := range tier.Edges {
		for tier.Ready(ctx, edge) != nil {
			select {
			case <-ctx.Done():
				return eris.Errorf("%s did not become ready", edge.Settings.NodeName)
			case <-time.After(askInterval):
			}
		}
	}
	return nil
}

func terminate(tier *testbed.Tier) {
	for _, machine := range slices.Backward(tier.Machines()) { // edges first, coordinators last
		if err := machine.Terminate(); err != nil {
			fmt.Fprintln(os.Stderr, "tier:", err)
		}
	}
}

func tell(tier *testbed.Tier, folder string) {
	fmt.Printf("clients:  %v, Host: %s\n", tier.Fronts(), testbed.Host)
	fmt.Printf("routes:   %s %s %s %s\n", testbed.FetchPrefix, testbed.OrderPrefix, testbed.DraftPrefix, testbed.TalkPrefix)
	fmt.Printf("operator: %v\n", tier.Controls())
	fmt.Printf("files:    %s\n", folder)
}
