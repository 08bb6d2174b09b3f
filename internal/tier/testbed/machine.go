package testbed

import (
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/settings"
)

// Roles as the command line names them.
const (
	RoleProxy       = "proxy"
	RoleAgent       = "agent"
	RoleCoordinator = "coordinator"
	RoleTurnStore   = "turn-store"
)

// Launcher makes the command that runs a role with a settings file.
type Launcher func(role, settingsPath string) *exec.Cmd

// Machine is one machine of the tier at an address of its own, with one settings file and one process a role.
type Machine struct {
	Settings settings.Settings

	roles  []string
	folder string
	launch Launcher
	log    io.Writer

	mu      sync.Mutex
	running map[string]*running
}

// running is one process.
type running struct {
	command *exec.Cmd
	exited  chan struct{}
	err     error // valid once exited is closed
}

func newMachine(folder string, told settings.Settings, launch Launcher, log io.Writer, roles ...string) (*Machine, error) {
	machine := &Machine{
		Settings: told, roles: roles, folder: filepath.Join(folder, told.NodeName), launch: launch, log: log,
		running: make(map[string]*running),
	}
	if told.MachineClass != classEdge {
		machine.Settings.DataDir = filepath.Join(machine.folder, "data")
		if err := os.MkdirAll(machine.Settings.DataDir, 0o755); err != nil {
			return nil, eris.Wrap(err, told.NodeName)
		}
	}
	if err := os.MkdirAll(machine.folder, 0o755); err != nil {
		return nil, eris.Wrap(err, told.NodeName)
	}
	return machine, nil
}

// WriteSettings writes the settings file of each role.
func (m *Machine) WriteSettings() error {
	for _, role := range m.roles {
		told := m.Settings
		told.Role = role
		text, err := toml.Marshal(told)
		if err != nil {
			return eris.Wrap(err, m.Settings.NodeName)
		}
		if err := replaceFile(m.settingsPath(role), text); err != nil {
			return eris.Wrap(err, m.Settings.NodeName)
		}
	}
	return nil
}

// replaceFile lets no reader see half of a file.
func replaceFile(path string, text []byte) error {
	aside := path + ".new"
	if err := os.WriteFile(aside, text, 0o644); err != nil {
		return err
	}
	return os.Rename(aside, path)
}

func (m *Machine) settingsPath(role string) string { return filepath.Join(m.folder, role+".toml") }

// Start writes the settings and starts all processes of the machine that do not run.
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
		output := &prefixed{prefix: m.Settings.NodeName + " ", out: m.log}
		command.Stdout, command.Stderr = output, output
		if err := command.Start(); err != nil {
			return eris.Wrapf(err, "%s of %s", role, m.Settings.NodeName)
		}
		started := &running{command: command, exited: make(chan struct{})}
		go func() {
			started.err = command.Wait()
			close(started.exited)
		}()
		m.running[role] = started
	}
	m.Settings.Bootstrap = false // for the next start
	return nil
}

// Roles lists the roles that the machine runs.
func (m *Machine) Roles() []string { return m.roles }

// SignalRole sends a signal to the process of one role.
func (m *Machine) SignalRole(role string, signal os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if process := m.running[role]; process != nil {
		_ = process.command.Process.Signal(signal) // one that has ended takes no signal
	}
}

// KillRole ends the process of one role and returns when it is gone.
func (m *Machine) KillRole(role string) {
	m.SignalRole(role, syscall.SIGKILL)
	m.mu.Lock()
	defer m.mu.Unlock()
	if process := m.running[role]; process != nil {
		<-process.exited
		delete(m.running, role)
	}
}

// Kill ends all processes at once, as a loss of the machine would, and returns when they are gone.
func (m *Machine) Kill() { _ = m.end(syscall.SIGKILL) }

// Terminate asks all processes to stop in order, waits for them and returns the first that failed to.
func (m *Machine) Terminate() error { return m.end(syscall.SIGTERM) }

// Signal sends a signal to all processes.
func (m *Machine) Signal(signal os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, process := range m.running {
		_ = process.command.Process.Signal(signal) // one that has ended takes no signal
	}
}

// Exited returns a channel that is closed when the process of a role has ended.
func (m *Machine) Exited(role string) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if process := m.running[role]; process != nil {
		return process.exited
	}
	ended := make(chan struct{})
	close(ended)
	return ended
}

func (m *Machine) end(signal os.Signal) error {
	m.Signal(signal)
	m.mu.Lock()
	defer m.mu.Unlock()
	var failures []error
	for role, process := range m.running {
		<-process.exited
		if process.err != nil {
			failures = append(failures, eris.Wrapf(process.err, "%s of %s", role, m.Settings.NodeName))
		}
	}
	clear(m.running)
	return errors.Join(failures...)
}

// Wipe empties the disk of a machine whose processes do not run.
func (m *Machine) Wipe() error {
	if err := os.RemoveAll(m.Settings.DataDir); err != nil {
		return err
	}
	return os.MkdirAll(m.Settings.DataDir, 0o755)
}

// prefixed writes whole lines behind a prefix.
type prefixed struct {
	prefix string
	out    io.Writer
	line   []byte
}

var printing sync.Mutex // many processes share one log

func (p *prefixed) Write(text []byte) (int, error) {
	for _, char := range text {
		p.line = append(p.line, char)
		if char != '\n' {
			continue
		}
		printing.Lock()
		_, err := io.WriteString(p.out, p.prefix+string(p.line))
		printing.Unlock()
		p.line = p.line[:0]
		if err != nil {
			return 0, err
		}
	}
	return len(text), nil
}

func endpoint(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
