package testbed

import (
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/settings"
)

// Roles, as the command line names them.
const (
	RoleProxy       = "proxy"
	RoleAgent       = "agent"
	RoleCoordinator = "coordinator"
	RoleTurnStore   = "turn-store"
)

// Launcher returns the command that runs a role with a settings file.
type Launcher func(role, settingsPath string) *exec.Cmd

// Machine is one machine of the tier: an address, a data folder unless it is an edge, and for each of its roles a settings
// file and a process. Settings may be changed between starts.
type Machine struct {
	Settings settings.Settings

	roles  []string
	folder string
	launch Launcher
	log    io.Writer

	mu      sync.Mutex
	running map[string]*process // by role
}

// process is a process of a machine.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	err     error // valid once exited is closed
}

func newMachine(folder string, configured settings.Settings, launch Launcher, log io.Writer, roles ...string) (*Machine, error) {
	machine := &Machine{
		Settings: configured, roles: roles, folder: filepath.Join(folder, configured.NodeName), launch: launch, log: log,
		running: make(map[string]*process),
	}
	if configured.MachineClass != classEdge {
		machine.Settings.DataDir = filepath.Join(machine.folder, "data")
		if err := os.MkdirAll(machine.Settings.DataDir, 0o755); err != nil {
			return nil, eris.Wrap(err, configured.NodeName)
		}
	}
	if err := os.MkdirAll(machine.folder, 0o755); err != nil {
		return nil, eris.Wrap(err, configured.NodeName)
	}
	return machine, nil
}

// WriteSettings writes the settings file of each role; running processes read it on SIGHUP.
func (m *Machine) WriteSettings() error {
	for _, role := range m.roles {
		written := m.Settings
		written.Role = role
		text, err := toml.Marshal(written)
		if err != nil {
			return eris.Wrap(err, m.Settings.NodeName)
		}
		if err := replaceFile(m.settingsPath(role), text); err != nil {
			return eris.Wrap(err, m.Settings.NodeName)
		}
	}
	return nil
}

// replaceFile replaces a file atomically.
func replaceFile(path string, text []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, text, 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

func (m *Machine) settingsPath(role string) string { return filepath.Join(m.folder, role+".toml") }

// Start writes the settings and starts the processes of the machine that do not run.
func (m *Machine) Start() error {
	if err := m.WriteSettings(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, role := range m.roles {
		if m.running[role] != nil {
			continue
		}
		command := m.launch(role, m.settingsPath(role))
		output := &prefixWriter{prefix: m.Settings.NodeName + " ", out: m.log}
		command.Stdout, command.Stderr = output, output
		if err := command.Start(); err != nil {
			return eris.Wrapf(err, "%s of %s", role, m.Settings.NodeName)
		}
		started := &process{command: command, exited: make(chan struct{})}
		go func() {
			started.err = command.Wait()
			close(started.exited)
		}()
		m.running[role] = started
	}
	m.Settings.Bootstrap = false // the first start alone bootstraps
	return nil
}

// Roles returns the roles that the machine runs.
func (m *Machine) Roles() []string { return m.roles }

// SignalRole sends a signal to the process of one role.
func (m *Machine) SignalRole(role string, signal os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if running := m.running[role]; running != nil {
		_ = running.command.Process.Signal(signal) // an error means that the process has ended
	}
}

// KillRole kills the process of one role and returns when it has ended.
func (m *Machine) KillRole(role string) {
	m.SignalRole(role, syscall.SIGKILL)
	m.mu.Lock()
	defer m.mu.Unlock()
	if running := m.running[role]; running != nil {
		<-running.exited
		delete(m.running, role)
	}
}

// Kill kills all processes at once, as a loss of the machine would, and returns when they have ended.
func (m *Machine) Kill() { _ = m.end(syscall.SIGKILL) }

// Terminate sends SIGTERM to all processes, waits for them, and returns the errors of those that did not exit with 0.
func (m *Machine) Terminate() error { return m.end(syscall.SIGTERM) }

// TerminateWithin does the same, and sends SIGKILL to the processes that still run after the grace period.
func (m *Machine) TerminateWithin(grace time.Duration) error {
	kill := time.AfterFunc(grace, func() { m.Signal(syscall.SIGKILL) })
	defer kill.Stop()
	return m.Terminate()
}

// Signal sends a signal to all processes.
func (m *Machine) Signal(signal os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, running := range m.running {
		_ = running.command.Process.Signal(signal) // an error means that the process has ended
	}
}

// Exited returns a channel that is closed when the process of a role has ended.
func (m *Machine) Exited(role string) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if running := m.running[role]; running != nil {
		return running.exited
	}
	ended := make(chan struct{})
	close(ended)
	return ended
}

// end sends a signal to all processes and waits for them. Other signals may be sent meanwhile.
func (m *Machine) end(signal os.Signal) error {
	m.Signal(signal)
	m.mu.Lock()
	ending := maps.Clone(m.running)
	m.mu.Unlock()
	var failures []error
	for role, running := range ending {
		<-running.exited
		if running.err != nil {
			failures = append(failures, eris.Wrapf(running.err, "%s of %s", role, m.Settings.NodeName))
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for role, ended := range ending {
		if m.running[role] == ended {
			delete(m.running, role)
		}
	}
	return errors.Join(failures...)
}

// Wipe empties the data folder of a machine. Its processes must not run.
func (m *Machine) Wipe() error {
	if err := os.RemoveAll(m.Settings.DataDir); err != nil {
		return err
	}
	return os.MkdirAll(m.Settings.DataDir, 0o755)
}

// endpoint returns ip:port.
func endpoint(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
