// Package coordinator is the role of the core machines: it holds an acceptor of the register, keeps the list of
// stores, serves the control API to stores and the operator, and brings the control state out by watch.
package coordinator

import (
	"context"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

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

// controlRegister is what the coordinator needs of the register.
type controlRegister interface {
	Change(context.Context, register.ChangeFunc) (*tierpb.ControlState, error)
	Read(context.Context) (*tierpb.ControlState, error)
}

// coordinator is one process of the role.
type coordinator struct {
	live      *settings.Live
	log       hclog.Logger
	self      *tierpb.Node
	caller    rpc.Caller
	state     *watch.State
	directory *directory
	register  controlRegister
	accepted  func() *tierpb.ControlState // newest value of the own acceptor, chosen or not
	lease     interface{ Held() bool }
	silence   *registry.Silence
	announced *announcements
	now       func() time.Time

	replaceVoters func(context.Context, []*tierpb.Node) (*tierpb.ControlState, error)
}

// Run serves the role until ctx ends and all is shut down in order.
func Run(ctx context.Context, live *settings.Live, log hclog.Logger) error {
	current := live.Current()
	address := current.InnerAddress(current.IP, settings.CoordinatorPort)
	acceptor, err := register.OpenAcceptor(register.AcceptorOptions{
		Disk: storage.OS{}, Folder: filepath.Join(current.DataDir, registerFolder), Address: address,
		Bootstrap: current.Bootstrap, Seeds: current.SeedCoordinators(),
	})
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
	c.accepted = acceptor.Value
	proposer := register.NewProposer(register.Options{
		Caller: caller, Local: acceptor, Known: c.state.Control,
		Chosen: func(chosen *tierpb.ControlState) { c.state.SetControl(chosen) },
	})
	c.register = proposer
	c.replaceVoters = func(ctx context.Context, nodes []*tierpb.Node) (*tierpb.ControlState, error) {
		return register.ReplaceVoters(ctx, proposer, nodes)
	}
	log.Info("starting", "identity", self.Identity, "fresh", acceptor.Fresh(), "bootstrap", current.Bootstrap)
	return c.serve(ctx, acceptor)
}

func newCoordinator(live *settings.Live, log hclog.Logger, self *tierpb.Node, caller rpc.Caller) *coordinator {
	return &coordinator{
		live: live, log: log, self: self, caller: caller, state: watch.NewState(),
		directory: newDirectory(time.Now), silence: registry.NewSilence(heartbeatPeriod(live.Current())),
		announced: newAnnouncements(), now: time.Now,
	}
}

// heartbeatPeriod is how often stores call.
func heartbeatPeriod(current *settings.Settings) time.Duration {
	return settings.Milliseconds(float64(current.HeartbeatMs), defaultHeartbeat)
}

const defaultHeartbeat = time.Second

// voters returns the voter sets that are known to be in force.
func (c *coordinator) voters() []*tierpb.VoterSet {
	return initialVoters(c.state.Control(), c.live.Current().SeedCoordinators())
}

// targets are the other coordinators.
func (c *coordinator) targets() []watch.Target {
	return watch.CoordinatorTargets(c.self, c.state, c.directory.coordinators(), c.live.Current().SeedCoordinators())
}

// inTouch says whether this process and the coordinators that answer it are a majority of the voters.
func (c *coordinator) inTouch() bool {
	return majority(c.voters(), func(voter *tierpb.Node) bool {
		return voter.Address == c.self.Address || c.directory.isAnswering(voter.Address)
	})
}

// majority says whether has is true for most of each set.
func majority(sets []*tierpb.VoterSet, has func(*tierpb.Node) bool) bool {
	for _, set := range sets {
		count := 0
		for _, voter := range set.Nodes {
			if has(voter) {
				count++
			}
		}
		if count <= len(set.Nodes)/2 {
			return false
		}
	}
	return len(sets) > 0
}
