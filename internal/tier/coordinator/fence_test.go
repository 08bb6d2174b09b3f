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

// stops decides for one process what happens at fault points.
type stops struct {
	mu   sync.Mutex
	stop func(failpoint.Point) bool
}

func (s *stops) pass(point failpoint.Point) bool {
	s.mu.Lock()
	stop := s.stop
	s.mu.Unlock()
	return stop != nil && stop(point)
}

func (s *stops) set(stop func(failpoint.Point) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = stop
}

// sleeper is a machine whose placement is held up at a point, cut off from all others, until it is woken.
type sleeper struct {
	cluster *cluster
	name    string
	asleep  chan struct{} // closed at the point
	wake    chan struct{}
}

// freezeAt holds up what passes a point first at a machine.
func (c *cluster) freezeAt(name string, point failpoint.Point) *sleeper {
	s := &sleeper{cluster: c, name: name, asleep: make(chan struct{}), wake: make(chan struct{})}
	once := &sync.Once{}
	c.at(name).points.set(func(passed failpoint.Point) bool {
		if passed == point {
			once.Do(func() {
				c.isolate(name, true)
				close(s.asleep)
				<-s.wake
			})
		}
		return false
	})
	return s
}

// awaitSleep lets time go by until the point is reached.
func (s *sleeper) awaitSleep(longest time.Duration) {
	s.cluster.t.Helper()
	select {
	case <-s.asleep:
	case <-time.After(longest):
		s.cluster.t.Fatalf("%s has not come to the point", s.name)
	}
}

// sleeps says whether the point has been reached.
func (s *sleeper) sleeps() bool {
	select {
	case <-s.asleep:
		return true
	default:
		return false
	}
}

func (s *sleeper) thaw() {
	s.cluster.isolate(s.name, false)
	close(s.wake)
}

// term is the newest term of placement that a machine knows.
func (c *cluster) term(name string) placement.Term {
	return placement.TermOf(c.at(name).state.Control())
}

// holder is the machine that holds the lease of placement.
func (c *cluster) holder() string {
	c.t.Helper()
	for range 100 {
		for name := range c.machines {
			if p := c.at(name); p != nil && p.lease.OwnsLease() {
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
	inCluster(t, 0, tolerance, func(c *cluster) {
		c.leader, c.free = leader, make(chan struct{})
		for i := range count {
			c.start(fmt.Sprintf("core-%d", i+1), true)
		}
		c.pass(2 * time.Second)
		assert.Equal(t, c.holder(), leader)
		assert.Equal(t, c.at("core-1").configured(0, configurationOf(1, "a")), http.StatusOK)
		c.pass(200 * time.Millisecond)
		test(c)
	})
}

// A holder that slept after it had decided to replace a silent voter finds that voter back when it wakes.
func TestFrozenHolderDoesNotReplaceAVoterThatCameBack(t *testing.T) {
	for _, point := range []failpoint.Point{failpoint.PlacementDecided, failpoint.PrepareDone, failpoint.AcceptSending} {
		inClusterLedBy(t, "core-4", 4, 1, func(c *cluster) {
			c.isolate("core-2", true)
			c.pass(500 * time.Millisecond)
			frozen := c.freezeAt("core-4", point)
			frozen.awaitSleep(5 * time.Second)
			c.isolate("core-2", false)
			c.isolate("core-4", true)
			close(c.free)
			c.pass(10 * time.Second)
			assert.Assert(t, c.holder() != "core-4")
			frozen.thaw()
			c.pass(5 * time.Second)
			assert.DeepEqual(t, c.voterNames("core-1"), []string{"core-1", "core-2", "core-3"})
		})
	}
}

// A holder that slept after it had decided to abandon a silent turn store finds it calling when it wakes.
func TestFrozenHolderDoesNotAbandonATurnStoreThatCameBack(t *testing.T) {
	for _, point := range []failpoint.Point{failpoint.PlacementDecided, failpoint.PrepareDone, failpoint.AcceptSending} {
		inClusterLedBy(t, "core-1", 3, 1, func(c *cluster) {
			stores := []*tierpb.Node{storeNode(1), storeNode(2), storeNode(3), storeNode(4)}
			c.storesRun(3*time.Second, "core-1", stores...)
			frozen := c.freezeAt("core-1", point)
			c.storesRun(4*time.Second, "core-1", stores[:3]...)
			frozen.awaitSleep(time.Millisecond)
			close(c.free)
			c.storesRun(10*time.Second, "core-2", stores...)
			assert.Assert(t, c.holder() != "core-1")
			frozen.thaw()
			c.storesRun(5*time.Second, "core-2", stores...)
			current, _ := c.members("core-2")
			assert.Equal(t, len(current), 4)
			assert.Equal(t, c.at("core-2").state.Control().Stores.Epoch, uint64(1), "nobody was taken out in between")
		})
	}
}

// A holder sleeps until its lease has lapsed, and acquires it anew before what it had decided goes on.
func TestChangeOfATenureThatEndedIsRefusedUnderTheNextOne(t *testing.T) {
	inClusterLedBy(t, "core-4", 4, 1, func(c *cluster) {
		before := c.term("core-1")
		c.isolate("core-2", true)
		frozen := c.freezeAt("core-4", failpoint.PlacementDecided)
		frozen.awaitSleep(5 * time.Second)
		c.isolate("core-2", false)
		c.isolate("core-4", true)
		c.pass(5 * time.Second)
		c.isolate("core-4", false)
		c.pass(3 * time.Second)
		assert.Assert(t, c.at("core-4").lease.OwnsLease(), "acquired anew")
		frozen.thaw()
		c.pass(5 * time.Second)
		assert.DeepEqual(t, c.voterNames("core-1"), []string{"core-1", "core-2", "core-3"})
		assert.Equal(t, c.term("core-1"), before.Next(c.at("core-4").self.Identity))
	})
}

// Another process raises the term while the lease is held, as it may where clocks fail: the holder's next change is
// refused, and made after it has acquired the lease anew.
func TestHolderWithAnOlderTermIsRefused(t *testing.T) {
	inClusterLedBy(t, "core-1", 3, 1, func(c *cluster) {
		stranger := c.at("core-2")
		chosen, err := stranger.register.Change(context.Background(), func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
			placement.TermOf(current).Next(stranger.self.Identity).Stamp(current)
			return current, nil
		})
		assert.NilError(t, err)
		tenure := c.at("core-1").lease.Acquisition()
		c.storesRun(2*time.Second, "core-1", storeNode(1), storeNode(2), storeNode(3))
		c.storesRun(3*time.Second, "core-1", storeNode(1), storeNode(2), storeNode(3))
		current, _ := c.members("core-2")
		assert.DeepEqual(t, current, []string{"store-1", "store-2", "store-3"})
		assert.Assert(t, c.at("core-1").lease.Acquisition() > tenure)
		assert.Equal(t, c.term("core-2"), placement.TermOf(chosen).Next(c.at("core-1").self.Identity))
	})
}

// A holder that is held up between its look and the accepts, for less than its lease lasts, looks again.
func TestChangeFromAnOldViewIsRefused(t *testing.T) {
	inClusterLedBy(t, "core-1", 3, 1, func(c *cluster) {
		p, once, ages := c.at("core-1"), &sync.Once{}, 0
		tenure := p.lease.Acquisition()
		p.points.set(func(passed failpoint.Point) bool {
			if passed == failpoint.PlacementDecided {
				ages++
				once.Do(func() { c.machines["core-1"].sleepFor(placement.MaxViewAge + time.Millisecond) })
			}
			return false
		})
		c.storesRun(5*time.Second, "core-1", storeNode(1), storeNode(2), storeNode(3))
		p.points.set(nil)
		current, _ := c.members("core-2")
		assert.DeepEqual(t, current, []string{"store-1", "store-2", "store-3"})
		assert.Equal(t, ages, 2, "the first was refused")
		assert.Equal(t, p.lease.Acquisition(), tenure, "the lease was not lost")
	})
}

// A holder is frozen while it raises the term; another raises it meanwhile.
func TestHolderThatIsFrozenWhileItRaisesTheTermComesTooLate(t *testing.T) {
	for _, point := range []failpoint.Point{failpoint.PrepareSending, failpoint.PrepareDone, failpoint.AcceptSending, failpoint.AcceptDone} {
		inClusterLedBy(t, "core-1", 3, 1, func(c *cluster) {
			before := c.term("core-2")
			c.kill("core-1")
			c.start("core-1", false)
			frozen := c.freezeAt("core-1", point)
			frozen.awaitSleep(10 * time.Second)
			close(c.free)
			c.pass(8 * time.Second)
			holder := c.at(c.holder())
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
func TestTermIsRaisedOnceForATenure(t *testing.T) {
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
		assert.Equal(t, c.term("core-2"), before.Next(c.at(c.holder()).self.Identity))
		assert.DeepEqual(t, c.voterNames("core-2"), []string{"core-2", "core-3", "core-4"})
	})
}

func TestGapInListeningIsNoticed(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newListening(func() time.Time { return now })
	begun := now
	for range 10 {
		now = now.Add(longestGap)
		assert.Equal(t, l.since(), begun)
	}
	now = now.Add(longestGap + time.Millisecond)
	assert.Equal(t, l.since(), now, "it was frozen")
}
