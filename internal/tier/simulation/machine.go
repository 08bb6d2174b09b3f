package simulation

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"pulleygw.example/pulleygw/internal/tier/rpc"
)

// Machine has an address, a disk, and at most one running process, its current Incarnation.
type Machine struct {
	network *Network
	address string
	Disk    *Disk

	mu          sync.Mutex
	incarnation *Incarnation
	poweredOff  bool          // answers nothing, not even that a port is closed
	thawed      chan struct{} // closed while the machine is not frozen
}

// Incarnation is one process from its start to its end. Handlers are registered on Server before Listen is called.
type Incarnation struct {
	machine *Machine
	Server  *rpc.Server
	ended   chan struct{}
	once    sync.Once
	serving atomic.Bool
}

// NewMachine adds a machine with an empty disk to the network. Random decides what a power loss leaves on the disk.
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

// Start starts a new incarnation; one that runs is killed first.
func (m *Machine) Start() *Incarnation {
	m.Kill()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.poweredOff = false
	m.incarnation = &Incarnation{machine: m, Server: rpc.NewServer(), ended: make(chan struct{})}
	return m.incarnation
}

// Kill ends the process; the disk keeps also what is not synced, as the page cache does.
func (m *Machine) Kill() {
	m.mu.Lock()
	ending := m.incarnation
	m.incarnation = nil
	m.mu.Unlock()
	if ending != nil {
		ending.once.Do(func() { close(ending.ended) })
	}
}

// PowerLoss ends the process. What of the unsynced changes the disk keeps is drawn at random, see Disk.PowerLoss.
func (m *Machine) PowerLoss() {
	m.mu.Lock()
	m.poweredOff = true
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

// Thaw lets a frozen process continue.
func (m *Machine) Thaw() {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.thawed:
	default:
		close(m.thawed)
	}
}

// Running reports whether a process runs, frozen or not.
func (m *Machine) Running() bool { return m.current() != nil }

func (m *Machine) current() *Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation
}

func (m *Machine) isPoweredOff() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.poweredOff
}

func (m *Machine) thawedChannel() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.thawed
}

// Ended returns a channel that is closed when the incarnation ends.
func (i *Incarnation) Ended() <-chan struct{} { return i.ended }

// Listen starts to accept calls. The handlers of Server must be registered before.
func (i *Incarnation) Listen() { i.serving.Store(true) }

// Stop kills this incarnation if it is still the current one.
func (i *Incarnation) Stop() {
	if i.machine.current() == i {
		i.machine.Kill()
	}
}

// Caller returns the caller for this incarnation's outgoing calls.
func (i *Incarnation) Caller() *Caller { return &Caller{network: i.machine.network, incarnation: i} }

// awaitRunning waits while the machine is frozen and reports whether the incarnation still runs.
func (i *Incarnation) awaitRunning() bool {
	select {
	case <-i.machine.thawedChannel():
	case <-i.ended:
	}
	return !i.hasEnded()
}

func (i *Incarnation) hasEnded() bool {
	select {
	case <-i.ended:
		return true
	default:
		return false
	}
}
