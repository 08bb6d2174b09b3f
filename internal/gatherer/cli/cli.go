// Package cli is the command line of a gatherer: serving, which is the default command, checking and explaining a file of
// limits, reading the record, and operators' calls.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"pulleygw.example/pulleygw/internal/gatherer/logging"
)

// Exit codes, beside 0.
const (
	ExitFault       = 1 // a file has errors, a call failed, or the process could not start
	ExitUsage       = 2 // the command line is invalid
	ExitUnreachable = 3 // nobody answers at the address
)

// codeError is an error with its exit code.
type codeError struct {
	code int
	err  error
}

// Error implements error.
func (e *codeError) Error() string { return e.err.Error() }

// Unwrap returns the error without its code.
func (e *codeError) Unwrap() error { return e.err }

// Files are the files and the settings of the log on the command line.
type Files struct {
	Config, OpenSearch, Operations, Limits, Record string
	LogLevel                                       slog.Level
	LogFormat                                      logging.Format
}

// Run carries out a command line and returns the exit code. Serve serves until the process is to stop.
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
	return exitCode(root.ExecuteContext(context.Background()), errOut)
}

// exitCode prints the error of a command, if any, and returns the exit code for it.
func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return 0
	}
	printf(errOut, "%v\n", err)
	var coded *codeError
	switch {
	case errors.As(err, &coded):
		return coded.code
	case strings.HasPrefix(err.Error(), "unknown command"):
		return ExitUsage
	}
	return ExitFault
}

// printf writes to a terminal or a pipe. Nothing can be done if that fails.
func printf(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }

// noArgs rejects arguments.
func noArgs(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return &codeError{ExitUsage, fmt.Errorf("unknown command %q for %q", args[0], c.CommandPath())}
	}
	return nil
}

// longFlags accepts flags with a single dash, as they were before there were commands.
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

// version prints the version of the build.
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
		printf(c.OutOrStdout(), "pulleygw %s%s, %s\n", info.Main.Version, rev, info.GoVersion)
		return nil
	}}
}
