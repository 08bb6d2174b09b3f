// Package membership knows which coordinators there are, which of them this process reaches, and whether those are a
// majority of the voters of the control state.
//
// # What it knows, and from where
//
//   - Coordinators: from their polls and join requests, from the gossip sample of package peers, from the voters of the
//     control state, and from the seeds of the settings. Targets merges them.
//   - Reachability: from the polls that this process sends to all other coordinators (Follow). A reply counts as contact for
//     ContactTimeout from the moment at which its poll was sent.
//   - Joins: which nodes ask to become voters or turn stores, with what they report of themselves (RecentJoins).
//
// Nothing of it is kept on disk: after a start it is learned anew, and Starting says that there was no time for it yet.
//
// # Quorum contact
//
// Contact is counted by identity, as the register counts votes: a process that runs at a voter's address but lost its disk
// has another identity and no vote. While the process is in contact it serves its state to agents and turn stores; without
// contact others may have newer state, so the readiness gate sends followers on to other coordinators.
//
// # Concurrency
//
// All methods are safe for concurrent use, but for PublishCoordinators, which belongs to the caller's maintenance
// goroutine. Follow, RunJoin and RunSampler each block until their context ends and want a goroutine of their own.
package membership

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/peers"
	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

var errNoIdentity = eris.New("join without an identity")

// Options of a Membership. All are required.
type Options struct {
	// Self is this process; its identity is the one that its acceptor votes under.
	Self *tierpb.Node
	// Caller makes the calls to other processes.
	Caller rpc.Caller
	// State is brought up to date by Follow and served to followers.
	State *watch.State
	// Accepted returns the newest value of the own acceptor, chosen or not; nil where there is none.
	Accepted func() *tierpb.ControlState
	// Seeds returns the internal addresses of the coordinators that the settings name.
	Seeds func() []string
	// Log gets a line when a coordinator becomes reachable or unreachable, and when quorum contact is lost or established.
	Log hclog.Logger
	// Now is the clock.
	Now func() time.Time
}

// Membership is one coordinator's knowledge of the others.
type Membership struct {
	options   Options
	directory *directory
	sampler   *peers.Sampler
	readiness *watch.ReadinessGate
	stopping  atomic.Bool

	published []*tierpb.Node // as last given to the state; PublishCoordinators alone uses it
}

// New returns a Membership that knows the seeds alone.
func New(options Options) *Membership {
	m := &Membership{
		options: options, directory: newDirectory(options.Now),
		sampler: peers.NewSampler(options.Self, options.Caller, options.Seeds),
	}
	m.readiness = watch.NewReadinessGate(watch.ReadinessOptions{
		State: options.State, Ready: m.InContact, Starting: m.Starting, OnChange: m.logContact, Now: options.Now,
	})
	return m
}

// RegisterHandlers registers the calls that other processes make.
func (m *Membership) RegisterHandlers(server *rpc.Server) {
	rpc.Handle(server, rpc.MethodWatch, m.HandleWatch)
	rpc.Handle(server, rpc.MethodJoin, m.HandleJoin)
	rpc.Handle(server, rpc.MethodPing, m.handlePing)
	m.sampler.Serve(server)
}

// RunSampler keeps the gossip sample of all nodes fresh until ctx ends.
func (m *Membership) RunSampler(ctx context.Context) { m.sampler.Run(ctx) }

// BeginShutdown has this process ask for no vote any more, and count as no standby.
func (m *Membership) BeginShutdown() { m.stopping.Store(true) }

// Stopping reports whether the shutdown has begun.
func (m *Membership) Stopping() bool { return m.stopping.Load() }

// NewestVoters returns the value with the newest voters known, chosen or not; nil for a coordinator that has just
// started on an empty disk. An accepted value whose version is no later than the chosen one's, and whose voters are, lost
// out: voters of a chosen value are never later than those of the values behind it.
func (m *Membership) NewestVoters() *tierpb.ControlState {
	known, accepted := m.options.State.Control(), m.options.Accepted()
	if known == nil || accepted.GetEpoch() > known.Epoch && accepted.GetVersion() > known.Version {
		return accepted
	}
	return known
}

// Voters returns the newest voter sets known, chosen or not.
func (m *Membership) Voters() []*tierpb.VoterSet { return m.NewestVoters().GetVoters() }

// Targets returns the other coordinators. Before anything is known to be chosen, the voters of the own acceptor's value are
// among them: the seeds may be gone for good.
func (m *Membership) Targets() []watch.Endpoint {
	known := append(m.sampler.Nodes(tierpb.Role_ROLE_COORDINATOR), m.directory.coordinators()...)
	if m.options.State.Control() == nil {
		known = append(known, register.VoterNodes(m.options.Accepted())...)
	}
	return watch.CoordinatorEndpoints(m.options.Self, m.options.State, known, m.options.Seeds())
}

// Zones returns the zones of the coordinators by internal address; the first voters of a register are named without one.
func (m *Membership) Zones() map[string]string {
	zones := map[string]string{m.options.Self.Address: m.options.Self.Zone}
	for _, node := range m.directory.coordinators() {
		zones[node.Address] = node.Zone
	}
	return zones
}

// PublishCoordinators announces to followers which coordinators this one reaches, where that has changed. One goroutine calls it.
func (m *Membership) PublishCoordinators() {
	reachable := []*tierpb.Node{m.options.Self}
	for _, node := range m.directory.coordinators() {
		if m.directory.isReachable(node.Address) && node.Address != m.options.Self.Address {
			reachable = append(reachable, node)
		}
	}
	if !slices.EqualFunc(reachable, m.published, (*tierpb.Node).EqualVT) {
		m.options.State.AdvertiseCoordinators(reachable)
	}
	m.published = reachable
}

// RecordContact records that a coordinator has called; calls of other roles are ignored.
func (m *Membership) RecordContact(node *tierpb.Node) { m.directory.recordContact(node) }

// IsReachable reports whether the last poll of the coordinator at an internal address was answered.
func (m *Membership) IsReachable(address string) bool { return m.directory.isReachable(address) }

// UnreachableFor is how long a coordinator has not answered polls, 0 for one that does.
func (m *Membership) UnreachableFor(address string) time.Duration {
	return m.directory.unreachableFor(address)
}

// RecentJoins returns the join requests of the last minute, one a node, by name.
func (m *Membership) RecentJoins() []placement.Join { return m.directory.recentJoins() }

// PendingStore returns the turn store of a name that asks to join, nil where none does.
func (m *Membership) PendingStore(name string) *tierpb.Node { return m.directory.pendingStore(name) }
