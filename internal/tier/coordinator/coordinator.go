// Package coordinator implements the coordinator role, which runs on the core machines. The coordinators replicate the control
// state (configuration, voters, turn store members, retirements) and the list of instances, and distribute both to all other
// processes.
//
// # Components
//
// The package itself only connects the components, opens the listeners and shuts down in order. Each component owns its state
// and accesses the others through a small interface that it declares:
//
//	register (acceptor, proposer)  the control state; the acceptor's files are below dataDir/register
//	watch.State                    the newest chosen control state, the instances, the coordinators; in memory
//	membership                     the other coordinators, quorum contact, join requests; in memory
//	catchup                        how far this process is behind; in memory
//	changefetch                    older configuration changes, in a changelog.SegmentStore below dataDir/orders
//	draining                       terminal states of instances, in a draining.Table below dataDir/departures
//	placementcontrol               placement term and redundancy timer while this process holds the lease; in memory
//	controlapi                     the HTTP API and the newest acknowledged generation; in memory
//	instanceMonitor                when each instance sent its last heartbeat; in memory
//
// # Goroutines
//
//	membership.RunWatcher       polls the other coordinators
//	membership.RunJoin          asks to become a voter if this process is not one
//	membership.RunSampler       refreshes the gossip sample of nodes
//	catchup.RunAtStart          reads the register at the start, then ends
//	coordinator.runMaintenance  readiness, list of coordinators, instanceMonitor and catchup.Step, in this order
//	changefetch.Run             fetches missing segments of the change log
//	placementcontrol.Run        changes voters and turn store members
//	lease.Candidate.Run         acquires and renews the placement lease
//
// In addition, the internal server and the HTTP server run one goroutine per call.
//
// # Data flow
//
// A configuration goes from controlapi through register.Proposer to the acceptors of the voters. Once chosen, it is set in the
// watch.State of the proposing process, and followers (coordinators, agents, turn stores) receive it with their next poll.
// A heartbeat updates the watch.State of the coordinator that received it; the other coordinators get it through their polls.
// A drain or a deregistration is also written to the disks of a quorum before it is acknowledged (package draining).
//
// # Failures
//
// Without quorum contact a coordinator answers reads and writes of the control state with 503 and makes agents and instances
// switch to other coordinators. It keeps its state and catches up when quorum contact is established again. A process that was
// frozen detects this: it neither marks instances suspect nor replaces voters because of messages that it missed. A process
// whose disk is lost gets a new voter identity and joins again. At a shutdown the calls in flight are answered first; then the
// vote is transferred to a standby, if there is one.
package coordinator

import (
	"context"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/changelog"
	"pulleygw.example/pulleygw/internal/tier/coordinator/catchup"
	"pulleygw.example/pulleygw/internal/tier/coordinator/changefetch"
	"pulleygw.example/pulleygw/internal/tier/coordinator/controlapi"
	"pulleygw.example/pulleygw/internal/tier/coordinator/draining"
	"pulleygw.example/pulleygw/internal/tier/coordinator/membership"
	"pulleygw.example/pulleygw/internal/tier/coordinator/placementcontrol"
	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/lease"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// Folders below dataDir.
const (
	registerFolder = "register" // files of the acceptor
	changesFolder  = "orders"   // segments of the change log; the name is kept for compatibility with the first release
)

const defaultHeartbeat = time.Second // heartbeat period of instances if the settings give none

var (
	errNoControlListener = eris.New("coordinator: listen.control is missing")
	errNoDataDir         = eris.New("coordinator: dataDir is missing")
)

// Run runs a coordinator until ctx ends, then shuts it down and returns.
func Run(ctx context.Context, live *settings.Live, log hclog.Logger) error {
	if err := checkSettings(live.Current()); err != nil {
		return err
	}
	caller := rpc.NewClient()
	defer caller.Close()
	options, err := openDisk(live.Current())
	if err != nil {
		return eris.Wrap(err, "coordinator")
	}
	options.live, options.log, options.caller, options.now = live, log, caller, time.Now
	log.Info("starting", "identity", options.self.Identity, "fresh", options.acceptor.HasNewIdentity(),
		"bootstrap", live.Current().Bootstrap)
	return serve(ctx, options)
}

// checkSettings checks settings that are required for this role but optional for others.
func checkSettings(current *settings.Settings) error {
	if current.Listen.Control == "" {
		return errNoControlListener
	}
	if current.DataDir == "" {
		return errNoDataDir
	}
	return nil
}

// options are the settings, the identity and the opened files from which a coordinator is built.
type options struct {
	live       *settings.Live
	log        hclog.Logger
	self       *tierpb.Node
	caller     rpc.Caller
	now        func() time.Time
	faults     *failpoint.Points // nil outside tests
	acceptor   *register.Acceptor
	history    *changelog.SegmentStore
	drainTable *draining.Table
}

// openDisk opens the files below dataDir. They determine the identity of this process.
func openDisk(current *settings.Settings) (opened options, err error) {
	disk := storage.DefaultDisk()
	if err := disk.MkdirAll(current.DataDir); err != nil {
		return options{}, err
	}
	address := current.InternalAddress(current.IP, settings.CoordinatorPortOffset)
	opened.acceptor, err = register.OpenAcceptor(register.AcceptorOptions{
		Disk: disk, Folder: filepath.Join(current.DataDir, registerFolder), Address: address,
		Bootstrap: current.Bootstrap, Seeds: current.SeedCoordinators(),
	})
	if err != nil {
		return options{}, err
	}
	opened.history, err = changelog.OpenSegmentStore(disk, filepath.Join(current.DataDir, changesFolder))
	if err != nil {
		return options{}, err
	}
	opened.drainTable, err = draining.OpenTable(disk, filepath.Join(current.DataDir, draining.Folder))
	if err != nil {
		return options{}, err
	}
	opened.self = &tierpb.Node{
		Name: current.NodeName, Address: address, Zone: current.Zone, Role: tierpb.Role_ROLE_COORDINATOR,
		Identity: opened.acceptor.Identity(), Control: current.Listen.Control,
	}
	return opened, nil
}

// coordinator holds the components of one coordinator process. Its fields do not change after newCoordinator.
type coordinator struct {
	options
	state      *watch.State
	register   controlRegister
	membership *membership.Membership
	catchUp    *catchup.Tracker
	fetcher    *changefetch.Fetcher
	announcer  *draining.Announcer
	drainSaver *draining.Saver
	instances  *instanceMonitor
	lessor     *lease.Lessor
	candidate  *lease.Candidate
	placement  *placementcontrol.Controller
	transfer   *placementcontrol.VoteTransfer
	api        *controlapi.API
}

// newCoordinator creates the components in the order of their dependencies. It starts no goroutine.
func newCoordinator(o options) *coordinator {
	c := &coordinator{options: o, state: watch.NewState()}
	c.membership = membership.New(membership.Options{
		Self: o.self, Caller: o.caller, State: c.state, Accepted: o.acceptor.AcceptedValue, Log: o.log, Now: o.now,
		Seeds: func() []string { return o.live.Current().SeedCoordinators() },
	})
	for _, instance := range o.drainTable.Instances() { // before the first follower is served
		c.state.Upsert(instance)
	}
	c.register = newControlRegister(o, c.state)
	c.addReplication()
	c.addPlacement()
	c.api = controlapi.New(controlapi.Options{
		Live: o.live, State: c.state, Register: c.register, Membership: c.membership, Announcer: c.announcer,
		Changes: o.history, Log: o.log,
	})
	return c
}

// addReplication creates the components that keep this process and the others up to date.
func (c *coordinator) addReplication() {
	c.catchUp = catchup.New(catchup.Options{
		Identity: c.self.Identity, Control: c.state.Control, Accepted: c.acceptor.AcceptedValue, ReceivedBytes: c.receivedBytes,
		Register: c.register, Membership: c.membership, Log: c.log, Now: c.now,
	})
	c.fetcher = changefetch.New(changefetch.Options{
		History: c.history, Control: c.state.Control, Targets: c.membership.Targets, Caller: c.caller, Log: c.log,
	})
	c.announcer = draining.NewAnnouncer(draining.AnnouncerOptions{
		Self: c.self, Caller: c.caller, State: c.state, Membership: c.membership, Table: c.drainTable, Log: c.log,
	})
	c.drainSaver = &draining.Saver{State: c.state, Table: c.drainTable, Log: c.log}
	c.instances = newInstanceMonitor(instanceMonitorOptions{
		heartbeat: heartbeatPeriod(c.live.Current()), state: c.state, hasQuorumContact: c.membership.HasQuorumContact, log: c.log, now: c.now,
		pruners: []pruner{c.announcer, c.drainTable},
	})
}

// addPlacement creates the candidate for the placement lease and the components that change voters and turn store members.
func (c *coordinator) addPlacement() {
	c.lessor = c.newLessor()
	c.candidate = lease.NewCandidate(lease.CandidateOptions{
		Role: placementcontrol.Role, Self: c.self.Identity, Caller: c.caller, Local: c.lessor, Voters: c.membership.Voters,
		OnChange: func(owned bool) { c.log.Info("lease ownership changed", "role", placementcontrol.Role, "owned", owned) },
	})
	views := placementcontrol.NewViewSource(placementcontrol.ViewOptions{
		Self: c.self, Live: c.live, Membership: c.membership, Now: c.now,
	})
	c.placement = placementcontrol.New(placementcontrol.Options{
		Identity: c.self.Identity, Lease: c.candidate, Register: c.register, Control: c.state.Control, Views: views,
		Log: c.log, Now: c.now, Faults: c.faults,
	})
	c.transfer = &placementcontrol.VoteTransfer{
		Identity: c.self.Identity, Register: c.register, Control: c.state.Control, Membership: c.membership, Views: views,
		Log: c.log,
	}
}

// newLessor returns the lessor of the local voter. It grants no lease for lease.MaxTTL after the start, because leases that it
// granted before a restart may still be valid. Only a process that bootstraps the cluster on an empty disk need not wait.
func (c *coordinator) newLessor() *lease.Lessor {
	gracePeriod := lease.MaxTTL
	if c.acceptor.HasNewIdentity() && c.live.Current().Bootstrap {
		gracePeriod = 0
	}
	return lease.NewLessor(c.self.Identity, gracePeriod)
}

// heartbeatPeriod returns the time between two heartbeats of an instance.
func heartbeatPeriod(current *settings.Settings) time.Duration {
	return settings.Milliseconds(float64(current.HeartbeatMs), defaultHeartbeat)
}

// receivedBytes returns how many bytes this process has received in replies to its calls; 0 if the caller does not count them.
func (c *coordinator) receivedBytes() uint64 {
	if counting, ok := c.caller.(interface{ Counters() rpc.Counters }); ok {
		return counting.Counters().BytesReceived
	}
	return 0
}
