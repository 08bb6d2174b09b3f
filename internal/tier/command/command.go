// Package command is the command line of the serving tier: it reads the settings, runs one role until the process is
// told to stop, and checks files for operators.
package command

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/settings"
)

// ExitCode is the status that the program ends with.
type ExitCode int

// The exit codes.
const (
	ExitOK          ExitCode = 0 // the role was told to stop and has shut down, or the file checked is good
	ExitRoleFailed  ExitCode = 1 // the role could not start or broke down
	ExitUsage       ExitCode = 2 // the command line is wrong
	ExitBadSettings ExitCode = 3 // the settings file cannot be read or used
	ExitBadFile     ExitCode = 4 // the file checked cannot be read or used
)

const (
	programName = "pulleytier"
	description = "One process of the serving tier for agent programs. A role is set by the file that --settings or $" +
		settings.EnvironmentVariable + " names."
)

// options are the flags of every command.
type options struct {
	LogLevel  string `enum:"trace,debug,info,warn,error" default:"info" help:"Least level that is logged: ${enum}."`
	LogFormat string `enum:"text,json" default:"text" help:"Form of log lines: ${enum}."`

	CheckSettings checkSettings `cmd:"" help:"Read a settings file and say what is wrong with it."`
	CheckConfig   checkConfig   `cmd:"" help:"Read an operator's configuration and say what is wrong with it."`
	Version       version       `cmd:"" help:"Print the version."`
}

// environment is what commands need of the process.
type environment struct {
	options *options
	out     io.Writer
	err     io.Writer
	code    ExitCode
}

// logger makes the log of a role.
func (e *environment) logger(name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(e.options.LogLevel),
		Output:     e.err,
		JSONFormat: e.options.LogFormat == "json",
	})
}

// fail prints an error and sets the exit code.
func (e *environment) fail(code ExitCode, err error) {
	fmt.Fprintf(e.err, "%s: %v\n", programName, err)
	e.code = code
}

// Run carries out one command line and returns the exit code.
func Run(arguments []string, out, err io.Writer) ExitCode {
	return run(arguments, out, err, roles)
}

// leave carries an exit asked for by the command line's parser (--help) out of it.
type leave struct{ code ExitCode }

func run(arguments []string, out, errOut io.Writer, table []Role) (code ExitCode) {
	defer func() {
		switch left := recover().(type) {
		case nil:
		case leave:
			code = left.code
		default:
			panic(left)
		}
	}()
	flags := &options{}
	settle := []kong.Option{
		kong.Name(programName),
		kong.Description(description),
		kong.Writers(out, errOut),
		kong.Exit(func(status int) { panic(leave{ExitCode(status)}) }),
	}
	for _, role := range table {
		settle = append(settle, kong.DynamicCommand(role.Name, role.Help, "roles", &runRole{role: role}))
	}
	parser, err := kong.New(flags, settle...)
	if err != nil {
		panic(err) // the tags above are wrong
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", programName, err)
		return ExitUsage
	}
	around := &environment{options: flags, out: out, err: errOut}
	if err := parsed.Run(around); err != nil {
		around.fail(ExitRoleFailed, err)
	}
	return around.code
}

type version struct{}

// Run prints the module's version and the revision it was built from.
func (version) Run(around *environment) error {
	revision := "unknown revision"
	built, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(around.out, programName, revision)
		return nil
	}
	for _, setting := range built.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	fmt.Fprintln(around.out, programName, built.Main.Version, revision, built.GoVersion)
	return nil
}
