// Package membership tracks the other coordinators: which ones exist, which ones answer this process, and whether those
// that answer form a quorum of the voters in the control state.
//
// # Sources
//
//   - Coordinators are learned from their polls and join requests, from the gossip sample (package peers), from the voters
//     in the control state, and from the seeds in the settings. Targets merges these sources.
//   - Reachability is learned from the polls that this process sends to all other coordinators (RunWatcher). A reply counts
//     as contact for ContactTimeout, counted from the time at which the poll was sent.
//   - Join requests come from nodes that want to become voters or turn stores (RecentJoins).
//
// Nothing is stored on disk. A process that has just started has to learn all of it again; Starting reports that it may not
// have had enough time to do so.
//
// # Quorum contact
//
// A process has quorum contact while a quorum of the voters, itself included, has answered recently. Voters are counted by
// identity, as in the register: a process that lost its disk has a new identity and therefore no vote, even if it runs at a
// voter's address. With quorum contact the process serves its state to agents and turn stores. Without it other coordinators
// may have newer state, so the readiness gate makes followers switch to another coordinator.
//
// # Concurrency
//
// All methods except PublishCoordinators are safe for concurrent use; PublishCoordinators must always be called from the same
// goroutine. RunWatcher, RunJoin and RunSampler block until their context ends, so each needs its own goroutine.
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
	// Self describes this process. Its identity is the one under which the local acceptor votes.
	Self *tierpb.Node
	// Caller makes the calls to other processes.
	Caller rpc.Caller
	// State is kept up to date by RunWatcher and served to followers.
	State *watch.State
	// Accepted returns the newest value that the local acceptor has accepted, whether or not it was chosen; nil if there is none.
	Accepted func() *tierpb.ControlState
	// Seeds returns the internal addresses of the seed coordinators in the settings.
	Seeds func() []string
	// Log receives changes of a coordinator's reachability and of quorum contact.
	Log hclog.Logger
	// Now returns the current time.
	Now func() time.Time
}

// Membership tracks the other coordinators on behalf of one coordinator.
type Membership struct {
	options   Options
	directory *directory
	sampler   *peers.Sampler
	readiness *watch.ReadinessGate
	stopping  atomic.Bool

	published []*tierpb.Node // coordinators advertised last; used only by PublishCoordinators
}

// New returns a Membership that knows only the seeds.
func New(options Options) *Membership {
	m := &Membership{
		options: options, directory: newDirectory(options.Now),
		sampler: peers.NewSampler(options.Self, options.Caller, options.Seeds),
	}
	m.readiness = watch.NewReadinessGate(watch.ReadinessOptions{
		State: options.State, Ready: m.HasQuorumContact, Starting: m.Starting, OnChange: m.logQuorumContact, Now: options.Now,
	})
	return m
}

// RegisterHandlers registers the handlers for watch, join, ping and gossip requests.
func (m *Membership) RegisterHandlers(server *rpc.Server) {
	rpc.Handle(server, rpc.MethodWatch, m.HandleWatch)
	rpc.Handle(server, rpc.MethodJoin, m.HandleJoin)
	rpc.Handle(server, rpc.MethodPing, m.handlePing)
	m.sampler.Serve(server)
}

// RunSampler refreshes the gossip sample of all nodes until ctx ends.
func (m *Membership) RunSampler(ctx context.Context) { m.sampler.Run(ctx) }

// BeginShutdown stops join requests and removes this process from the candidates for a vote.
func (m *Membership) BeginShutdown() { m.stopping.Store(true) }

// Stopping reports whether BeginShutdown has been called.
func (m *Membership) Stopping() bool { return m.stopping.Load() }

// NewestVoters returns the value with the newest known voters, whether or not that value was chosen. It returns nil on a
// coordinator that has just started with an empty disk. The locally accepted value is used only if both its epoch and its
// version are above those of the known chosen value. If only its epoch is higher, another value was chosen in its place:
// the epoch never decreases from one chosen version to the next.
func (m *Membership) NewestVoters() *tierpb.ControlState {
	known, accepted := m.options.State.Control(), m.options.Accepted()
	if known == nil || accepted.GetEpoch() > known.Epoch && accepted.GetVersion() > known.Version {
		return accepted
	}
	return known
}

// Voters returns the newest known voter sets, whether or not they were chosen.
func (m *Membership) Voters() []*tierpb.VoterSet { return m.NewestVoters().GetVoters() }

// Targets returns the other coordinators. Until a chosen value is known, they include the voters of the locally accepted
// value, because all seeds may have been removed permanently.
func (m *Membership) Targets() []watch.Endpoint {
	known := append(m.sampler.Nodes(tierpb.Role_ROLE_COORDINATOR), m.directory.recentCoordinators()...)
	if m.options.State.Control() == nil {
		known = append(known, register.VoterNodes(m.options.Accepted())...)
	}
	return watch.CoordinatorEndpoints(m.options.Self, m.options.State, known, m.options.Seeds())
}

// Zones returns the zone of each coordinator by internal address. Zones come from the coordinators' own calls because the
// initial voters of a register are recorded without a zone.
func (m *Membership) Zones() map[string]string {
	zones := map[string]string{m.options.Self.Address: m.options.Self.Zone}
	for _, node := range m.directory.recentCoordinators() {
		zones[node.Address] = node.Zone
	}
	return zones
}

// PublishCoordinators advertises the reachable coordinators to followers if the set has changed. It must always be called
// from the same goroutine.
func (m *Membership) PublishCoordinators() {
	reachable := []*tierpb.Node{m.options.Self}
	for _, node := range m.directory.recentCoordinators() {
		if m.directory.isReachable(node.Address) && node.Address != m.options.Self.Address {
			reachable = append(reachable, node)
		}
	}
	if !slices.EqualFunc(reachable, m.published, (*tierpb.Node).EqualVT) {
		m.options.State.AdvertiseCoordinators(reachable)
	}
	m.published = reachable
}

// RecordCoordinator records that a coordinator has called. Nodes of other roles are ignored.
func (m *Membership) RecordCoordinator(node *tierpb.Node) { m.directory.recordCoordinator(node) }

// IsReachable reports whether the coordinator at an internal address answered the last poll.
func (m *Membership) IsReachable(address string) bool { return m.directory.isReachable(address) }

// UnreachableFor returns how long the coordinator at an internal address has not answered polls; 0 if it answers.
func (m *Membership) UnreachableFor(address string) time.Duration {
	return m.directory.unreachableFor(address)
}

// RecentJoins returns the latest join request of each node within the last minute, sorted by node name.
func (m *Membership) RecentJoins() []placement.Join { return m.directory.recentJoins() }

// PendingStore returns the turn store with this name that is asking to join, or nil.
func (m *Membership) PendingStore(name string) *tierpb.Node { return m.directory.pendingStore(name) }
