package register

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
)

// fault is a kind of fault that is injected at a failpoint.
type fault struct {
	name string
	// inject injects the fault. The victim is the member that has passed the failpoint; its process is already killed.
	inject func(c *cluster, victim *member)
}

var faults = []fault{
	{"kill", func(*cluster, *member) {}},
	{"power loss", func(_ *cluster, victim *member) { victim.machine.PowerLoss() }},
	{"wipe", func(_ *cluster, victim *member) { victim.machine.Wipe() }},
	{"kill of all", func(c *cluster, _ *member) {
		for _, m := range c.members {
			m.machine.Kill()
		}
	}},
	{"power loss of all", func(c *cluster, _ *member) {
		for _, m := range c.members {
			m.machine.PowerLoss()
		}
	}},
	{"power loss of all and a wipe", func(c *cluster, victim *member) {
		for _, m := range c.members {
			m.machine.PowerLoss()
		}
		victim.machine.Wipe()
	}},
	{"power loss of all and a wipe of another", func(c *cluster, victim *member) {
		for _, m := range c.members {
			m.machine.PowerLoss()
		}
		c.otherSeed(victim).machine.Wipe()
	}},
}

// otherSeed returns a seed that is not the given member.
func (c *cluster) otherSeed(than *member) *member {
	if c.members[1] == than {
		return c.members[2]
	}
	return c.members[1]
}

// TestFaultAtEveryFailpoint stops a process, that of the proposer or of another voter, at each failpoint with each kind of
// fault. An acknowledged change must not be lost, one reported as not executed must not take effect, and a retry of the
// same change must be acknowledged.
func TestFaultAtEveryFailpoint(t *testing.T) {
	for point := failpoint.PrepareSending; point <= failpoint.LastRegisterPoint; point++ {
		for _, fault := range faults {
			for victim := range 2 {
				t.Run(fmt.Sprintf("%d %s at member %d", point, fault.name, victim), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testFault(t, point, fault, victim) })
				})
			}
		}
	}
}

func testFault(t *testing.T, point failpoint.Point, fault fault, victim int) {
	t.Helper()
	c := newCluster(t, uint64(point), 3, 4, reliableLinks)
	c.members[0].mustPut(0, 1)
	<-time.After(time.Second) // accepts in flight have arrived
	happened := c.injectAt(c.members[victim], point, fault)
	_, err := c.members[0].put(2*time.Second, 1, 2)
	if voters := c.changeVoters(c.members[0]); voters != nil {
		t.Logf("changing the voters: %v", voters)
	}
	c.members[victim].stopWhen(nil)
	c.restartAll()
	assert.Assert(t, happened() || err == nil)
	generation := c.members[3].mustRead().Configuration.Generation
	switch {
	case err == nil:
		assert.Equal(t, generation, uint64(2), "acknowledged, but lost")
	case errors.Is(err, ErrUnavailable):
		assert.Equal(t, generation, uint64(1), "took effect, although reported as not executed")
	default:
		assert.ErrorIs(t, err, ErrUncertain)
	}
	c.members[3].mustPut(1, 2)
	c.leaveJoint(c.members[2])
	assert.Equal(t, c.members[1].mustRead().Configuration.Generation, uint64(2))
}

// injectAt injects a fault when a member passes a failpoint for the first time. The returned function reports whether that
// has happened.
func (c *cluster) injectAt(victim *member, point failpoint.Point, fault fault) (happened func() bool) {
	var mu sync.Mutex
	done := false
	victim.stopWhen(func(passed failpoint.Point) bool {
		mu.Lock()
		defer mu.Unlock()
		if passed != point || done {
			return false
		}
		done = true
		victim.machine.Kill()
		fault.inject(c, victim)
		return true
	})
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return done
	}
}
