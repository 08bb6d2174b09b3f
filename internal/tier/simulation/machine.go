package simulation

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"pulleygw.example/pulleygw/internal/tier/rpc"
)

// Machine has an address, a disk, and at most one running process, its life.
type Machine struct {
	network *Network
	address string
	Disk    *Disk

	mu     sync.Mutex
	life   *Incarnation
	dark   bool          // without power: says nothing, not even that a port is dead
	thawed chan struct{} // closed while the machine is not frozen
}

// Incarnation is one process from its start to its end.
type Incarnation struct {
	machine *Machine
	Server  *rpc.Server
	ended   chan struct{}
	once    sync.Once
	serving atomic.Bool
}

// NewMachine adds a machine with an empty disk to a network.
func (n *Network) NewMachine(address string, random *rand.Rand) *Machine {
	machine := &Machine{network: n, address: address, Disk: NewDisk(random), thawed: make(chan struct{})}
	close(machine.thawed)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machines[address] = machine
	return machine
}

// Address returns the machine's address.
func (m *Machine) Address() string { return m.address }

// Start begins a life; one that runs ends first.
func (m *Machine) Start() *Incarnation {
	m.Kill()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dark = false
	m.life = &Incarnation{machine: m, Server: rpc.NewServer(), ended: make(chan struct{})}
	return m.life
}

// Kill ends the process; the disk stays as it is.
func (m *Machine) Kill() {
	m.mu.Lock()
	life := m.life
	m.life = nil
	m.mu.Unlock()
	if life != nil {
		life.once.Do(func() { close(life.ended) })
	}
}

// PowerLoss ends the process, and of what was not synced the disk keeps what chance leaves.
func (m *Machine) PowerLoss() {
	m.mu.Lock()
	m.dark = true
	m.mu.Unlock()
	m.Kill()
	m.Disk.PowerLoss()
}

// Wipe ends the process and empties the disk.
func (m *Machine) Wipe() {
	m.PowerLoss()
	m.Disk.Wipe()
}

// Freeze stops the process where it next touches the network or the disk.
func (m *Machine) Freeze() {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.thawed:
		m.thawed = make(chan struct{})
	default:
	}
}

// Thaw lets a frozen process go on.
func (m *Machine) Thaw() {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.thawed:
	default:
		close(m.thawed)
	}
}

// Running says whether a process runs, frozen or not.
func (m *Machine) Running() bool { return m.current() != nil }

func (m *Machine) current() *Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life
}

func (m *Machine) off() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dark
}

func (m *Machine) thaw() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.thawed
}

// Ended is closed when the life ends.
func (l *Incarnation) Ended() <-chan struct{} { return l.ended }

// Listen lets calls come in; the handlers of Server are set by then.
func (l *Incarnation) Listen() { l.serving.Store(true) }

// Stop ends this life, as a kill does, if it has not ended.
func (l *Incarnation) Stop() {
	if l.machine.current() == l {
		l.machine.Kill()
	}
}

// Caller returns the life's way into the network.
func (l *Incarnation) Caller() *Caller { return &Caller{network: l.machine.network, life: l} }

// running waits while the machine is frozen and says whether the life goes on.
func (l *Incarnation) running() bool {
	select {
	case <-l.machine.thaw():
	case <-l.ended:
	}
	return !l.hasEnded()
}

func (l *Incarnation) hasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}
