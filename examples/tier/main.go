// Command tier runs a complete serving tier on this machine: three coordinators, three turn stores and two edges on
// loopback addresses, each role a process of its own, with fake stores and a fake operator that sends the first
// configuration. SIGINT or SIGTERM ends all of them. It needs the built program (target/pulleytier).
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
	storesPerService  = 3
	slots             = 16
	startTimeout      = 30 * time.Second
	readinessInterval = 100 * time.Millisecond
)

type options struct {
	Program string `default:"target/pulleytier" help:"The tier's program."`
	Subnet  string `default:"127.7.0" help:"First three parts of the addresses."`
	Folder  string `help:"Where settings files and disks go; by default a new folder that is removed at the end."`
}

func main() {
	flags := options{}
	kong.Parse(&flags, kong.Name("tier"), kong.Description("A complete serving tier on loopback, with fake stores and operator."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := flags.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "tier:", err)
		os.Exit(1)
	}
}

func (o *options) run(ctx context.Context) error {
	folder := o.Folder
	if folder == "" {
		temporary, err := os.MkdirTemp("", "tier-")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		folder = temporary
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
	if err := prepare(ctx, tier); err != nil {
		return err
	}
	printAddresses(tier, folder)
	<-ctx.Done()
	return nil
}

// launch is the command that runs a role.
func (o *options) launch(role, settingsPath string) *exec.Cmd {
	command := exec.Command(o.Program, role, "--settings", settingsPath)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt at the terminal must reach this process only
	return command
}

// prepare starts the fake stores, sends the configuration and waits until the edges are ready for clients.
func prepare(ctx context.Context, tier *testbed.Tier) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for range storesPerService {
		for _, service := range []string{testbed.PlainService, testbed.EngineService} {
			if _, err := tier.AddStore(ctx, service, slots); err != nil {
				return err
			}
		}
	}
	operator := testbed.NewOperator(tier.Controls())
	response, err := operator.PutConfiguration(ctx, 0, testbed.ExampleConfiguration(1).Body())
	if err != nil {
		return err
	}
	if response.Status != 200 {
		return eris.Errorf("the configuration was rejected: %d %s", response.Status, response.Body)
	}
	for _, edge := range tier.Edges {
		for tier.Ready(ctx, edge) != nil {
			select {
			case <-ctx.Done():
				return eris.Errorf("%s did not become ready", edge.Settings.NodeName)
			case <-time.After(readinessInterval):
			}
		}
	}
	return nil
}

// terminate ends all roles in the order of a planned shutdown.
func terminate(tier *testbed.Tier) {
	for _, machine := range slices.Backward(tier.Machines()) { // edges first, coordinators last
		if err := machine.Terminate(); err != nil {
			fmt.Fprintln(os.Stderr, "tier:", err)
		}
	}
}

func printAddresses(tier *testbed.Tier, folder string) {
	fmt.Printf("clients:  %v, Host: %s\n", tier.Fronts(), testbed.Host)
	fmt.Printf("routes:   %s %s %s %s\n", testbed.FetchPrefix, testbed.OrderPrefix, testbed.DraftPrefix, testbed.TalkPrefix)
	fmt.Printf("operator: %v\n", tier.Controls())
	fmt.Printf("files:    %s\n", folder)
}
