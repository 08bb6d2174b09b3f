// Package cli is the command line: serving, which is what no command means, checking and explaining the installation's
// file, and operators' calls.
package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pulleygw.example/pulleygw/internal/gatherer/audit"
	"pulleygw.example/pulleygw/internal/gatherer/config"
	"pulleygw.example/pulleygw/internal/gatherer/lifecycle"
	"pulleygw.example/pulleygw/internal/gatherer/limits"
	"pulleygw.example/pulleygw/internal/gatherer/logging"
	"pulleygw.example/pulleygw/internal/gatherer/record"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
)

// Exit codes, beside 0.
const (
	ExitFault       = 1 // a file has faults, a call was answered no, or the process could not start
	ExitUsage       = 2 // the command line is not understood
	ExitUnreachable = 3 // nobody answers at the address
)

// codeError is an error with its exit code.
type codeError struct {
	code int
	err  error
}

func (e *codeError) Error() string { return e.err.Error() }
func (e *codeError) Unwrap() error { return e.err }

// Files are what a process is told by its command line.
type Files struct {
	Config, OpenSearch, Operations, Limits, Record string
	LogLevel                                       slog.Level
	LogFormat                                      logging.Format
}

// Run carries out a command line, and returns the exit code. serve serves until it is told to stop.
func Run(args []string, out, errOut io.Writer, serve func(Files) error) int {
	files := Files{}
	root := &cobra.Command{
		Use:   "pulleygw",
		Short: "One gatherer: takes queries, sends their parts to lot stores and answers from what comes back",
		Long: `One gatherer: takes queries from clients, sends their parts to lot stores and answers from what comes back.

Without a command it serves.

Exit codes: 0 all is well, 1 a file has faults or a call was answered no, 2 the command line is not understood,
3 nobody answers at the address.`,
		Example:       "  pulleygw --config examples/config.json --file examples/pulleygw.yaml\n  pulleygw check examples/pulleygw.yaml --config examples/config.json",
		SilenceErrors: true, SilenceUsage: true, Args: noArgs,
	}
	root.SetArgs(longFlags(args))
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &codeError{ExitUsage, err} })
	f := root.PersistentFlags()
	f.StringVar(&files.Config, "config", os.Getenv("LB_CONFIG"), "the configuration file (default $LB_CONFIG)")
	f.StringVar(&files.Limits, "file", "deploy/pulleygw.yaml", "the installation's own file: fronts, operations, limits, log level; without it there are none")
	root.Flags().StringVar(&files.OpenSearch, "opensearch", "deploy/opensearch.json", "the OpenSearch-style front's file; without it that front is off")
	root.Flags().StringVar(&files.Operations, "operations", "deploy/operations.json", "the file of the balancers' endpoints and the store; without it they are off")
	root.Flags().StringVar(&files.Record, "record", "", "the folder for the record of attempts; none for no record")
	level, format := "info", "console"
	root.Flags().StringVar(&level, "log-level", level, "what is logged: debug, info, warn or error and above")
	root.Flags().StringVar(&format, "log-format", format, "console or json")
	serving := func() (err error) {
		if files.LogLevel, err = logging.ParseLevel(level); err != nil {
			return &codeError{ExitUsage, fmt.Errorf("--log-level: %w", err)}
		}
		if files.LogFormat = logging.Format(format); files.LogFormat != logging.Console && files.LogFormat != logging.JSON {
			return &codeError{ExitUsage, fmt.Errorf("--log-format: %.20q is neither console nor json", format)}
		}
		return serve(files)
	}
	root.RunE = func(*cobra.Command, []string) error { return serving() }
	serveCommand := &cobra.Command{Use: "serve", Short: "Serve; what no command means", Args: noArgs,
		RunE: func(*cobra.Command, []string) error { return serving() }}
	serveCommand.Flags().AddFlagSet(root.Flags())
	root.AddCommand(serveCommand, check(&files), explain(&files), auditCommand(), logCommand(), ctl(), version())
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return 0
	}
	fmt.Fprintln(errOut, err)
	var coded *codeError
	switch {
	case errors.As(err, &coded):
		return coded.code
	case strings.HasPrefix(err.Error(), "unknown command"):
		return ExitUsage
	}
	return ExitFault
}

func noArgs(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return &codeError{ExitUsage, fmt.Errorf("unknown command %q for %q", args[0], c.CommandPath())}
	}
	return nil
}

// longFlags takes the flags by one dash, as they were before there were commands.
func longFlags(args []string) []string {
	list := make([]string, len(args))
	for i, a := range args {
		name, _, _ := strings.Cut(strings.TrimPrefix(a, "-"), "=")
		switch list[i] = a; name {
		case "config", "file", "opensearch", "operations", "record":
			if !strings.HasPrefix(a, "--") && strings.HasPrefix(a, "-") {
				list[i] = "-" + a
			}
		}
	}
	return list
}

// classes are the operator's, from the platform's configuration file.
func classes(path string) (*settings.Settings, []limits.Class, error) {
	if path == "" {
		return nil, nil, &codeError{ExitUsage, errors.New("--config is wanted (or $LB_CONFIG): limits are checked against its classes")}
	}
	c, err := lifecycle.LoadConfig(path, func(string) string { return "" })
	if err != nil {
		return nil, nil, fmt.Errorf("configuration: %w", err)
	}
	return &c.Settings, lifecycle.LimitClasses(&c.Settings), nil
}

func check(files *Files) *cobra.Command {
	asJSON := false
	c := &cobra.Command{Use: "check [FILE]", Short: "Check a file of limits: all its faults, by line and rule",
		Example: "  pulleygw check deploy/pulleygw.yaml --config config.json\n  pulleygw check --json",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path := files.Limits
			if len(args) > 0 {
				path = args[0]
			}
			_, of, err := classes(files.Config)
			if err != nil {
				return err
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			read, err := config.Parse(path, text, of)
			var faults config.Faults
			if err != nil && !errors.As(err, &faults) {
				return err
			}
			out := c.OutOrStdout()
			if asJSON {
				if faults == nil {
					faults = config.Faults{}
				}
				e := json.NewEncoder(out)
				e.SetIndent("", "  ")
				if err := e.Encode(map[string]any{"file": path, "good": len(faults) == 0, "faults": faults}); err != nil {
					return err
				}
			} else if len(faults) == 0 {
				fmt.Fprintf(out, "%s: good, %d routes\n", path, len(read.Limits.Routes))
			}
			if len(faults) == 0 {
				return nil
			}
			if asJSON {
				return &codeError{ExitFault, fmt.Errorf("%d faults", len(faults))}
			}
			return &codeError{ExitFault, faults}
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}

func explain(files *Files) *cobra.Command {
	var r limits.Request
	var class, client string
	var headers []string
	c := &cobra.Command{Use: "explain", Short: "Say which route a request takes, under which class, and where each limit comes from",
		Example: "  pulleygw explain --front opensearch --method POST --index lots --class CLASS --client 10.1.2.3",
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			set, of, err := classes(files.Config)
			if err != nil {
				return err
			}
			if class == "" && len(set.Classes) > 0 {
				class = set.Classes[0]
			}
			if set.Class(class) < 0 {
				return &codeError{ExitUsage, fmt.Errorf("--class: %q is not a class of the settings", class)}
			}
			if client != "" {
				if r.Client, err = netip.ParseAddr(client); err != nil {
					return &codeError{ExitUsage, fmt.Errorf("--client: %w", err)}
				}
			}
			r.Header = func(name string) string {
				for _, h := range headers {
					if k, v, _ := strings.Cut(h, "="); strings.EqualFold(k, name) {
						return v
					}
				}
				return ""
			}
			file, err := config.Load(files.Limits, of)
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			var route *limits.Route
			if file != nil {
				route = file.Limits.Table.Find(&r, class)
			}
			if route == nil {
				fmt.Fprintf(out, "route: none; class %s as the settings have it\n", class)
				route = &limits.Route{}
			} else {
				fmt.Fprintf(out, "route: %s (%s:%d)\nclass: %s\n", route.Name, files.Limits, route.Line, class)
			}
			k := of[0]
			for _, x := range of {
				if x.Name == class {
					k = x
				}
			}
			inherited := map[string]any{"wanted": k.Wanted, "give_up": k.GiveUp, "attempts": k.Attempts, "least": k.Floor}
			for _, f := range route.Limits.Fields() {
				switch {
				case f[1] != "":
					fmt.Fprintf(out, "  %-18s %-12s %s:%d\n", f[0], f[1], files.Limits, route.LineOf(f[0]))
				case inherited[f[0]] != nil:
					fmt.Fprintf(out, "  %-18s %-12v %s (class %s)\n", f[0], inherited[f[0]], files.Config, class)
				}
			}
			return nil
		}}
	c.Flags().StringVar(&r.Front, "front", "platform", "platform or opensearch")
	c.Flags().StringVar(&r.Method, "method", "POST", "the method")
	c.Flags().StringVar(&r.Index, "index", "", "the index; on the platform's front the class")
	c.Flags().StringVar(&class, "class", "", "the class; without it the first of the settings")
	c.Flags().StringVar(&client, "client", "", "the client's address")
	c.Flags().StringArrayVar(&headers, "header", nil, "a header as NAME=VALUE, as often as wanted")
	return c
}

// auditCommand reads a record and says whether every limit held.
func auditCommand() *cobra.Command {
	return &cobra.Command{Use: "audit FOLDER", Short: "Prove from the record of attempts that every limit held", Args: cobra.ExactArgs(1),
		Example: "  pulleygw audit /var/lib/pulleygw/record",
		RunE: func(c *cobra.Command, args []string) error {
			a, n := audit.New(), 0
			torn, err := record.Read(args[0], func(e record.Entry) error {
				if n++; n%1_000_000 == 0 {
					fmt.Fprintf(c.ErrOrStderr(), "%d entries read\n", n)
				}
				a.Add(e)
				return nil
			})
			if err != nil {
				return err
			}
			r, out := a.Report(), c.OutOrStdout()
			fmt.Fprintf(out, "%d entries, %d files that end torn, %d entries dropped\n", n, torn, r.Dropped)
			fmt.Fprintf(out, "%d requests: %d answered, %d refused, %d failed, %d left by their clients, %d still open; %d attempts\n",
				r.Requests, r.Answered, r.Refused, r.Failed, r.Left, r.Open, r.Attempts)
			for _, b := range r.Breaches {
				fmt.Fprintln(out, "breach:", b)
			}
			if found := len(r.Breaches) + r.More; found > 0 {
				return &codeError{ExitFault, fmt.Errorf("%d breaches", found)}
			}
			fmt.Fprintln(out, "every limit held")
			return nil
		}}
}

var kindNames = map[record.Kind]string{record.Arrived: "arrived", record.Let: "let", record.Attempt: "attempt", record.Final: "final",
	record.Dropped: "dropped", record.Begun: "begun"}

// logCommand shows a record, filtered, and goes on as it grows.
func logCommand() *cobra.Command {
	var route, class, verdict, kind string
	var request uint64
	var store uint32
	follow := false
	c := &cobra.Command{Use: "log FOLDER", Short: "Show the record of attempts, one entry a line as JSON", Args: cobra.ExactArgs(1),
		Example: "  pulleygw log FOLDER --route dealers --verdict refuse --follow\n  pulleygw log FOLDER --request 812",
		RunE: func(c *cobra.Command, args []string) error {
			out := json.NewEncoder(c.OutOrStdout())
			show := func(e record.Entry) error {
				if kind != "" && kindNames[e.Kind] != kind || route != "" && e.Route != route || class != "" && e.Class != class ||
					verdict != "" && e.Verdict != verdict || request > 0 && e.Request != request || store > 0 && e.Store != store {
					return nil
				}
				return out.Encode(struct {
					Kind string    `json:"kind"`
					At   time.Time `json:"at"`
					record.Entry
				}{kindNames[e.Kind], time.UnixMicro(e.At).UTC(), e})
			}
			tail := &record.Tail{Dir: args[0]}
			if _, err := os.Stat(args[0]); err != nil {
				return err
			}
			if err := tail.Next(show); err != nil || !follow {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt)
			defer stop()
			tick := time.NewTicker(followEvery)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return nil
				case <-tick.C:
					if err := tail.Next(show); err != nil {
						return err
					}
				}
			}
		}}
	f := c.Flags()
	f.StringVar(&kind, "kind", "", "arrived, let, attempt, final, dropped or begun")
	f.StringVar(&route, "route", "", "of a route's arrivals")
	f.StringVar(&class, "class", "", "of a class's arrivals")
	f.StringVar(&verdict, "verdict", "", "admit, wait, refuse, answered, refused, failed or left")
	f.Uint64Var(&request, "request", 0, "of one request, by its number")
	f.Uint32Var(&store, "store", 0, "of attempts at a lot store, by its number")
	f.BoolVar(&follow, "follow", false, "go on as it grows, until interrupted")
	return c
}

// followEvery is how often a record is looked at for what is new.
const followEvery = 200 * time.Millisecond

// ctl makes operators' calls, one line each; docs/operating.md says what they do.
func ctl() *cobra.Command {
	admin := os.Getenv("LB_ADMIN")
	c := &cobra.Command{Use: "ctl", Short: "Make an operator's call at a gatherer that serves", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.PersistentFlags().StringVar(&admin, "admin", admin, "where it listens for calls (default $LB_ADMIN)")
	for _, x := range []struct {
		call, short string
		names       int
	}{{"ping", "Is this process ready?", 0}, {"detach", "Take a lot store out", 1}, {"attach", "Put a lot store back", 1},
		{"lameduck", "Send clients away", 0}, {"rejoin", "The end of that", 0}} {
		use := x.call
		if x.names > 0 {
			use += " NAME"
		}
		c.AddCommand(&cobra.Command{Use: use, Short: x.short, Args: cobra.ExactArgs(x.names), RunE: func(c *cobra.Command, args []string) error {
			return call(c, admin, strings.Join(append([]string{strings.ToUpper(x.call)}, args...), " "))
		}})
	}
	return c
}

// callFor is how long a call may take: an answer is due within a second.
const callFor = 3 * time.Second

func call(c *cobra.Command, addr, line string) error {
	if addr == "" {
		return &codeError{ExitUsage, errors.New("--admin is wanted (or $LB_ADMIN)")}
	}
	unreachable := func(err error) error { return &codeError{ExitUnreachable, fmt.Errorf("call %s: %w", addr, err)} }
	nc, err := (&net.Dialer{Timeout: callFor}).DialContext(c.Context(), "tcp", addr)
	if err != nil {
		return unreachable(err)
	}
	defer nc.Close()
	if err := nc.SetDeadline(time.Now().Add(callFor)); err != nil {
		return unreachable(err)
	}
	if _, err := fmt.Fprintf(nc, "%s\n", line); err != nil {
		return unreachable(err)
	}
	answer, err := bufio.NewReader(io.LimitReader(nc, 4<<10)).ReadString('\n')
	if err != nil && answer == "" {
		return unreachable(err)
	}
	fmt.Fprint(c.OutOrStdout(), answer)
	if !strings.HasPrefix(answer, "200") {
		return &codeError{ExitFault, errors.New("answered no")}
	}
	return nil
}

func version() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Say which version this is", Args: noArgs, RunE: func(c *cobra.Command, _ []string) error {
		info, ok := debug.ReadBuildInfo()
		if !ok {
			return errors.New("built without information on its version")
		}
		rev := ""
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				rev = " " + s.Value
			}
		}
		fmt.Fprintf(c.OutOrStdout(), "pulleygw %s%s, %s\n", info.Main.Version, rev, info.GoVersion)
		return nil
	}}
}
