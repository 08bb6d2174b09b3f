package command

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/settings"
)

const validSettings = `
nodeName = "edge-a-1"
ip = "127.0.0.1"
zone = "a"
ephemeralPorts = [7300, 7310]
seeds = ["127.0.0.2:8000"]
somethingNew = 3
`

const validConfiguration = `{"generation":3,
 "routes":[{"name":"r","hostname":"h.example","pathPrefix":"/a/","kind":"idempotent","timeoutMs":1000,
  "targetLatencyMs":100,"priority":0,"backend":"s","maxAttempts":1}],
 "services":[{"name":"s","healthPath":"/healthz","maxConnections":10,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// commandResult holds the exit code of a command line and what it wrote to standard output and standard error.
type commandResult struct {
	code     ExitCode
	out, err string
}

func runCommand(roles []Role, arguments ...string) commandResult {
	out, err := &bytes.Buffer{}, &bytes.Buffer{}
	code := run(arguments, out, err, roles)
	return commandResult{code, out.String(), err.String()}
}

func TestHelpNamesEveryRole(t *testing.T) {
	got := runCommand(roles, "--help")
	assert.Equal(t, got.code, ExitOK)
	for _, role := range []string{"proxy", "agent", "coordinator", "turn-store", "check-settings", "check-config"} {
		assert.Assert(t, strings.Contains(got.out, role), "%s is missing from:\n%s", role, got.out)
	}
}

func TestInvalidCommandLineExitsWithUsage(t *testing.T) {
	for _, arguments := range [][]string{nil, {"bogus"}, {"proxy", "--bogus"}, {"--log-level=loud", "version"}} {
		got := runCommand(roles, arguments...)
		assert.Equal(t, got.code, ExitUsage, "%v", arguments)
		assert.Assert(t, got.err != "", "%v", arguments)
	}
}

func TestVersion(t *testing.T) {
	got := runCommand(roles, "version")
	assert.Equal(t, got.code, ExitOK)
	assert.Assert(t, strings.HasPrefix(got.out, "pulleytier "), got.out)
}

func TestCheckSettings(t *testing.T) {
	got := runCommand(roles, "check-settings", writeFile(t, validSettings))
	assert.Equal(t, got.code, ExitOK, got.err)
	assert.Assert(t, strings.Contains(got.out, "good: edge-a-1 at 127.0.0.1, 1 seeds"), got.out)

	invalid := strings.Replace(validSettings, "127.0.0.2:8000", "somewhere", 1)
	got = runCommand(roles, "check-settings", writeFile(t, invalid))
	assert.Equal(t, got.code, ExitBadFile)
	assert.Assert(t, strings.Contains(got.err, `seeds[0] "somewhere" is not ip:port`), got.err)

	got = runCommand(roles, "check-settings", filepath.Join(t.TempDir(), "none"))
	assert.Equal(t, got.code, ExitBadFile)
}

func TestCheckConfig(t *testing.T) {
	got := runCommand(roles, "check-config", writeFile(t, validConfiguration))
	assert.Equal(t, got.code, ExitOK, got.err)
	assert.Assert(t, strings.Contains(got.out, "good: generation 3, 1 routes, 1 services"), got.out)

	got = runCommand(roles, "check-config", writeFile(t, strings.Replace(validConfiguration, `"backend":"s"`, `"backend":"x"`, 1)))
	assert.Equal(t, got.code, ExitBadFile)
	assert.Assert(t, strings.Contains(got.err, "routes[0]"), got.err)
}

func TestInvalidSettingsErrorNamesTheKey(t *testing.T) {
	roles := []Role{{Name: "proxy", Help: "h", Run: func(context.Context, *settings.Live, hclog.Logger) error {
		t.Error("the role was started")
		return nil
	}}}
	got := runCommand(roles, "proxy", "--settings", writeFile(t, strings.Replace(validSettings, `"127.0.0.1"`, `"nowhere"`, 1)))
	assert.Equal(t, got.code, ExitBadSettings)
	assert.Assert(t, strings.Contains(got.err, "ip "), got.err)
}

func TestEnvironmentVariableSelectsTheSettingsFile(t *testing.T) {
	t.Setenv(settings.EnvironmentVariable, writeFile(t, validSettings))
	node := ""
	roles := []Role{{Name: "agent", Help: "h", Run: func(_ context.Context, live *settings.Live, _ hclog.Logger) error {
		node = live.Current().NodeName
		return nil
	}}}
	got := runCommand(roles, "agent")
	assert.Equal(t, got.code, ExitOK, got.err)
	assert.Equal(t, node, "edge-a-1")
}

func TestFailedRoleSetsTheExitCode(t *testing.T) {
	roles := []Role{{Name: "agent", Help: "h", Run: func(context.Context, *settings.Live, hclog.Logger) error {
		return errors.New("port taken")
	}}}
	got := runCommand(roles, "--log-format=json", "agent", "--settings", writeFile(t, validSettings))
	assert.Equal(t, got.code, ExitRoleFailed)
	assert.Assert(t, strings.Contains(got.err, `"error":"port taken"`), got.err)
}

func TestTerminationSignalCancelsTheRole(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		roles := []Role{{Name: "agent", Help: "h", Run: func(ctx context.Context, _ *settings.Live, _ hclog.Logger) error {
			if err := syscall.Kill(os.Getpid(), signal); err != nil {
				return err
			}
			<-ctx.Done()
			return nil
		}}}
		got := runCommand(roles, "agent", "--settings", writeFile(t, validSettings))
		assert.Equal(t, got.code, ExitOK)
		assert.Assert(t, strings.Contains(got.err, "stopped"), got.err)
	}
}

func TestSIGHUPReloadsSettings(t *testing.T) {
	path := writeFile(t, validSettings)
	roles := []Role{{Name: "agent", Help: "h", Run: func(_ context.Context, live *settings.Live, _ hclog.Logger) error {
		changed := live.Changed()
		if err := os.WriteFile(path, []byte(strings.Replace(validSettings, `zone = "a"`, `zone = "b"`, 1)), 0o600); err != nil {
			return err
		}
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			return err
		}
		<-changed
		assert.Equal(t, live.Current().Zone, "b")
		return nil
	}}}
	got := runCommand(roles, "agent", "--settings", path)
	assert.Equal(t, got.code, ExitOK, got.err)
}

// LOST, own ends: a SIGHUP that arrives while the process is still reading its settings must not end it. The settings come
// from a named pipe, so that the signal is sent before the read returns.
func TestSIGHUPDuringStartDoesNotEndTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pipe")
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	written := make(chan error, 1)
	go func() {
		pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the settings file is open for reading
		if err == nil {
			err = errors.Join(os.Remove(path), os.WriteFile(path, []byte(validSettings), 0o600))
		}
		if err == nil {
			err = syscall.Kill(os.Getpid(), syscall.SIGHUP)
		}
		if err == nil {
			_, err = pipe.WriteString(validSettings)
		}
		written <- errors.Join(err, pipe.Close())
	}()
	roles := []Role{{Name: "agent", Help: "h", Run: func(context.Context, *settings.Live, hclog.Logger) error { return nil }}}
	got := runCommand(roles, "agent", "--settings", path)
	assert.NilError(t, <-written)
	assert.Equal(t, got.code, ExitOK, got.err)
}

// TestChangedFileIsReloadedWithoutSignal sends the ticks of the reloader itself. The channel is unbuffered, so that the second
// of two ticks is received only after the first has been handled.
func TestChangedFileIsReloadedWithoutSignal(t *testing.T) {
	path := writeFile(t, validSettings)
	live, err := settings.NewLive(path)
	assert.NilError(t, err)
	logged := &bytes.Buffer{}
	ticks, hangups, ended := make(chan time.Time), make(chan os.Signal), make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	settingsReloader := &reloader{live: live, log: hclog.New(&hclog.LoggerOptions{Output: logged})}
	go func() {
		defer close(ended)
		settingsReloader.run(ctx, hangups, ticks)
	}()
	tick := func() {
		ticks <- time.Time{}
		ticks <- time.Time{}
	}

	invalid := strings.Replace(validSettings, "[7300, 7310]", "[7300]", 1)
	assert.NilError(t, os.WriteFile(path, []byte(invalid), 0o600))
	tick()
	assert.Equal(t, live.Current().Zone, "a")

	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(validSettings, `"a"`, `"c"`, 1)), 0o600))
	tick()
	assert.Equal(t, live.Current().Zone, "c")

	hangups <- syscall.SIGHUP // the content is unchanged, so nothing is reloaded
	tick()
	cancel()
	<-ended
	assert.Equal(t, strings.Count(logged.String(), "ephemeralPorts"), 1, logged.String())
	assert.Equal(t, strings.Count(logged.String(), "settings reloaded"), 1, logged.String())
}
