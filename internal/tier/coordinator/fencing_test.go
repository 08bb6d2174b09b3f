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

// failpointHook decides whether a process stops at a failpoint. A test may replace the decision at any time.
type failpointHook struct {
	mu   sync.Mutex
	stop func(failpoint.Point) bool
}

func (h *failpointHook) shouldStop(point failpoint.Point) bool {
	h.mu.Lock()
	stop := h.stop
	h.mu.Unlock()
	return stop != nil && stop(point)
}

func (h *failpointHook) set(stop func(failpoint.Point) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stop = stop
}

// frozenMachine is a machine whose placement controller blocks at a failpoint, and which is isolated meanwhile, until thaw.
type frozenMachine struct {
	cluster *cluster
	name    string
	frozen  chan struct{} // closed when the failpoint is reached
	resume  chan struct{} // closed by thaw
}

// freezeAt makes a machine freeze when it reaches a failpoint for the first time.
func (c *cluster) freezeAt(name string, point failpoint.Point) *frozenMachine {
	s := &frozenMachine{cluster: c, name: name, frozen: make(chan struct{}), resume: make(chan struct{})}
	once := &sync.Once{}
	c.process(name).failpoints.set(func(passed failpoint.Point) bool {
		if passed == point {
			once.Do(func() {
				c.isolate(name, true)
				close(s.frozen)
				<-s.resume
			})
		}
		return false
	})
	return s
}

// awaitFrozen lets simulated time pass until the machine is frozen. The test fails if that takes longer than the timeout.
func (s *frozenMachine) awaitFrozen(timeout time.Duration) {
	s.cluster.t.Helper()
	select {
	case <-s.frozen:
	case <-time.After(timeout):
		s.cluster.t.Fatalf("%s has not reached the failpoint", s.name)
	}
}

// isFrozen reports whether the failpoint has been reached.
func (s *frozenMachine) isFrozen() bool {
	select {
	case <-s.frozen:
		return true
	default:
		return false
	}
}

// thaw ends the isolation and lets the machine continue.
func (s *frozenMachine) thaw() {
	s.cluster.isolate(s.name, false)
	close(s.resume)
}

// term returns the newest placement term that a machine knows.
func (c *cluster) term(name string) placement.Term {
	return placement.TermOf(c.process(name).state.Control())
}

// leaseHolder returns the machine that holds the placement lease. It waits up to 10 s of simulated time for one.
func (c *cluster) leaseHolder() string {
	c.t.Helper()
	for range 100 {
		for name := range c.machines {
			if p := c.process(name); p != nil && p.candidate.OwnsLease() {
				return name
			}
		}
		c.advance(100 * time.Millisecond)
	}
	c.t.Fatal("no machine holds the lease")
	return ""
}

// candidateTask returns the function that runs a machine's lease candidate. Unless the machine is the sole candidate, the
// function first waits until openCandidacy is closed.
func (c *cluster) candidateTask(name string, candidate *lease.Candidate) func(context.Context) {
	leader, free := c.soleCandidate, c.openCandidacy
	return func(ctx context.Context) {
		if leader != "" && leader != name {
			select {
			case <-free:
			case <-ctx.Done():
			}
		}
		candidate.Run(ctx)
	}
}

// withLeaseHolder runs a test in which only one machine may hold the lease until the test closes openCandidacy.
func withLeaseHolder(t *testing.T, leader string, count, tolerance int, test func(c *cluster)) {
	t.Helper()
	withCluster(t, 0, tolerance, func(c *cluster) {
		c.soleCandidate, c.openCandidacy = leader, make(chan struct{})
		for i := range count {
			c.start(fmt.Sprintf("core-%d", i+1), true)
		}
		c.advance(2 * time.Second)
		assert.Equal(t, c.leaseHolder(), leader)
		assert.Equal(t, c.process("core-1").putConfiguration(0, configurationOf(1, "a")), http.StatusOK)
		c.advance(200 * time.Millisecond)
		test(c)
	})
}

// A lease holder decides to replace an unreachable voter and is frozen. When it resumes, the voter is reachable again and must
// not be replaced.
func TestFrozenLeaseHolderDoesNotReplaceReturnedVoter(t *testing.T) {
	for _, point := range []failpoint.Point{failpoint.PlacementDecided, failpoint.PrepareDone, failpoint.AcceptSending} {
		withLeaseHolder(t, "core-4", 4, 1, func(c *cluster) {
			c.isolate("core-2", true)
			c.advance(500 * time.Millisecond)
			frozen := c.freezeAt("core-4", point)
			frozen.awaitFrozen(5 * time.Second)
			c.isolate("core-2", false)
			c.isolate("core-4", true)
			close(c.openCandidacy)
			c.advance(10 * time.Second)
			assert.Assert(t, c.leaseHolder() != "core-4")
			frozen.thaw()
			c.advance(5 * time.Second)
			assert.DeepEqual(t, c.voterNames("core-1"), []string{"core-1", "core-2", "core-3"})
		})
	}
}

// A lease holder decides to remove an unreachable turn store and is frozen. When it resumes, the turn store sends join requests
// again and must not be removed.
func TestFrozenLeaseHolderDoesNotRemoveReturnedTurnStore(t *testing.T) {
	for _, point := range []failpoint.Point{failpoint.PlacementDecided, failpoint.PrepareDone, failpoint.AcceptSending} {
		withLeaseHolder(t, "core-1", 3, 1, func(c *cluster) {
			stores := []*tierpb.Node{turnStoreNode(1), turnStoreNode(2), turnStoreNode(3), turnStoreNode(4)}
			c.runTurnStores(3*time.Second, "core-1", stores...)
			frozen := c.freezeAt("core-1", point)
			c.runTurnStores(4*time.Second, "core-1", stores[:3]...)
			frozen.awaitFrozen(time.Millisecond)
			close(c.openCandidacy)
			c.runTurnStores(10*time.Second, "core-2", stores...)
			assert.Assert(t, c.leaseHolder() != "core-1")
			frozen.thaw()
			c.runTurnStores(5*time.Second, "core-2", stores...)
			current, _ := c.turnStoreMembers("core-2")
			assert.Equal(t, len(current), 4)
			assert.Equal(t, c.process("core-2").state.Control().Stores.Epoch, uint64(1), "the members were changed in between")
		})
	}
}

// A lease holder decides on a change and is frozen until its lease has expired and it has acquired the lease again. The change
// belongs to the earlier acquisition and is rejected.
func TestChangeFromEarlierAcquisitionIsRejected(t *testing.T) {
	withLeaseHolder(t, "core-4", 4, 1, func(c *cluster) {
		before := c.term("core-1")
		c.isolate("core-2", true)
		frozen := c.freezeAt("core-4", failpoint.PlacementDecided)
		frozen.awaitFrozen(5 * time.Second)
		c.isolate("core-2", false)
		c.isolate("core-4", true)
		c.advance(5 * time.Second)
		c.isolate("core-4", false)
		c.advance(3 * time.Second)
		assert.Assert(t, c.process("core-4").candidate.OwnsLease(), "the lease was not acquired again")
		frozen.thaw()
		c.advance(5 * time.Second)
		assert.DeepEqual(t, c.voterNames("core-1"), []string{"core-1", "core-2", "core-3"})
		assert.Equal(t, c.term("core-1"), before.Next(c.process("core-4").self.Identity))
	})
}

// Another process raises the term while the lease is held, as can happen after a clock fault. The holder's next change is
// rejected. The change is made once the holder has acquired the lease again and raised the term.
func TestLeaseHolderWithOlderTermIsRejected(t *testing.T) {
	withLeaseHolder(t, "core-1", 3, 1, func(c *cluster) {
		other := c.process("core-2")
		chosen, err := other.register.Change(context.Background(), func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
			placement.TermOf(current).Next(other.self.Identity).SetIn(current)
			return current, nil
		})
		assert.NilError(t, err)
		acquisition := c.process("core-1").candidate.Acquisition()
		c.runTurnStores(2*time.Second, "core-1", turnStoreNode(1), turnStoreNode(2), turnStoreNode(3))
		c.runTurnStores(3*time.Second, "core-1", turnStoreNode(1), turnStoreNode(2), turnStoreNode(3))
		current, _ := c.turnStoreMembers("core-2")
		assert.DeepEqual(t, current, []string{"store-1", "store-2", "store-3"})
		assert.Assert(t, c.process("core-1").candidate.Acquisition() > acquisition)
		assert.Equal(t, c.term("core-2"), placement.TermOf(chosen).Next(c.process("core-1").self.Identity))
	})
}

// A lease holder that stalls between taking a view and sending the change, for less than the TTL of its lease, decides again on
// a new view.
func TestChangeFromStaleViewIsRejected(t *testing.T) {
	withLeaseHolder(t, "core-1", 3, 1, func(c *cluster) {
		p, once, decisions := c.process("core-1"), &sync.Once{}, 0
		acquisition := p.candidate.Acquisition()
		p.failpoints.set(func(passed failpoint.Point) bool {
			if passed == failpoint.PlacementDecided {
				decisions++
				once.Do(func() { c.machines["core-1"].advanceClock(placement.MaxViewAge + time.Millisecond) })
			}
			return false
		})
		c.runTurnStores(5*time.Second, "core-1", turnStoreNode(1), turnStoreNode(2), turnStoreNode(3))
		p.failpoints.set(nil)
		current, _ := c.turnStoreMembers("core-2")
		assert.DeepEqual(t, current, []string{"store-1", "store-2", "store-3"})
		assert.Equal(t, decisions, 2, "the first decision must be rejected and the second one accepted")
		assert.Equal(t, p.candidate.Acquisition(), acquisition, "the lease was lost")
	})
}

// A lease holder is frozen while it raises the term, and another one raises it meanwhile. The first one's term is not chosen
// when it resumes.
func TestLeaseHolderFrozenWhileRaisingTermIsSuperseded(t *testing.T) {
	for _, point := range []failpoint.Point{failpoint.PrepareSending, failpoint.PrepareDone, failpoint.AcceptSending, failpoint.AcceptDone} {
		withLeaseHolder(t, "core-1", 3, 1, func(c *cluster) {
			before := c.term("core-2")
			c.kill("core-1")
			c.start("core-1", false)
			frozen := c.freezeAt("core-1", point)
			frozen.awaitFrozen(10 * time.Second)
			close(c.openCandidacy)
			c.advance(8 * time.Second)
			holder := c.process(c.leaseHolder())
			newest := c.term(holder.self.Name)
			assert.Equal(t, newest.Holder, holder.self.Identity)
			assert.Assert(t, newest.Number > before.Number)
			frozen.thaw()
			c.advance(3 * time.Second)
			assert.Equal(t, c.term("core-2"), newest)
			assert.Equal(t, c.term("core-1"), newest)
		})
	}
}

// While the lease is held and no member changes, nothing more is written after the term was raised once.
func TestTermIsRaisedOncePerAcquisition(t *testing.T) {
	withLeaseHolder(t, "core-1", 3, 1, func(c *cluster) {
		term, version := c.term("core-2"), c.process("core-2").state.Control().Version
		assert.Equal(t, term, placement.Term{Number: 1, Holder: c.process("core-1").self.Identity})
		c.advance(30 * time.Second)
		assert.Equal(t, c.term("core-2"), term)
		assert.Equal(t, c.process("core-2").state.Control().Version, version)
	})
}

// After a change of the lease holder, the new holder raises the term and makes changes.
func TestNewLeaseHolderRaisesTerm(t *testing.T) {
	withLeaseHolder(t, "core-1", 4, 1, func(c *cluster) {
		before := c.term("core-2")
		close(c.openCandidacy)
		c.kill("core-1")
		c.advance(6 * time.Second)
		assert.Equal(t, c.term("core-2"), before.Next(c.process(c.leaseHolder()).self.Identity))
		assert.DeepEqual(t, c.voterNames("core-2"), []string{"core-2", "core-3", "core-4"})
	})
}
