package register

import (
	"context"
	"fmt"
	"math/bits"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/changelog"
	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// send sends an order as an operator does; nil is an acknowledgement and errConflict a refusal.
func (m *member) send(limit time.Duration, sent changelog.Change) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_, err := m.changer().Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		switch changelog.Classify(current, nil, sent) {
		case changelog.Applicable:
			current.Configuration = &tierpb.Configuration{Generation: sent.Generation}
			changelog.Append(current, sent)
			return current, nil
		case changelog.Committed:
			return current, nil
		}
		return nil, errConflict
	})
	return err
}

// change of voters that crosses the orders.
type crossing string

const (
	noCrossing   crossing = "voters stay"
	halfBefore   crossing = "voters joint before the first order"
	halfBetween  crossing = "voters joint between the orders"
	wholeBetween crossing = "voters replaced between the orders"
)

// rivalry is one way in which two orders under one number meet.
type rivalry struct {
	reached  int // bits: the members that the accepts of the first order reach before it is given up
	apart    int // voter that the second operator's coordinator does not reach; 3 for none
	equal    bool
	late     bool // the first order's accepts go on to all members while the second one is under way
	lost     bool // one of the members reached loses its disk after the second operator was told
	crossing crossing
}

func (r rivalry) String() string {
	return fmt.Sprintf("accepts %04b, apart %d, equal %v, late %v, lost %v, %s",
		r.reached, r.apart, r.equal, r.late, r.lost, r.crossing)
}

// TestOrderThatIsGivenUpInItsAcceptsMeetsAnother plays all ways in which the accepts of an order that ran out of time
// reach some acceptors, and a second order under the same number completes or overwrites it.
func TestOrderThatIsGivenUpInItsAcceptsMeetsAnother(t *testing.T) {
	ends := map[string]int{}
	for _, crossing := range []crossing{noCrossing, halfBefore, halfBetween, wholeBetween} {
		for way := range 16 * 4 * 2 * 2 * 2 {
			r := rivalry{
				reached: way % 16, apart: way / 16 % 4, equal: way/64%2 == 1, late: way/128%2 == 1, lost: way/256 == 1,
				crossing: crossing,
			}
			if r.lost && (r.reached == 0 || r.late) || r.reached&8 != 0 && crossing != halfBefore { // only then is the fourth member a voter
				continue
			}
			if testing.Short() && way%3 != 0 {
				continue
			}
			synctest.Test(t, func(t *testing.T) { ends[r.play(t)]++ })
			if t.Failed() {
				t.Fatalf("%s", r)
			}
		}
	}
	t.Logf("%v", ends)
	for _, end := range []string{"first taken", "second taken", "both taken, equal"} {
		assert.Assert(t, ends[end] > 0, "no way led to: %s", end)
	}
}

func (r rivalry) play(t *testing.T) string {
	c := newCluster(t, 1, 3, 5, calm)
	loser, rival := c.members[4], c.members[0]
	first := changelog.NewChange(0, 7, []byte("one"))
	second := changelog.NewChange(0, 7, []byte("two"))
	if r.equal {
		second = first
	}
	if r.crossing == halfBefore {
		r.change(c)
	}
	r.lose(c, loser, first)
	if r.crossing == halfBetween || r.crossing == wholeBetween {
		r.change(c)
	}
	if r.apart < 3 && c.members[r.apart] != rival {
		separate(c, []*member{rival}, []*member{c.members[r.apart]})
	}
	told := rival.send(time.Second, second)
	if r.lost {
		c.members[bits.TrailingZeros(uint(r.reached))].machine.Wipe()
	}
	c.network.Heal()
	<-time.After(3 * time.Second)
	c.revive()
	return r.judge(t, c, first, second, told)
}

// change has a coordinator change the voters, or stop in the middle of that.
func (r rivalry) change(c *cluster) {
	manager := c.members[2]
	if r.crossing != wholeBetween {
		manager.stopWhen(func(point failpoint.Point) bool { return point == failpoint.VotersJoint })
	}
	_ = c.changeVoters(manager)
	manager.stopWhen(nil)
}

// lose sends an order whose accepts reach some members only and whose answers are lost.
func (r rivalry) lose(c *cluster, loser *member, sent changelog.Change) {
	loser.stopWhen(func(point failpoint.Point) bool {
		for i, m := range c.members[:4] {
			if point == failpoint.AcceptSending {
				c.network.Partition(loser.machine.Address(), m.machine.Address(), r.reached&(1<<i) == 0)
				c.network.Partition(m.machine.Address(), loser.machine.Address(), true)
			}
		}
		return false
	})
	err := loser.send(300*time.Millisecond, sent)
	assert.ErrorIs(c.t, err, ErrUncertain)
	loser.stopWhen(nil)
	if r.late {
		c.network.Heal() // calls that found no answer are made again
	}
}

// judge has both operators send their orders again, to every coordinator.
func (r rivalry) judge(t *testing.T, c *cluster, first, second changelog.Change, told error) string {
	taken := map[string]bool{}
	for round := range 2 {
		for i, m := range c.members {
			other, one := m.send(20*time.Second, second), m.send(20*time.Second, first)
			for _, err := range []error{one, other} {
				assert.Assert(t, err == nil || err == errConflict, "at %d: %v", i, err)
			}
			assert.Assert(t, r.equal || (one == nil) != (other == nil), "at %d: %v and %v", i, one, other)
			taken[fmt.Sprintf("%v/%v", one, other)] = true
			if told == nil || told == errConflict {
				assert.Equal(t, other, told, "the second operator was told otherwise before, round %d", round)
			}
		}
	}
	assert.Equal(t, len(taken), 1, "coordinators differ: %v", taken)
	switch {
	case r.equal:
		assert.Assert(t, taken["<nil>/<nil>"], "equal orders are one")
		return "both taken, equal"
	case taken["<nil>/"+errConflict.Error()]:
		return "first taken"
	}
	return "second taken"
}
