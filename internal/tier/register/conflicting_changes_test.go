package register

import (
	"context"
	"errors"
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

// send sends a configuration change as an operator does. It returns nil for an acknowledgement and errConflict for a
// rejection.
func (m *member) send(limit time.Duration, sent changelog.Change) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_, err := m.currentProposer().Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
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

// reconfiguration is a change of voters that runs concurrently with the configuration changes.
type reconfiguration string

const (
	noReconfiguration reconfiguration = "voters unchanged"
	jointBefore       reconfiguration = "voters joint before the first change"
	jointBetween      reconfiguration = "voters joint between the changes"
	completeBetween   reconfiguration = "voters replaced between the changes"
)

// competition is one scenario in which two changes compete that are based on the same generation.
type competition struct {
	reached         int  // bit mask of the members that the accepts of the first change reach before it times out
	unreachable     int  // index of the voter that the second operator's coordinator cannot reach; 3 for none
	identical       bool // both operators send the same change
	lateAccepts     bool // the first change's accepts are retried at all members while the second one is in flight
	diskLost        bool // a member that the accepts reached loses its disk after the reply to the second operator
	reconfiguration reconfiguration
}

func (r competition) String() string {
	return fmt.Sprintf("accepts %04b, unreachable %d, identical %v, late %v, disk lost %v, %s",
		r.reached, r.unreachable, r.identical, r.lateAccepts, r.diskLost, r.reconfiguration)
}

// Outcomes of a competition.
const (
	firstCommitted     = "first committed"
	secondCommitted    = "second committed"
	identicalCommitted = "both committed, identical"
)

// TestAbandonedAcceptsCompeteWithAnotherChange: a change times out after its accepts have reached some acceptors. A second
// change that is based on the same generation completes the first one or overwrites it, and both operators get consistent
// replies. The test tries all sets of acceptors that the accepts may reach.
func TestAbandonedAcceptsCompeteWithAnotherChange(t *testing.T) {
	outcomeCounts := map[string]int{}
	for _, reconfiguration := range []reconfiguration{noReconfiguration, jointBefore, jointBetween, completeBetween} {
		for number := range 16 * 4 * 2 * 2 * 2 {
			r := competition{
				reached:         number % 16,
				unreachable:     number / 16 % 4,
				identical:       number/64%2 == 1,
				lateAccepts:     number/128%2 == 1,
				diskLost:        number/256 == 1,
				reconfiguration: reconfiguration,
			}
			if r.diskLost && (r.reached == 0 || r.lateAccepts) {
				continue
			}
			if r.reached&8 != 0 && reconfiguration != jointBefore { // the fourth member is a voter only in jointBefore
				continue
			}
			if testing.Short() && number%3 != 0 {
				continue
			}
			synctest.Test(t, func(t *testing.T) { outcomeCounts[r.run(t)]++ })
			if t.Failed() {
				t.Fatalf("%s", r)
			}
		}
	}
	t.Logf("%v", outcomeCounts)
	for _, expected := range []string{firstCommitted, secondCommitted, identicalCommitted} {
		assert.Assert(t, outcomeCounts[expected] > 0, "no case had the outcome: %s", expected)
	}
}

// run runs the scenario and returns its outcome.
func (r competition) run(t *testing.T) string {
	t.Helper()
	c := newCluster(t, 1, 3, 5, reliableLinks)
	abandoning, competing := c.members[4], c.members[0]
	first := changelog.NewChange(0, 7, []byte("one"))
	second := changelog.NewChange(0, 7, []byte("two"))
	if r.identical {
		second = first
	}
	if r.reconfiguration == jointBefore {
		r.reconfigure(c)
	}
	r.sendAndAbandon(c, abandoning, first)
	if r.reconfiguration == jointBetween || r.reconfiguration == completeBetween {
		r.reconfigure(c)
	}
	if r.unreachable < 3 && c.members[r.unreachable] != competing {
		partition(c, []*member{competing}, []*member{c.members[r.unreachable]})
	}
	secondResult := competing.send(time.Second, second)
	if r.diskLost {
		c.members[bits.TrailingZeros(uint(r.reached))].machine.Wipe()
	}
	c.network.Heal()
	<-time.After(3 * time.Second)
	c.restartAll()
	return r.verifyRetries(t, c, first, second, secondResult)
}

// reconfigure lets a coordinator change the voters. Unless completeBetween is tested, it stops between the two steps.
func (r competition) reconfigure(c *cluster) {
	manager := c.members[2]
	if r.reconfiguration != completeBetween {
		manager.stopWhen(func(point failpoint.Point) bool { return point == failpoint.VotersJoint })
	}
	_ = c.changeVoters(manager)
	manager.stopWhen(nil)
}

// sendAndAbandon sends a change whose accepts reach only some members and whose replies are lost.
func (r competition) sendAndAbandon(c *cluster, abandoning *member, sent changelog.Change) {
	abandoning.stopWhen(func(point failpoint.Point) bool {
		for i, m := range c.members[:4] {
			if point == failpoint.AcceptSending {
				c.network.Partition(abandoning.machine.Address(), m.machine.Address(), r.reached&(1<<i) == 0)
				c.network.Partition(m.machine.Address(), abandoning.machine.Address(), true)
			}
		}
		return false
	})
	err := abandoning.send(300*time.Millisecond, sent)
	assert.ErrorIs(c.t, err, ErrUncertain)
	abandoning.stopWhen(nil)
	if r.lateAccepts {
		c.network.Heal() // calls that timed out are retried
	}
}

// verifyRetries lets both operators retry their changes at every coordinator, checks that the replies agree, and returns
// the outcome.
func (r competition) verifyRetries(t *testing.T, c *cluster, first, second changelog.Change, secondResult error) string {
	t.Helper()
	outcomes := map[string]bool{}
	for attempt := range 2 {
		for i, m := range c.members {
			other, one := m.send(20*time.Second, second), m.send(20*time.Second, first)
			for _, err := range []error{one, other} {
				assert.Assert(t, err == nil || errors.Is(err, errConflict), "coordinator %d: unexpected error %v", i, err)
			}
			assert.Assert(t, r.identical || (one == nil) != (other == nil), "coordinator %d: replies %v and %v to conflicting changes", i, one, other)
			outcomes[fmt.Sprintf("%v/%v", one, other)] = true
			if secondResult == nil || errors.Is(secondResult, errConflict) {
				assert.Equal(t, other, secondResult, "the second operator got a different reply before, attempt %d", attempt)
			}
		}
	}
	assert.Equal(t, len(outcomes), 1, "coordinators disagree: %v", outcomes)
	switch {
	case r.identical:
		assert.Assert(t, outcomes["<nil>/<nil>"], "an identical change must be acknowledged like the first")
		return identicalCommitted
	case outcomes["<nil>/"+errConflict.Error()]:
		return firstCommitted
	}
	return secondCommitted
}
