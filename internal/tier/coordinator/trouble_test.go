package coordinator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/changelog"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Times of a run under a cut.
const (
	cutTime      = 20 * time.Second
	stepTime     = 50 * time.Millisecond
	healedWithin = 2 * time.Second // after which the coordinator that was cut off is as the others
	beginWithin  = time.Second     // after which an agent that starts anew has a state
	edgeCount    = 4
)

// direction says which messages between the coordinators that are cut off and the others are lost.
type direction struct {
	name        string
	out, inward bool // those that it sends, those sent to it
}

var directions = []direction{{"both", true, true}, {"not_heard", true, false}, {"hears_nothing", false, true}}

// troubleRun is a run in which two operators race, stores drain, agents start anew, machines are emptied and one of the coordinators cut off starts anew while
// coordinators are cut off, with what came of it.
type troubleRun struct {
	*cluster
	names  []string // of the coordinators
	apart  []string // of them, those that are cut off
	random *rand.Rand

	mu        sync.Mutex
	began     time.Time // of the cut
	ended     bool
	orders    []sentOrder
	drained   map[string]time.Time // acknowledged
	emptied   map[string]bool      // machines said to be
	problems  []string
	edges     []*edge
	startedAt []time.Time
	running   sync.WaitGroup
	stopped   chan struct{}
	stopOnce  sync.Once
}

type sentOrder struct {
	order      changelog.Change
	generation uint64
	status     int
	at         time.Time
}

func (r *troubleRun) problem(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, arguments...))
}

// draw picks a number below the bound.
func (r *troubleRun) draw(bound int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(bound)
}

// call makes a call at any coordinator. One that is cut off from before the call until after it has no clear answer.
func (r *troubleRun) call(method, path, ifMatch, body string) (int, string) {
	name := r.names[r.draw(len(r.names))]
	apart := slices.Contains(r.apart, name) && r.isUnderCut()
	status, answer := r.at(name).send(method, path, ifMatch, body)
	if apart && r.isUnderCut() && status != http.StatusServiceUnavailable {
		r.problem("%s answered %s %s with %d %s while it was cut off", name, method, path, status, answer)
	}
	return status, answer
}

func (r *troubleRun) isUnderCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.began.IsZero() && !r.ended
}

// acknowledged is the newest generation that was acknowledged by a time.
func (r *troubleRun) acknowledged(by time.Time) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := uint64(0)
	for _, sent := range r.orders {
		if sent.status == http.StatusOK && !sent.at.After(by) {
			newest = max(newest, sent.generation)
		}
	}
	return newest
}

// checkEdges holds what agents may have in force: what was acknowledged more than newsUnderCut ago, or nothing yet.
func (r *troubleRun) checkEdges() {
	before := time.Now().Add(-newsUnderCut)
	least := r.acknowledged(before)
	for i, edge := range r.edges {
		generation := edge.generation()
		if generation == 0 && time.Since(r.startedAt[i]) > beginWithin {
			r.problem("an agent has no state %v after its start", beginWithin)
		}
		if generation > 0 && generation < least {
			r.problem("an agent has %d, and %d was acknowledged %v ago", generation, least, newsUnderCut)
		}
		r.mu.Lock()
		for id, at := range r.drained {
			known := edge.state.Instance(id)
			if known != nil && known.State < draining && at.Before(before) {
				r.problems = append(r.problems, fmt.Sprintf("an agent has %s as %v", id, known.State))
			}
		}
		r.mu.Unlock()
	}
}

func (r *troubleRun) restartEdge(i int) {
	if r.edges[i] != nil {
		r.edges[i].stop()
	}
	order := slices.Clone(r.names) // the first choices are those that are cut off
	slices.SortStableFunc(order, func(a, b string) int {
		return boolRank(slices.Contains(r.apart, b)) - boolRank(slices.Contains(r.apart, a))
	})
	r.edges[i], r.startedAt[i] = r.startEdge(fmt.Sprintf("edge-%d", i), order...), time.Now()
}

func boolRank(value bool) int {
	if value {
		return 1
	}
	return 0
}

// steps lets time go by in steps, in which turn stores call, agents start anew and the invariants are looked at.
func (r *troubleRun) steps(duration time.Duration, stores []*tierpb.Node) {
	for step := range int(duration / stepTime) {
		if step%10 == 0 {
			epoch := uint64(0)
			for _, name := range r.names {
				epoch = max(epoch, r.at(name).state.Control().GetStores().GetEpoch())
			}
			for _, node := range stores {
				r.joinStore(&tierpb.JoinRequest{Node: node, StoreEpoch: epoch, CopiedEpoch: epoch})
			}
		}
		if step%12 == 11 {
			r.restartEdge(r.draw(edgeCount))
		}
		r.pass(stepTime)
		r.checkEdges()
	}
}

// setApart cuts the coordinators that are apart off from the others, or heals that.
func (r *troubleRun) setApart(to direction) {
	for _, apart := range r.apart {
		for _, other := range r.names {
			if !slices.Contains(r.apart, other) {
				r.setCut(apart, other, to.out)
				r.setCut(other, apart, to.inward)
			}
		}
	}
}

// TestCutOffForTwentySeconds cuts coordinators off for 20 s: one of three, the one with the lease where another
// stands by, and two of five that reach each other.
func TestCutOffForTwentySeconds(t *testing.T) {
	for _, size := range []struct{ coordinators, tolerance, apart int }{{3, 1, 1}, {4, 1, 1}, {5, 2, 2}} {
		for seed, way := range directions {
			t.Run(fmt.Sprintf("%d_of_%d_%s", size.apart, size.coordinators, way.name), func(t *testing.T) {
				inCluster(t, size.coordinators, size.tolerance, func(c *cluster) {
					r := &troubleRun{
						cluster: c, random: rand.New(rand.NewPCG(uint64(seed), uint64(size.coordinators))),
						drained: make(map[string]time.Time), emptied: make(map[string]bool), stopped: make(chan struct{}),
						edges: make([]*edge, edgeCount), startedAt: make([]time.Time, edgeCount),
					}
					r.play(way, size.apart, 2*size.tolerance+3, size.coordinators)
				})
			})
		}
	}
}

// play runs the trouble: calm, the cut, calm again.
func (r *troubleRun) play(way direction, apart, storeCount, coordinators int) {
	t := r.t
	for number := range coordinators {
		r.names = append(r.names, fmt.Sprintf("core-%d", number+1))
	}
	var stores []*tierpb.Node
	for number := range storeCount {
		stores = append(stores, storeNode(number+1))
	}
	assert.Equal(t, r.at("core-1").configured(0, configurationOf(1, "a")), http.StatusOK)
	r.pass(2 * time.Second)
	slices.SortStableFunc(r.names, func(a, b string) int {
		return boolRank(r.at(b).lease.OwnsLease()) - boolRank(r.at(a).lease.OwnsLease())
	})
	r.apart = slices.Clone(r.names[:apart])
	for i := range edgeCount {
		r.restartEdge(i)
	}
	defer r.stop()
	r.running.Go(func() { r.operate("x") })
	r.running.Go(func() { r.operate("y") })
	r.running.Go(r.drainStores)
	r.steps(2*time.Second, stores)
	r.running.Go(func() { r.retire("store-1") })
	r.steps(2*time.Second, stores)
	before := len(r.orders)

	r.setApart(way)
	r.mu.Lock()
	r.began = time.Now()
	r.mu.Unlock()
	r.steps(5*time.Second, stores)
	for _, name := range r.apart {
		assert.Equal(t, r.at(name).readiness(), http.StatusServiceUnavailable, name)
	}
	r.running.Go(func() { r.retire("store-2") })
	r.steps(3*time.Second, stores)
	r.restart(r.apart[len(r.apart)-1])
	r.steps(cutTime-8*time.Second, stores)
	underCut := len(r.orders) - before
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.setApart(direction{})
	r.steps(healedWithin, stores)
	for _, name := range r.apart {
		assert.Equal(t, r.at(name).readiness(), http.StatusOK, name)
	}
	r.steps(3*time.Second, stores)
	r.stop()
	r.pass(newsUnderCut)
	r.checkEnd(underCut)
}

// restart ends the process of a coordinator and starts it anew at once.
func (r *troubleRun) restart(name string) {
	r.kill(name)
	r.start(name, false)
}

// stop ends the operators and the stores.
func (r *troubleRun) stop() {
	r.stopOnce.Do(func() { close(r.stopped) })
	r.running.Wait()
}

// checkEnd compares what was answered with what is in force.
func (r *troubleRun) checkEnd(underCut int) {
	t := r.t
	for _, problem := range r.problems {
		t.Error(problem)
	}
	control := r.at(r.apart[0]).state.Control()
	isTaken := func(sent changelog.Change) bool {
		return changelog.Classify(control.CloneVT(), r.at(r.apart[0]).history, sent) == changelog.Committed
	}
	taken := 0
	for _, sent := range r.orders {
		switch sent.status {
		case http.StatusOK:
			taken++
			assert.Assert(t, isTaken(sent.order), "acknowledged and not in force: %d", sent.generation)
		case http.StatusPreconditionFailed:
			assert.Assert(t, !isTaken(sent.order), "refused and in force: %d", sent.generation)
		case http.StatusServiceUnavailable: // its operator was stopped
		default:
			t.Errorf("an order got %d", sent.status)
		}
	}
	for _, name := range r.names {
		assert.Equal(t, r.at(name).state.Control().Version, control.Version, name)
		losses := boolRank(slices.Contains(r.apart, name))
		assert.Equal(t, r.logged(name, "contact with a majority of the voters lost"), losses, name)
		assert.Equal(t, r.logged(name, "contact with a majority of the voters found"), losses+1, name)
	}
	for _, edge := range r.edges {
		assert.Equal(t, edge.generation(), control.Configuration.Generation)
		edge.stop()
	}
	t.Logf("%d orders, %d of them under the cut, %d taken; %d drains acknowledged", len(r.orders), underCut, taken, len(r.drained))
	assert.Assert(t, underCut >= 20)
	assert.Assert(t, len(r.drained) >= 10)
	assert.Assert(t, r.emptied["store-1"] && r.emptied["store-2"], "%v", r.emptied)
}
