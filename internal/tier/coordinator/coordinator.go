// Package coordinator is the role of the core machines: it holds an acceptor of the register, keeps the list of
// stores, serves the control API to stores and the operator, and brings the control state out by watch.
package coordinator

import (
	"context"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/changelog"
	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/peers"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/registry"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// registerFolder is where the acceptor keeps its files, below dataDir.
const registerFolder = "register"

// ordersFolder is where the history of orders is kept, below dataDir.
const ordersFolder = "orders"

// controlRegister is what the coordinator needs of the register.
type controlRegister interface {
	Change(context.Context, register.ChangeFunc) (*tierpb.ControlState, error)
	ChangeUnlessDecided(context.Context, func(*tierpb.ControlState) bool, register.ChangeFunc) (*tierpb.ControlState, error)
	Read(context.Context) (*tierpb.ControlState, error)
}

// coordinator is one process of the role.
type coordinator struct {
	live      *settings.Live
	log       hclog.Logger
	self      *tierpb.Node
	caller    rpc.Caller
	state     *watch.State
	readiness *watch.ReadinessGate
	directory *directory
	register  controlRegister
	history   *changelog.SegmentStore

	departures *departures
	progress   progress
	told       toldGeneration
	accepted   func() *tierpb.ControlState // newest value of the own acceptor, chosen or not
	lease      placementLease
	tenure     placementTenure // keepPlaced alone uses it
	listening  *listening
	sampler    *peers.Sampler
	silence    *registry.FailureDetector
	lookedAt   time.Time // at the stores' silence; maintenance alone uses it
	announced  *announcements
	now        func() time.Time
	moveMu     sync.Mutex
	move       seenMove          // guarded by moveMu
	stopping   atomic.Bool       // told to stop, and finishing what is in hand
	faults     *failpoint.Points // tests only

	redundancy redundancy

	replaceVoters func(context.Context, register.ChangeFunc) (*tierpb.ControlState, error)
	finishVoters  func(context.Context) (*tierpb.ControlState, error)

	runsLacking int // runs of older orders, as last logged; keepOrders alone uses it
}

// Run serves the role until ctx ends and all is shut down in order.
func Run(ctx context.Context, live *settings.Live, log hclog.Logger) error {
	current := live.Current()
	if err := checkSettings(current); err != nil {
		return err
	}
	disk := storage.Local()
	if err := disk.MkdirAll(current.DataDir); err != nil {
		return eris.Wrap(err, "coordinator")
	}
	address := current.InternalAddress(current.IP, settings.CoordinatorPortOffset)
	acceptor, err := register.OpenAcceptor(register.AcceptorOptions{
		Disk: disk, Folder: filepath.Join(current.DataDir, registerFolder), Address: address,
		Bootstrap: current.Bootstrap, Seeds: current.SeedCoordinators(),
	})
	if err != nil {
		return eris.Wrap(err, "coordinator")
	}
	history, err := changelog.OpenSegmentStore(disk, filepath.Join(current.DataDir, ordersFolder))
	if err != nil {
		return eris.Wrap(err, "coordinator")
	}
	caller := rpc.NewClient()
	defer caller.Close()
	self := &tierpb.Node{
		Name: current.NodeName, Address: address, Zone: current.Zone, Role: tierpb.Role_ROLE_COORDINATOR,
		Identity: acceptor.Identity(), Control: current.Listen.Control,
	}
	c := newCoordinator(live, log, self, caller)
	c.history = history
	if err := c.openDepartures(disk, filepath.Join(current.DataDir, departuresFolder)); err != nil {
		return eris.Wrap(err, "coordinator")
	}
	c.useRegister(acceptor)
	log.Info("starting", "identity", self.Identity, "fresh", acceptor.Fresh(), "bootstrap", current.Bootstrap)
	return c.serve(ctx, acceptor)
}

// checkSettings finds what other roles can do without.
func checkSettings(current *settings.Settings) error {
	if current.Listen.Control == "" {
		return eris.New("coordinator: listen.control is missing")
	}
	if current.DataDir == "" {
		return eris.New("coordinator: dataDir is missing")
	}
	return nil
}

func newCoordinator(live *settings.Live, log hclog.Logger, self *tierpb.Node, caller rpc.Caller) *coordinator {
	seeds := func() []string { return live.Current().SeedCoordinators() }
	c := &coordinator{
		live: live, log: log, self: self, caller: caller, state: watch.NewState(),
		sampler: peers.NewSampler(self, caller, seeds), accepted: func() *tierpb.ControlState { return nil },
		directory: newDirectory(time.Now), silence: registry.NewFailureDetector(heartbeatPeriod(live.Current())),
		announced: newAnnouncements(), departures: newDepartures(), now: time.Now,
	}
	c.listening = newListening(func() time.Time { return c.now() })
	c.readiness = c.newReadiness()
	return c
}

// openDepartures reads which stores have said that they leave, so that all who ask hear of it from the start.
func (c *coordinator) openDepartures(disk storage.Disk, folder string) error {
	opened, err := openDepartures(disk, folder)
	if err != nil {
		return err
	}
	c.departures = opened
	for _, instance := range opened.all() {
		c.state.Upsert(instance)
	}
	return nil
}

// useRegister makes the proposer that changes the register; whatever it finds to be chosen is brought out.
func (c *coordinator) useRegister(acceptor *register.Acceptor) {
	c.accepted = acceptor.AcceptedValue
	c.progress.fallBehind(c.now(), acceptor.AcceptedValue().GetVersion(), 0)
	proposer := register.NewProposer(register.ProposerOptions{
		Caller: c.caller, Local: acceptor, KnownState: c.state.Control, Failpoints: c.faults,
		OnChosen: func(chosen *tierpb.ControlState) {
			c.state.SetControl(chosen)
			c.history.Observe(chosen)
		},
	})
	c.register = proposer
	c.replaceVoters = func(ctx context.Context, change register.ChangeFunc) (*tierpb.ControlState, error) {
		return register.Reconfigure(ctx, proposer, change)
	}
	c.finishVoters = func(ctx context.Context) (*tierpb.ControlState, error) {
		return register.LeaveJoint(ctx, proposer)
	}
}

// heartbeatPeriod is how often stores call.
func heartbeatPeriod(current *settings.Settings) time.Duration {
	return settings.Milliseconds(float64(current.HeartbeatMs), defaultHeartbeat)
}

const defaultHeartbeat = time.Second

// newestVoters returns the value with the newest voters known, chosen or not; nil for a coordinator that has just
// started on an empty disk. An accepted value whose version is no later than the chosen one's, and whose voters are, lost
// out: voters of a chosen value are never later than those of the values behind it.
func (c *coordinator) newestVoters() *tierpb.ControlState {
	known, accepted := c.state.Control(), c.accepted()
	if known == nil || accepted.GetEpoch() > known.Epoch && accepted.GetVersion() > known.Version {
		return accepted
	}
	return known
}

// voters returns the newest voter sets known, chosen or not.
func (c *coordinator) voters() []*tierpb.VoterSet { return c.newestVoters().GetVoters() }

// targets are the other coordinators. Before anything is known to be chosen, the voters of the own acceptor's value are
// among them: the seeds may be gone for good.
func (c *coordinator) targets() []watch.Endpoint {
	known := append(c.sampler.Nodes(tierpb.Role_ROLE_COORDINATOR), c.directory.coordinators()...)
	if c.state.Control() == nil {
		known = append(known, register.VoterNodes(c.accepted())...)
	}
	return watch.CoordinatorEndpoints(c.self, c.state, known, c.live.Current().SeedCoordinators())
}
