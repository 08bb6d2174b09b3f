// Package command implements the command line of pulleytier: it loads the settings, runs one role until the process receives
// a termination signal, reloads the settings when they change, and validates files for operators. kong parses the flags.
package command

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/settings"
)

// ExitCode is the exit status of the process.
type ExitCode int

// The exit codes.
const (
	ExitOK          ExitCode = 0 // the role has shut down after a signal, or the checked file is valid
	ExitRoleFailed  ExitCode = 1 // the role could not start or ended with an error
	ExitUsage       ExitCode = 2 // the command line is invalid
	ExitBadSettings ExitCode = 3 // the settings file cannot be read or is invalid
	ExitBadFile     ExitCode = 4 // the checked file cannot be read or is invalid
)

const (
	programName = "pulleytier"
	description = "One process of the serving tier for agent programs. A role is set by the file that --settings or $" +
		settings.EnvironmentVariable + " names."
)

// options are the flags and commands of the command line.
type options struct {
	LogLevel  string `enum:"trace,debug,info,warn,error" default:"info" help:"Least level that is logged: ${enum}."`
	LogFormat string `enum:"text,json" default:"text" help:"Form of log lines: ${enum}."`

	CheckSettings checkSettings `cmd:"" help:"Read a settings file and say what is wrong with it."`
	CheckConfig   checkConfig   `cmd:"" help:"Read an operator's configuration and say what is wrong with it."`
	Version       version       `cmd:"" help:"Print the version."`
}

// environment holds the parsed options, the output streams and the exit code of a command.
type environment struct {
	options *options
	out     io.Writer
	err     io.Writer
	code    ExitCode
}

// logger creates the logger of a role.
func (e *environment) logger(name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(e.options.LogLevel),
		Output:     e.err,
		JSONFormat: e.options.LogFormat == "json",
	})
}

// printf writes to standard output.
func (e *environment) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(e.out, format, arguments...) // there is nowhere to report that standard output is closed
}

// fail writes an error to standard error and sets the exit code.
func (e *environment) fail(code ExitCode, err error) {
	_, _ = fmt.Fprintf(e.err, "%s: %v\n", programName, err) // there is nowhere to report that standard error is closed
	e.code = code
}

// Run executes one command line and returns the exit code.
func Run(arguments []string, out, err io.Writer) ExitCode {
	return run(arguments, out, err, roles)
}

// exitRequest is the panic value by which an exit that kong requests (for --help) leaves its parser.
type exitRequest struct{ code ExitCode }

func run(arguments []string, out, errOut io.Writer, roles []Role) (code ExitCode) {
	defer func() {
		switch exit := recover().(type) {
		case nil:
		case exitRequest:
			code = exit.code
		default:
			panic(exit)
		}
	}()
	parsedOptions := &options{}
	kongOptions := []kong.Option{
		kong.Name(programName),
		kong.Description(description),
		kong.Writers(out, errOut),
		kong.Exit(func(status int) { panic(exitRequest{ExitCode(status)}) }),
	}
	for _, role := range roles {
		kongOptions = append(kongOptions, kong.DynamicCommand(role.Name, role.Help, "roles", &runRole{role: role}))
	}
	env := &environment{options: parsedOptions, out: out, err: errOut}
	parser, err := kong.New(parsedOptions, kongOptions...)
	if err != nil {
		panic(err) // the struct tags of the commands are invalid
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		env.fail(ExitUsage, err)
		return env.code
	}
	if err := parsed.Run(env); err != nil {
		env.fail(ExitRoleFailed, err)
	}
	return env.code
}

// version is the command "version".
type version struct{}

// Run prints the version of the module, the revision that it was built from, and the Go version.
func (version) Run(env *environment) error {
	revision := "unknown revision"
	built, ok := debug.ReadBuildInfo()
	if !ok {
		env.printf("%s %s\n", programName, revision)
		return nil
	}
	for _, setting := range built.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	env.printf("%s %s %s %s\n", programName, built.Main.Version, revision, built.GoVersion)
	return nil
}
