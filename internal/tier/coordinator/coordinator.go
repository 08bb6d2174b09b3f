// Package coordinator is the role of the core machines. The coordinators together keep the control state (configuration,
// voters, members of the turn stores, retirements) and the list of instances, and bring both out to all other processes.
//
// # Components
//
// The package itself only wires components together, opens the listeners and shuts down in order. Each component owns its
// state and reaches the others through a small interface of its own:
//
//	register (acceptor, proposer)  the control state; the acceptor's files below dataDir/register
//	watch.State                    the newest chosen control state, the instances, the coordinators; in memory
//	membership                     the other coordinators, quorum contact, join requests; in memory
//	catchup                        how far this process is behind; in memory
//	changefetch                    older configuration changes; changelog.SegmentStore below dataDir/orders
//	draining                       final states of instances; draining.Table below dataDir/departures
//	placementcontrol               term and redundancy, while this process holds the placement lease; in memory
//	controlapi                     the HTTP interface; the newest acknowledged generation, in memory
//	instanceMonitor                when each instance last sent a heartbeat; in memory
//
// # Goroutines
//
//	membership.Follow         polls the other coordinators
//	membership.RunJoin        asks to become a voter, where this process is none
//	membership.RunSampler     gossip sample of nodes
//	catchup.RunAtStart        first read of the register; ends early
//	coordinator.runMaintenance  readiness, list of coordinators, instanceMonitor, catchup.Step: one after the other
//	changefetch.Run           fetches segments of the change log
//	placementcontrol.Run      changes of voters and turn stores
//	lease.Candidate.Run       candidacy for the placement lease
//
// besides those of the two servers, a goroutine a call.
//
// # How requests flow
//
// A configuration goes from controlapi through register.Proposer to the acceptors of the voters; once chosen, it is set in
// the watch.State of the proposing process, from where followers (coordinators, agents, turn stores) get it with their next
// poll. A heartbeat goes into the watch.State of the coordinator that got it, and to the others by their polls. A drain or a
// deregistration is also written to the disks of a quorum before it is acknowledged (draining).
//
// # Failures
//
// Without contact with a quorum of the voters a coordinator answers writes and reads of the control state with 503, and
// sends agents and instances on to other coordinators; it keeps its state, and catches up when contact is back. A process
// that was frozen notices that, and neither marks instances suspect nor replaces voters for what it has missed. A disk that
// is lost makes the process another voter identity, which joins anew. At a shutdown the calls in flight are answered, then
// the vote is transferred to a standby where there is one.
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
	changesFolder  = "orders"   // segments of the change log; the name on disk is that of the first release
)

const defaultHeartbeat = time.Second // period of the instances' heartbeats, where the settings have none

var (
	errNoControlListener = eris.New("coordinator: listen.control is missing")
	errNoDataDir         = eris.New("coordinator: dataDir is missing")
)

// Run serves the role until ctx ends and all is shut down in order.
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
	log.Info("starting", "identity", options.self.Identity, "fresh", options.acceptor.Fresh(),
		"bootstrap", live.Current().Bootstrap)
	return serve(ctx, options)
}

// checkSettings finds what other roles can do without.
func checkSettings(current *settings.Settings) error {
	if current.Listen.Control == "" {
		return errNoControlListener
	}
	if current.DataDir == "" {
		return errNoDataDir
	}
	return nil
}

// options are what a coordinator is made of: the process's settings, identity and files.
type options struct {
	live     *settings.Live
	log      hclog.Logger
	self     *tierpb.Node
	caller   rpc.Caller
	now      func() time.Time
	faults   *failpoint.Points // nil outside tests
	acceptor *register.Acceptor
	history  *changelog.SegmentStore
	drains   *draining.Table
}

// openDisk opens the files below dataDir. Which node this process is follows from them.
func openDisk(current *settings.Settings) (opened options, err error) {
	disk := storage.Local()
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
	opened.drains, err = draining.OpenTable(disk, filepath.Join(current.DataDir, draining.Folder))
	if err != nil {
		return options{}, err
	}
	opened.self = &tierpb.Node{
		Name: current.NodeName, Address: address, Zone: current.Zone, Role: tierpb.Role_ROLE_COORDINATOR,
		Identity: opened.acceptor.Identity(), Control: current.Listen.Control,
	}
	return opened, nil
}

// coordinator is the components of one process of the role. None of its fields is changed after newCoordinator.
type coordinator struct {
	options
	state      *watch.State
	register   controlRegister
	membership *membership.Membership
	catchUp    *catchup.Tracker
	fetcher    *changefetch.Fetcher
	announcer  *draining.Announcer
	instances  *instanceMonitor
	lessor     *lease.Lessor
	candidate  *lease.Candidate
	placement  *placementcontrol.Controller
	transfer   *placementcontrol.VoteTransfer
	api        *controlapi.API
}

// newCoordinator makes the components, in the order in which they need each other. Nothing runs yet.
func newCoordinator(o options) *coordinator {
	c := &coordinator{options: o, state: watch.NewState()}
	c.membership = membership.New(membership.Options{
		Self: o.self, Caller: o.caller, State: c.state, Accepted: o.acceptor.AcceptedValue, Log: o.log, Now: o.now,
		Seeds: func() []string { return o.live.Current().SeedCoordinators() },
	})
	for _, instance := range o.drains.Instances() { // so that followers get them from the start
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

// addReplication makes the components that keep this process and the others up to date.
func (c *coordinator) addReplication() {
	c.catchUp = catchup.New(catchup.Options{
		Identity: c.self.Identity, Control: c.state.Control, Accepted: c.acceptor.AcceptedValue, ReceivedBytes: c.receivedBytes,
		Register: c.register, Membership: c.membership, Log: c.log, Now: c.now,
	})
	c.fetcher = changefetch.New(changefetch.Options{
		History: c.history, Control: c.state.Control, Targets: c.membership.Targets, Caller: c.caller, Log: c.log,
	})
	c.announcer = draining.NewAnnouncer(draining.AnnouncerOptions{
		Self: c.self, Caller: c.caller, State: c.state, Membership: c.membership, Table: c.drains, Log: c.log,
	})
	c.instances = newInstanceMonitor(instanceMonitorOptions{
		heartbeat: heartbeatPeriod(c.live.Current()), state: c.state, inContact: c.membership.InContact, log: c.log, now: c.now,
		forgetters: []forgetter{c.announcer, c.drains},
	})
}

// addPlacement makes the candidacy for the placement lease and what is done under it.
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

// newLessor grants leases on behalf of the acceptor's voter. It grants none for a while where it may have granted some before
// this start.
func (c *coordinator) newLessor() *lease.Lessor {
	gracePeriod := lease.MaxTTL
	if c.acceptor.Fresh() && c.live.Current().Bootstrap {
		gracePeriod = 0
	}
	return lease.NewLessor(c.self.Identity, gracePeriod)
}

// heartbeatPeriod is how often instances send heartbeats.
func heartbeatPeriod(current *settings.Settings) time.Duration {
	return settings.Milliseconds(float64(current.HeartbeatMs), defaultHeartbeat)
}

// receivedBytes returns the bytes that the calls of this process have brought in, 0 for a caller that doesn't count them.
func (c *coordinator) receivedBytes() uint64 {
	if counting, ok := c.caller.(interface{ Counters() rpc.Counters }); ok {
		return counting.Counters().BytesReceived
	}
	return 0
}
