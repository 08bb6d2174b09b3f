package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/changelog"
	"pulleygw.example/pulleygw/internal/tier/coordinator/draining"
	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

const testHeartbeatMs = 1000

// minMachines is the smallest number of machines in a cluster, whether or not a coordinator runs on them.
const minMachines = 8

// cluster is a set of coordinators in one process, under the simulated clock of a synctest bubble. Calls take callDelay unless
// a test changes delay. Calls to a machine that is down fail at once; calls over a blocked link time out.
type cluster struct {
	t             *testing.T
	seeds         []string
	tolerance     int
	mu            sync.Mutex
	machines      map[string]*machine // by name
	blocked       map[[2]string]bool  // by the names of sender and receiver
	calls         map[rpc.Method]int  // number of answered calls
	rate          int                 // bytes per second of each machine's link in each direction; 0 for no limit
	delay         atomic.Int64        // delay of each call in nanoseconds
	logLines      []string            // log lines of all machines
	soleCandidate string              // the only machine that may acquire the lease until openCandidacy is closed; empty if all may
	openCandidacy chan struct{}       // closed to let all machines compete for the lease; used only with soleCandidate
}

// machine is a core machine: its disk and the process on it, if one runs.
type machine struct {
	cluster  *cluster
	name     string
	address  string
	hardware *simulation.Machine
	running  *process

	received                            int       // bytes of received requests and replies; guarded by the cluster's mutex
	inboundBusyUntil, outboundBusyUntil time.Time // until when the link is busy in each direction; guarded by the cluster's mutex

	clockOffset atomic.Int64 // nanoseconds by which the process's clock is ahead of the bubble's
}

// now returns the time by the clock of the machine's process.
func (m *machine) now() time.Time { return time.Now().Add(time.Duration(m.clockOffset.Load())) }

// advanceClock moves the clock of the machine's process forward, as the process finds it after a freeze.
func (m *machine) advanceClock(duration time.Duration) { m.clockOffset.Add(int64(duration)) }

// process is a running coordinator.
type process struct {
	*coordinator
	failpoints *failpointHook
	handler    http.Handler
	stop       context.CancelFunc
	done       *sync.WaitGroup
}

// withCluster runs a test with coordinators core-1 to core-count. The first three are the seeds.
func withCluster(t *testing.T, count, tolerance int, test func(*cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, tolerance: tolerance, machines: make(map[string]*machine), blocked: make(map[[2]string]bool),
			calls: make(map[rpc.Method]int),
		}
		c.delay.Store(int64(callDelay))
		network := simulation.NewNetwork(rand.New(rand.NewPCG(1, 1)), simulation.LinkConditions{}) // used only for its disks
		for i := range max(count+3, minMachines) {
			name, address := fmt.Sprintf("core-%d", i+1), fmt.Sprintf("10.0.%d.1:7000", i+1)
			hardware := network.NewMachine(address, rand.New(rand.NewPCG(2, uint64(i))))
			c.machines[name] = &machine{cluster: c, name: name, address: address, hardware: hardware}
			if i < 3 {
				c.seeds = append(c.seeds, fmt.Sprintf("10.0.%d.1:9000", i+1))
			}
		}
		for i := range count {
			c.start(fmt.Sprintf("core-%d", i+1), true)
		}
		defer c.stopAll()
		c.advance(2 * time.Second)
		test(c)
	})
}

// advance lets simulated time pass and waits until all goroutines of the bubble are blocked.
func (c *cluster) advance(duration time.Duration) {
	c.t.Helper()
	<-time.After(duration)
	synctest.Wait()
}

func (c *cluster) settingsOf(m *machine, bootstrap bool) *settings.Settings {
	host, _, _ := strings.Cut(m.address, ":")
	return &settings.Settings{
		NodeName: m.name, IP: host, Zone: "z-" + m.name, EphemeralPorts: []int{7000, 7010}, Seeds: c.seeds,
		Bootstrap: bootstrap, HeartbeatMs: testHeartbeatMs, Listen: settings.Listen{Control: host + ":9000"},
		FaultTolerance: settings.FaultTolerance{Machines: c.tolerance},
	}
}

// start starts a coordinator on a machine.
func (c *cluster) start(name string, bootstrap bool) {
	c.t.Helper()
	m := c.machines[name]
	nodeSettings := c.settingsOf(m, bootstrap)
	disk := m.hardware.Start().Mount()
	acceptor, err := register.OpenAcceptor(register.AcceptorOptions{
		Disk: disk, Folder: registerFolder, Address: m.address, Bootstrap: bootstrap, Seeds: nodeSettings.SeedCoordinators(),
	})
	assert.NilError(c.t, err)
	self := &tierpb.Node{
		Name: m.name, Address: m.address, Zone: nodeSettings.Zone, Role: tierpb.Role_ROLE_COORDINATOR,
		Identity: acceptor.Identity(), Control: nodeSettings.Listen.Control,
	}
	history, err := changelog.OpenSegmentStore(disk, changesFolder)
	assert.NilError(c.t, err)
	drains, err := draining.OpenTable(disk, draining.Folder)
	assert.NilError(c.t, err)
	points := &failpointHook{}
	coordinator := newCoordinator(options{
		live: settings.Fixed(nodeSettings), log: c.log(m.name), self: self, caller: &caller{from: m}, now: m.now,
		faults: &failpoint.Points{ShouldStop: points.shouldStop}, acceptor: acceptor, history: history, drainTable: drains,
	})
	p := &process{coordinator: coordinator, failpoints: points, handler: coordinator.api.Handler(), done: &sync.WaitGroup{}}
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	for _, run := range append(coordinator.backgroundTasks(), c.candidateTask(name, coordinator.candidate)) {
		p.done.Go(func() { run(ctx) })
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m.running = p
}

// kill ends the process of a machine without a shutdown. Its disk is kept.
func (c *cluster) kill(name string) {
	c.mu.Lock()
	p := c.machines[name].running
	c.machines[name].running = nil
	c.mu.Unlock()
	c.machines[name].hardware.Kill()
	if p != nil {
		p.stop()
	}
}

// wipe replaces the disk of a machine by an empty one.
func (c *cluster) wipe(name string) { c.machines[name].hardware.Wipe() }

func (c *cluster) stopAll() {
	for name, m := range c.machines {
		if p := m.running; p != nil {
			c.kill(name)
			p.done.Wait()
		}
	}
	c.advance(draining.AnnounceTimeout + time.Second) // until the announcements in flight have ended
}

// process returns the process that runs on a machine, or nil.
func (c *cluster) process(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[name].running
}

// send makes a request to the control API and returns the status and the body.
func (p *process) send(method, path, ifMatch, body string) (int, string) {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	recorder := httptest.NewRecorder()
	p.handler.ServeHTTP(recorder, request)
	return recorder.Code, recorder.Body.String()
}

// putConfiguration sends a configuration and returns the status.
func (p *process) putConfiguration(ifMatch int, body string) int {
	status, _ := p.send(http.MethodPut, "/v1/config", fmt.Sprint(ifMatch), body)
	return status
}

// configurationOf returns a small configuration. The variant distinguishes configurations of the same generation.
func configurationOf(generation int, variant string) string {
	return fmt.Sprintf(`{"generation":%d,"routes":[{"name":"r-%s","hostname":"h.example","pathPrefix":"/%s/","kind":"idempotent",`+
		`"timeoutMs":1000,"backend":"s"}],"services":[{"name":"s"}],"limits":{}}`, generation, variant, variant)
}

// generations returns the configuration generations that machines know to be chosen, 0 if none.
func (c *cluster) generations(names ...string) []uint64 {
	var known []uint64
	for _, name := range names {
		known = append(known, c.process(name).state.Control().GetConfiguration().GetGeneration())
	}
	return known
}

// voterNames returns the sorted names of the voters that a machine knows.
func (c *cluster) voterNames(name string) []string {
	var names []string
	for _, set := range c.process(name).state.Control().GetVoters() {
		for _, node := range set.Nodes {
			names = append(names, c.machineAt(node.Address).name)
		}
	}
	slices.Sort(names)
	return names
}

// joinTurnStore delivers a turn store's join request to all running coordinators.
func (c *cluster) joinTurnStore(request *tierpb.JoinRequest) {
	for name := range c.machines {
		if p := c.process(name); p != nil {
			_, err := p.membership.HandleJoin(context.Background(), request.CloneVT())
			assert.NilError(c.t, err)
		}
	}
}

// poll sends a follower's poll to a coordinator.
func (p *process) poll(request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
	return p.membership.HandleWatch(context.Background(), request)
}

var _ watch.Source = (*watch.State)(nil)
