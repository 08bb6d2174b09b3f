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

// machineCount is how many machines there are at least, running or not.
const machineCount = 8

// cluster is a set of coordinators in one process, under the clock of a synctest bubble. Calls take a millisecond;
// those to a machine that is down fail at once, those over a blocked link get no answer.
type cluster struct {
	t         *testing.T
	seeds     []string
	tolerance int
	mu        sync.Mutex
	machines  map[string]*machine // by name
	blocked   map[[2]string]bool  // by names, from and to
	calls     map[rpc.Method]int  // answered
	rate      int                 // bytes a second of each machine's link and direction; 0 for no limit
	delay     atomic.Int64        // of each call, in nanoseconds
	lines     []string            // of the logs
	leader    string              // the only candidate for the lease until free is closed; empty for all
	free      chan struct{}
}

// machine is a core machine: its disk and the process on it, if one runs.
type machine struct {
	cluster  *cluster
	name     string
	address  string
	hardware *simulation.Machine
	running  *process

	received        int // bytes of requests and answers; guarded by the cluster's mutex, as are the next
	busyIn, busyOut time.Time

	ahead atomic.Int64 // nanoseconds by which the process's clock is past the bubble's
}

// now is the clock of the machine's process.
func (m *machine) now() time.Time { return time.Now().Add(time.Duration(m.ahead.Load())) }

// stall has a process find, at its next step, that its clock went on for a while in which it did nothing.
func (m *machine) stall(duration time.Duration) { m.ahead.Add(int64(duration)) }

type process struct {
	*coordinator
	points  *failpointHook
	handler http.Handler
	stop    context.CancelFunc
	done    *sync.WaitGroup
}

// inCluster runs a test with coordinators core-1 to core-count, of which the first three are the seeds.
func inCluster(t *testing.T, count, tolerance int, test func(*cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, tolerance: tolerance, machines: make(map[string]*machine), blocked: make(map[[2]string]bool),
			calls: make(map[rpc.Method]int),
		}
		c.delay.Store(int64(callDelay))
		network := simulation.NewNetwork(rand.New(rand.NewPCG(1, 1)), simulation.LinkConditions{}) // for its machines' disks alone
		for i := range max(count+3, machineCount) {
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
		c.pass(2 * time.Second)
		test(c)
	})
}

// pass lets simulated time go by.
func (c *cluster) pass(duration time.Duration) {
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

// start starts the process of a machine.
func (c *cluster) start(name string, bootstrap bool) {
	c.t.Helper()
	m := c.machines[name]
	own := c.settingsOf(m, bootstrap)
	disk := m.hardware.Start().Mount()
	acceptor, err := register.OpenAcceptor(register.AcceptorOptions{
		Disk: disk, Folder: registerFolder, Address: m.address, Bootstrap: bootstrap, Seeds: own.SeedCoordinators(),
	})
	assert.NilError(c.t, err)
	self := &tierpb.Node{
		Name: m.name, Address: m.address, Zone: own.Zone, Role: tierpb.Role_ROLE_COORDINATOR,
		Identity: acceptor.Identity(), Control: own.Listen.Control,
	}
	history, err := changelog.OpenSegmentStore(disk, changesFolder)
	assert.NilError(c.t, err)
	drains, err := draining.OpenTable(disk, draining.Folder)
	assert.NilError(c.t, err)
	points := &failpointHook{}
	coordinator := newCoordinator(options{
		live: settings.Fixed(own), log: c.log(m.name), self: self, caller: &caller{from: m}, now: m.now,
		faults: &failpoint.Points{ShouldStop: points.pass}, acceptor: acceptor, history: history, drains: drains,
	})
	p := &process{coordinator: coordinator, points: points, handler: coordinator.api.Handler(), done: &sync.WaitGroup{}}
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	for _, run := range append(coordinator.loops(), c.candidacy(name, coordinator.candidate)) {
		p.done.Go(func() { run(ctx) })
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m.running = p
}

// kill ends a process; its disk stays.
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

// wipe gives a machine an empty disk.
func (c *cluster) wipe(name string) { c.machines[name].hardware.Wipe() }

func (c *cluster) stopAll() {
	for name, m := range c.machines {
		if p := m.running; p != nil {
			c.kill(name)
			p.done.Wait()
		}
	}
	c.pass(draining.AnnounceTimeout + time.Second) // announcements under way end by themselves
}

func (c *cluster) at(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[name].running
}

// send makes a call of the control API and returns the status and the body.
func (p *process) send(method, path, ifMatch, body string) (int, string) {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	recorder := httptest.NewRecorder()
	p.handler.ServeHTTP(recorder, request)
	return recorder.Code, recorder.Body.String()
}

// putConfiguration sends a configuration.
func (p *process) putConfiguration(ifMatch int, body string) int {
	status, _ := p.send(http.MethodPut, "/v1/config", fmt.Sprint(ifMatch), body)
	return status
}

// configurationOf is a small configuration; variants of one generation differ.
func configurationOf(generation int, variant string) string {
	return fmt.Sprintf(`{"generation":%d,"routes":[{"name":"r-%s","hostname":"h.example","pathPrefix":"/%s/","kind":"idempotent",`+
		`"timeoutMs":1000,"backend":"s"}],"services":[{"name":"s"}],"limits":{}}`, generation, variant, variant)
}

// generations are the generations that machines know to be chosen, 0 for none.
func (c *cluster) generations(names ...string) []uint64 {
	var known []uint64
	for _, name := range names {
		known = append(known, c.at(name).state.Control().GetConfiguration().GetGeneration())
	}
	return known
}

// voterNames are the voters as a machine knows them, by address.
func (c *cluster) voterNames(name string) []string {
	var names []string
	for _, set := range c.at(name).state.Control().GetVoters() {
		for _, node := range set.Nodes {
			names = append(names, c.machineAt(node.Address).name)
		}
	}
	slices.Sort(names)
	return names
}

// joinStore makes a turn store's call to join reach all coordinators that run.
func (c *cluster) joinStore(request *tierpb.JoinRequest) {
	for name := range c.machines {
		if p := c.at(name); p != nil {
			_, err := p.membership.HandleJoin(context.Background(), request.CloneVT())
			assert.NilError(c.t, err)
		}
	}
}

// poll asks a coordinator as a follower of a role that knows nothing yet.
func (p *process) poll(request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
	return p.membership.HandleWatch(context.Background(), request)
}

var _ watch.Source = (*watch.State)(nil)
