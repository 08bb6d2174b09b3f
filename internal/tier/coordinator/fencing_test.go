package coordinator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/lease"
	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// failpointHook decides for one process what happens at failpoints.
type failpointHook struct {
	mu   sync.Mutex
	stop func(failpoint.Point) bool
}

func (s *failpointHook) pass(point failpoint.Point) bool {
	s.mu.Lock()
	stop := s.stop
	s.mu.Unlock()
	return stop != nil && stop(point)
}

func (s *failpointHook) set(stop func(failpoint.Point) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = stop
}

// frozenMachine is a machine whose placement is held up at a point, partitioned from all others, until it is woken.
type frozenMachine struct {
	cluster *cluster
	name    string
	frozen  chan struct{} // closed at the point
	wake    chan struct{}
}

// freezeAt holds up what passes a point first at a machine.
func (c *cluster) freezeAt(name string, point failpoint.Point) *frozenMachine {
	s := &frozenMachine{cluster: c, name: name, frozen: make(chan struct{}), wake: make(chan struct{})}
	once := &sync.Once{}
	c.at(name).points.set(func(passed failpoint.Point) bool {
		if passed == point {
			once.Do(func() {
				c.isolate(name, true)
				close(s.frozen)
				<-s.wake
			})
		}
		return false
	})
	return s
}

// awaitFrozen lets time go by until the point is reached.
func (s *frozenMachine) awaitFrozen(longest time.Duration) {
	s.cluster.t.Helper()
	select {
	case <-s.frozen:
	case <-time.After(longest):
		s.cluster.t.Fatalf("%s has not come to the point", s.name)
	}
}

// isFrozen reports whether the point has been reached.
func (s *frozenMachine) isFrozen() bool {
	select {
	case <-s.frozen:
		return true
	default:
		return false
	}
}

func (s *frozenMachine) thaw() {
	s.cluster.isolate(s.name, false)
	close(s.wake)
}

// term is the newest term of placement that a machine knows.
func (c *cluster) term(name string) placement.Term {
	return placement.TermOf(c.at(name).state.Control())
}

// leaseHolder is the machine that holds the placement lease.
func (c *cluster) leaseHolder() string {
	c.t.Helper()
	for range 100 {
		for name := range c.machines {
			if p := c.at(name); p != nil && p.candidate.OwnsLease() {
				return name
			}
		}
		c.pass(100 * time.Millisecond)
	}
	c.t.Fatal("nobody holds the lease")
	return ""
}

// candidacy is a machine's part in the competition for the lease.
func (c *cluster) candidacy(name string, holder *lease.Candidate) func(context.Context) {
	leader, free := c.leader, c.free
	return func(ctx context.Context) {
		if leader != "" && leader != name {
			select {
			case <-free:
			case <-ctx.Done():
			}
		}
		holder.Run(ctx)
	}
}

// inClusterLedBy runs a test in which one machine holds the lease until all may compete for it.
func inClusterLedBy(t *testing.T, leader string, count, tolerance int, test func(c *cluster)) {
	t.Helper()
	inCluster(t, 0, tolerance, func(c *cluster) {
		c.leader, c.free = leader, make(chan struct{})
		for i := range count {
			c.start(fmt.Sprintf("core-%d", i+1), true)
		}
		c.pass(2 * time.Second)
		assert.Equal(t, c.leaseHolder(), leader)
		assert.Equal(t, c.at("core-1").putConfiguration(0, configurationOf(1, "a")), http.StatusOK)
		c.pass(200 * time.Millisecond)
		test(c)
	})
}

// A lease holder that was frozen after it had decided to replace an unreachable voter finds that voter back when it resumes.
func TestFrozenLeaseHolderDoesNotReplaceAVoterThatCameBack(t *testing.T) {
	for _, point := range []failpoint.Point{failpoint.PlacementDecided, failpoint.PrepareDone, failpoint.AcceptSending} {
		inClusterLedBy(t, "core-4", 4, 1, func(c *cluster) {
			c.isolate("core-2", true)
			c.pass(500 * time.Millisecond)
			frozen := c.freezeAt("core-4", point)
			frozen.awaitFrozen(5 * time.Second)
			c.isolate("core-2", false)
			c.isolate("core-4", true)
			close(c.free)
			c.pass(10 * time.Second)
			assert.Assert(t, c.leaseHolder() != "core-4")
			frozen.thaw()
			c.pass(5 * time.Second)
			assert.DeepEqual(t, c.voterNames("core-1"), []string{"core-1", "core-2", "core-3"})
		})
	}
}

// A lease holder that was frozen after it had decided to abandon an unreachable turn store finds it calling when it resumes.
func TestFrozenLeaseHolderDoesNotAbandonATurnStoreThatCameBack(t *testing.T) {
	for _, point := range []failpoint.Point{failpoint.PlacementDecided, failpoint.PrepareDone, failpoint.AcceptSending} {
		inClusterLedBy(t, "core-1", 3, 1, func(c *cluster) {
			stores := []*tierpb.Node{storeNode(1), storeNode(2), storeNode(3), storeNode(4)}
			c.storesRun(3*time.Second, "core-1", stores...)
			frozen := c.freezeAt("core-1", point)
			c.storesRun(4*time.Second, "core-1", stores[:3]...)
			frozen.awaitFrozen(time.Millisecond)
			close(c.free)
			c.storesRun(10*time.Second, "core-2", stores...)
			assert.Assert(t, c.leaseHolder() != "core-1")
			frozen.thaw()
			c.storesRun(5*time.Second, "core-2", stores...)
			current, _ := c.members("core-2")
			assert.Equal(t, len(current), 4)
			assert.Equal(t, c.at("core-2").state.Control().Stores.Epoch, uint64(1), "nobody was taken out in between")
		})
	}
}

// A lease holder is frozen until its lease has lapsed, and acquires it anew before what it had decided goes on.
func TestChangeOfAnOlderAcquisitionIsRejectedUnderTheNextOne(t *testing.T) {
	inClusterLedBy(t, "core-4", 4, 1, func(c *cluster) {
		before := c.term("core-1")
		c.isolate("core-2", true)
		frozen := c.freezeAt("core-4", failpoint.PlacementDecided)
		frozen.awaitFrozen(5 * time.Second)
		c.isolate("core-2", false)
		c.isolate("core-4", true)
		c.pass(5 * time.Second)
		c.isolate("core-4", false)
		c.pass(3 * time.Second)
		assert.Assert(t, c.at("core-4").candidate.OwnsLease(), "acquired anew")
		frozen.thaw()
		c.pass(5 * time.Second)
		assert.DeepEqual(t, c.voterNames("core-1"), []string{"core-1", "core-2", "core-3"})
		assert.Equal(t, c.term("core-1"), before.Next(c.at("core-4").self.Identity))
	})
}

// Another process raises the term while the lease is held, as it may where clocks fail: the holder's next change is
// rejected, and made after it has acquired the lease anew.
func TestLeaseHolderWithAnOlderTermIsRejected(t *testing.T) {
	inClusterLedBy(t, "core-1", 3, 1, func(c *cluster) {
		stranger := c.at("core-2")
		chosen, err := stranger.register.Change(context.Background(), func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
			placement.TermOf(current).Next(stranger.self.Identity).Stamp(current)
			return current, nil
		})
		assert.NilError(t, err)
		acquisition := c.at("core-1").candidate.Acquisition()
		c.storesRun(2*time.Second, "core-1", storeNode(1), storeNode(2), storeNode(3))
		c.storesRun(3*time.Second, "core-1", storeNode(1), storeNode(2), storeNode(3))
		current, _ := c.members("core-2")
		assert.DeepEqual(t, current, []string{"store-1", "store-2", "store-3"})
		assert.Assert(t, c.at("core-1").candidate.Acquisition() > acquisition)
		assert.Equal(t, c.term("core-2"), placement.TermOf(chosen).Next(c.at("core-1").self.Identity))
	})
}

// A lease holder that is held up between its look and the accepts, for less than its lease lasts, looks again.
func TestChangeFromAnOldViewIsRejected(t *testing.T) {
	inClusterLedBy(t, "core-1", 3, 1, func(c *cluster) {
		p, once, ages := c.at("core-1"), &sync.Once{}, 0
		acquisition := p.candidate.Acquisition()
		p.points.set(func(passed failpoint.Point) bool {
			if passed == failpoint.PlacementDecided {
				ages++
				once.Do(func() { c.machines["core-1"].stall(placement.MaxViewAge + time.Millisecond) })
			}
			return false
		})
		c.storesRun(5*time.Second, "core-1", storeNode(1), storeNode(2), storeNode(3))
		p.points.set(nil)
		current, _ := c.members("core-2")
		assert.DeepEqual(t, current, []string{"store-1", "store-2", "store-3"})
		assert.Equal(t, ages, 2, "the first was rejected")
		assert.Equal(t, p.candidate.Acquisition(), acquisition, "the lease was not lost")
	})
}

// A lease holder is frozen while it raises the term; another raises it meanwhile.
func TestLeaseHolderFrozenWhileRaisingTheTermComesTooLate(t *testing.T) {
	for _, point := range []failpoint.Point{failpoint.PrepareSending, failpoint.PrepareDone, failpoint.AcceptSending, failpoint.AcceptDone} {
		inClusterLedBy(t, "core-1", 3, 1, func(c *cluster) {
			before := c.term("core-2")
			c.kill("core-1")
			c.start("core-1", false)
			frozen := c.freezeAt("core-1", point)
			frozen.awaitFrozen(10 * time.Second)
			close(c.free)
			c.pass(8 * time.Second)
			holder := c.at(c.leaseHolder())
			newest := c.term(holder.self.Name)
			assert.Equal(t, newest.Holder, holder.self.Identity)
			assert.Assert(t, newest.Number > before.Number)
			frozen.thaw()
			c.pass(3 * time.Second)
			assert.Equal(t, c.term("core-2"), newest)
			assert.Equal(t, c.term("core-1"), newest)
		})
	}
}

// In calm nothing is written: the term is raised once for a holding of the lease.
func TestTermIsRaisedOncePerAcquisition(t *testing.T) {
	inClusterLedBy(t, "core-1", 3, 1, func(c *cluster) {
		term, version := c.term("core-2"), c.at("core-2").state.Control().Version
		assert.Equal(t, term, placement.Term{Number: 1, Holder: c.at("core-1").self.Identity})
		c.pass(30 * time.Second)
		assert.Equal(t, c.term("core-2"), term)
		assert.Equal(t, c.at("core-2").state.Control().Version, version)
	})
}

// The newest holder's changes go on whoever held the lease before.
func TestTermRisesWhenTheLeaseChangesHands(t *testing.T) {
	inClusterLedBy(t, "core-1", 4, 1, func(c *cluster) {
		before := c.term("core-2")
		close(c.free)
		c.kill("core-1")
		c.pass(6 * time.Second)
		assert.Equal(t, c.term("core-2"), before.Next(c.at(c.leaseHolder()).self.Identity))
		assert.DeepEqual(t, c.voterNames("core-2"), []string{"core-2", "core-3", "core-4"})
	})
}
