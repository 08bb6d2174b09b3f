package register

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// strike is what happens at a fault point.
type strike struct {
	name string
	// hit is called with the member that passed the point, which has been killed already.
	hit func(c *cluster, victim *member)
}

var strikes = []strike{
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
		c.other(victim).machine.Wipe()
	}},
}

// other is a seed that is not the member.
func (c *cluster) other(than *member) *member {
	if c.members[1] == than {
		return c.members[2]
	}
	return c.members[1]
}

// TestEveryPointOfAChange stops a process at each point in turn, the proposer's and a voter's, with each kind of
// strike. What was acknowledged before stays, what was acknowledged then stays too, and the same order sent again
// is acknowledged.
func TestEveryPointOfAChange(t *testing.T) {
	for point := failpoint.PrepareSending; point <= failpoint.LastPoint; point++ {
		for _, strike := range strikes {
			for victim := range 2 {
				t.Run(fmt.Sprintf("%d %s at member %d", point, strike.name, victim), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { strikeAt(t, point, strike, victim) })
				})
			}
		}
	}
}

func strikeAt(t *testing.T, point failpoint.Point, strike strike, victim int) {
	c := newCluster(t, uint64(point), 3, 4, calm)
	c.members[0].mustPut(0, 1)
	<-time.After(time.Second) // late accepts are over
	struck := c.arm(c.members[victim], point, strike)
	_, err := c.members[0].put(2*time.Second, 1, 2)
	if voters := c.changeVoters(c.members[0]); voters != nil {
		t.Logf("change of voters: %v", voters)
	}
	c.members[victim].stopWhen(nil)
	c.revive()
	assert.Assert(t, struck() || err == nil)
	generation := c.members[3].mustRead().Configuration.Generation
	switch {
	case err == nil:
		assert.Equal(t, generation, uint64(2), "acknowledged and lost")
	case errors.Is(err, ErrUnavailable):
		assert.Equal(t, generation, uint64(1), "in force though it was said not to be")
	default:
		assert.ErrorIs(t, err, ErrUncertain)
	}
	c.members[3].mustPut(1, 2)
	c.finish(c.members[2])
	assert.Equal(t, c.members[1].mustRead().Configuration.Generation, uint64(2))
}

// arm lets a strike happen when a member passes a point for the first time; the function returned says whether it
// has.
func (c *cluster) arm(victim *member, point failpoint.Point, strike strike) (struck func() bool) {
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
		strike.hit(c, victim)
		return true
	})
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return done
	}
}

// changeVoters puts the fourth member in the place of the third voter.
func (c *cluster) changeVoters(m *member) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := ChangeVoters(ctx, m.changer(), func(current *tierpb.ControlState) []*tierpb.Node {
		set := current.Voters[0].Nodes
		return []*tierpb.Node{set[0], set[1], c.members[3].node()}
	})
	return err
}

// finish ends a change of voters that was left halfway.
func (c *cluster) finish(m *member) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	state, err := LeaveJoint(ctx, m.changer())
	assert.NilError(c.t, err)
	assert.Equal(c.t, len(state.Voters), 1)
}

// revive starts all processes again and brings what is known to those with empty disks.
func (c *cluster) revive() {
	for _, m := range c.members {
		m.machine.Thaw()
		for !m.machine.Running() {
			m.start(false)
		}
	}
	<-time.After(5 * time.Second)
	c.share()
}
