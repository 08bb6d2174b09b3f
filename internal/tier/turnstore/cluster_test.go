package turnstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// cluster is a set of turn stores with simulated disks and a simulated network. Its clock advances only when a test advances
// it.
type cluster struct {
	t         *testing.T
	random    *rand.Rand
	clock     *testClock
	tolerance int
	after     func(time.Duration) <-chan time.Time // timer of the stores

	mu               sync.Mutex
	machines         map[string]*machine // by address
	membership       *tierpb.StoreMembership
	olderMemberships []*tierpb.StoreMembership // earlier ones, oldest first
	delayedUpdates   bool                      // a change reaches each store at random: at once, or only with a later control state
	nextID           uint64
	partitioned      map[string]bool      // addresses that cannot be reached: calls fail
	latency          func() time.Duration // of a message one way; nil: none. Set only under synctest, where waiting takes no real time
}

func (c *cluster) close() {
	for _, m := range c.machines {
		c.kill(m)
	}
}

// add adds a machine with an empty disk and starts its store.
func (c *cluster) add(address, zone string) *machine {
	m := &machine{address: address, zone: zone, disk: newMemoryDisk()}
	m.disk.setSyncDelay(c.latency)
	m.disarmCrash()
	c.mu.Lock()
	c.machines[address] = m
	c.mu.Unlock()
	c.start(m)
	return m
}

func (c *cluster) start(m *machine) {
	store, err := Open(Options{
		Disk: m.disk.openIncarnation(), Folder: "data", Now: c.clock.time, After: c.after, NewIdentity: c.newIdentity,
		Log: hclog.NewNullLogger(), Failpoints: m.failpoints(),
	})
	assert.NilError(c.t, err)
	c.mu.Lock()
	m.store = store
	c.mu.Unlock()
	if !c.delayedUpdates || c.random.IntN(2) == 0 {
		c.sendControl(store)
	}
}

func (c *cluster) newIdentity() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	return c.nextID
}

// kill ends a store's process; the contents of its disk remain.
func (c *cluster) kill(m *machine) {
	c.mu.Lock()
	store := m.store
	m.store = nil
	c.mu.Unlock()
	m.disk.endIncarnation()
	if store != nil {
		store.Close()
	}
}

// setPartitioned isolates a machine from the network or reconnects it.
func (c *cluster) setPartitioned(m *machine, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[m.address] = partitioned
}

// wipe ends a store's process and replaces its disk by an empty one.
func (c *cluster) wipe(m *machine) {
	c.kill(m)
	m.disk = newMemoryDisk()
	m.disk.setSyncDelay(c.latency)
}

// losePower ends a store's process and drops or damages what its disk has not synced.
func (c *cluster) losePower(m *machine) {
	c.kill(m)
	m.disk.losePower(c.random)
}

// remove removes a machine permanently.
func (c *cluster) remove(m *machine) {
	c.kill(m)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.machines, m.address)
}

// nodes returns the running stores as members.
func (c *cluster) nodes() []*tierpb.Node {
	var nodes []*tierpb.Node
	for _, m := range c.machines {
		if m.store != nil {
			nodes = append(nodes, &tierpb.Node{Address: m.address, Zone: m.zone, Identity: m.store.Identity()})
		}
	}
	return nodes
}

// setMembers starts the next epoch with all running stores as current members.
func (c *cluster) setMembers(previous []*tierpb.Node) {
	c.changeMembership(c.nodes(), previous)
}

// endRebalance drops the previous members in the same epoch, as the placement role does.
func (c *cluster) endRebalance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.olderMemberships = append(c.olderMemberships, c.membership)
	c.membership = &tierpb.StoreMembership{Epoch: c.membership.Epoch, Current: c.membership.Current}
}

// newAddress returns an address for a machine that is added later; newCluster uses others.
func (c *cluster) newAddress(number int) string { return fmt.Sprintf("10.0.1.%d:1", number) }

// dropPrevious starts the next epoch without previous members.
func (c *cluster) dropPrevious() { c.changeMembership(c.currentMembership().Current, nil) }

// changeMembership starts the next epoch.
func (c *cluster) changeMembership(current, previous []*tierpb.Node) {
	c.mu.Lock()
	c.olderMemberships = append(c.olderMemberships, c.membership)
	c.membership = &tierpb.StoreMembership{
		Epoch: c.membership.GetEpoch() + 1, Current: current, Previous: previous,
	}
	c.mu.Unlock()
	for _, m := range c.machines {
		if m.store != nil && (!c.delayedUpdates || c.random.IntN(2) == 0) {
			c.sendControl(m.store)
		}
	}
}

func (c *cluster) sendControlToAll() {
	for _, m := range c.machines {
		if m.store != nil {
			c.sendControl(m.store)
		}
	}
}

// olderMembership returns the membership from before some number of changes, which a client may still know.
func (c *cluster) olderMembership(changes int) *tierpb.StoreMembership {
	c.mu.Lock()
	defer c.mu.Unlock()
	if changes == 0 || changes >= len(c.olderMemberships) { // the first older membership is nil
		return c.membership
	}
	return c.olderMemberships[len(c.olderMemberships)-changes]
}

func (c *cluster) sendControl(store *Store) {
	c.mu.Lock()
	control := &tierpb.ControlState{Version: c.membership.GetEpoch(), Stores: c.membership}
	c.mu.Unlock()
	store.UpdateControl(control)
}

func (c *cluster) currentMembership() *tierpb.StoreMembership {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membership
}

// rebalanceOn runs the rebalance of a store until it is complete or fails.
func (c *cluster) rebalanceOn(m *machine) error {
	c.sendControlToAll() // otherwise the rebalance would retry until the others know the membership
	work := &rebalance{
		store: m.store, caller: c, tolerance: c.tolerance, membership: c.currentMembership(), failpoints: m.failpoints(), after: firesAtOnce,
	}
	return work.run(context.Background())
}

func (c *cluster) replicaOptions() replica.Options {
	return replica.Options{
		Caller: c, Membership: c.currentMembership, Tolerance: c.tolerance, Zone: "a", Now: c.clock.time, After: firesAtOnce,
	}
}

func (c *cluster) turnsClient() *turns.Client {
	options := c.replicaOptions()
	options.CacheBytes = 1
	return turns.NewClient(options)
}

// Call implements rpc.Caller: it encodes a request, delivers it to the store at an address and decodes the reply.
func (c *cluster) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	c.mu.Lock()
	m := c.machines[address]
	var store *Store
	if m != nil {
		store = m.store
	}
	isPartitioned := c.partitioned[address]
	c.mu.Unlock()
	switch {
	case isPartitioned && c.latency != nil:
		<-ctx.Done()
		return rpc.ErrTimeout
	case isPartitioned || store == nil:
		return rpc.ErrUnreachable
	}
	data := encode(request)
	if err := c.delay(ctx); err != nil {
		return err
	}
	replyMessage, err := dispatch(ctx, store, method, data)
	if err != nil {
		return rpc.ErrRejected
	}
	data = encode(replyMessage)
	if err := c.delay(ctx); err != nil {
		return err
	}
	return reply.UnmarshalVT(data)
}

// delay waits for the one-way latency of a message.
func (c *cluster) delay(ctx context.Context) error {
	if c.latency == nil {
		return nil
	}
	select {
	case <-time.After(c.latency()):
		return nil
	case <-ctx.Done():
		return rpc.ErrTimeout
	}
}

func (c *cluster) newRecord(id, previous string) *tierpb.TurnRecord {
	return &tierpb.TurnRecord{
		Id: id, Previous: previous, Input: []byte("in of " + id), Output: []byte("{\"out\":\"" + id + "\"}\n"),
		EndedUnixMs: c.clock.time().UnixMilli(), RetentionMs: 60_000,
	}
}

// machine is a host with a disk, on which a store may run.
type machine struct {
	address        string
	zone           string
	disk           *memoryDisk
	store          *Store
	slow           atomic.Bool  // its disk syncs slowly
	crashCountdown atomic.Int64 // failpoints that the process passes before it stops; negative: it does not stop
}

// crashAfter makes the process stop after it has passed the given number of failpoints.
func (m *machine) crashAfter(points int) { m.crashCountdown.Store(int64(points)) }

func (m *machine) disarmCrash() { m.crashCountdown.Store(-1) }

func (m *machine) failpoints() *failpoint.Points {
	return &failpoint.Points{ShouldStop: func(failpoint.Point) bool { return m.crashCountdown.Load() >= 0 && m.crashCountdown.Add(-1) < 0 }}
}

// testClock is a clock that only the test advances.
type testClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *testClock) time() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *testClock) advance(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(by)
}

// neverFires is a timer that never fires, for timeouts and hedged requests.
func neverFires(time.Duration) <-chan time.Time { return nil }

// firesAtOnce is a timer that fires immediately, for backoffs and pauses.
func firesAtOnce(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	fired <- time.Time{}
	return fired
}

func newCluster(t *testing.T, seed uint64, zones ...string) *cluster {
	t.Helper()
	c := &cluster{
		t:           t,
		random:      rand.New(rand.NewPCG(seed, 1)),
		clock:       &testClock{now: time.Unix(1_700_000_000, 0)},
		tolerance:   1,
		after:       neverFires,
		machines:    make(map[string]*machine),
		partitioned: make(map[string]bool),
	}
	for i, zone := range zones {
		c.add(fmt.Sprintf("10.0.0.%d:1", i+1), zone)
	}
	c.setMembers(nil)
	t.Cleanup(c.close)
	return c
}

func encode(message rpc.Message) []byte {
	data := make([]byte, message.SizeVT())
	if _, err := message.MarshalToSizedBufferVT(data); err != nil {
		panic(err)
	}
	return data
}

func decode[M any, P interface {
	*M
	rpc.Message
}](data []byte) P {
	message := P(new(M))
	if err := message.UnmarshalVT(data); err != nil {
		panic(err)
	}
	return message
}

// dispatch decodes a request and calls the store's handler of the method.
func dispatch(ctx context.Context, store *Store, method rpc.Method, data []byte) (rpc.Message, error) {
	switch method {
	case rpc.MethodPutTurns:
		return store.PutTurns(ctx, decode[tierpb.PutTurnsRequest](data))
	case rpc.MethodGetChain:
		return store.GetChain(ctx, decode[tierpb.GetChainRequest](data))
	case rpc.MethodReserveBudget:
		return store.ReserveBudget(ctx, decode[tierpb.ReserveBudgetRequest](data))
	case rpc.MethodReadBudget:
		return store.ReadBudget(ctx, decode[tierpb.ReadBudgetRequest](data))
	case rpc.MethodTransferRecords:
		return store.TransferRecords(ctx, decode[tierpb.TransferRecordsRequest](data))
	case rpc.MethodPing:
		return &tierpb.PingReply{}, nil
	case rpc.MethodOfferRecords:
		return store.OfferRecords(ctx, decode[tierpb.OfferRecordsRequest](data))
	}
	return nil, rpc.ErrRejected
}

// put saves a record in one store and returns the status of the reply.
func put(c *cluster, m *machine, record *tierpb.TurnRecord) tierpb.StoreStatus {
	header := &tierpb.StoreRequestHeader{Identity: m.store.Identity(), Epoch: c.currentMembership().Epoch}
	request := &tierpb.PutTurnsRequest{Header: header, Records: []*tierpb.TurnRecord{record}}
	reply, err := m.store.PutTurns(context.Background(), request)
	assert.NilError(c.t, err)
	return reply.Header.Status
}

// randomLatency returns random durations below a maximum. It is safe for concurrent use.
func randomLatency(seed uint64, maximum time.Duration) func() time.Duration {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 7))
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(random.Int64N(int64(maximum)))
	}
}

// senderNetwork is the network as a machine sees it, which reaches nobody while it is partitioned.
type senderNetwork struct {
	*cluster
	sender *machine
}

func (n *senderNetwork) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	n.mu.Lock()
	isPartitioned := n.partitioned[n.sender.address]
	n.mu.Unlock()
	if isPartitioned {
		return rpc.ErrUnreachable
	}
	return n.cluster.Call(ctx, address, method, request, reply)
}

// partialNetwork is the network as seen by a client that cannot reach one store.
type partialNetwork struct {
	*cluster
	unreachable string
}

func (p *partialNetwork) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	if address == p.unreachable {
		return rpc.ErrUnreachable
	}
	return p.cluster.Call(ctx, address, method, request, reply)
}

// slowNetwork is the network as seen by a client that cannot reach one store and whose calls to another one are delayed.
// Either address may be empty.
type slowNetwork struct {
	*cluster
	unreachable string
	slow        string
	delay       time.Duration // of calls to the slow store
}

func (p *slowNetwork) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	switch address {
	case p.unreachable:
		return rpc.ErrUnreachable
	case p.slow:
		time.Sleep(p.delay)
	}
	return p.cluster.Call(ctx, address, method, request, reply)
}
