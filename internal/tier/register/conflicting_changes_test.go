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

// send sends a configuration change as an operator does; nil is an acknowledgement and errConflict a rejection.
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

// competition is one way in which two changes to the same generation compete.
type competition struct {
	reached         int // bit mask of the members that the accepts of the first change reach before it is abandoned
	unreachable     int // voter that the second operator's coordinator cannot reach; 3 for none
	identical       bool
	lateAccepts     bool // the first change's accepts are retried at all members while the second one is in flight
	diskLost        bool // one of the members reached loses its disk after the second operator was answered
	reconfiguration reconfiguration
}

func (r competition) String() string {
	return fmt.Sprintf("accepts %04b, unreachable %d, identical %v, late %v, disk lost %v, %s",
		r.reached, r.unreachable, r.identical, r.lateAccepts, r.diskLost, r.reconfiguration)
}

// Endings of a competition.
const (
	firstCommitted     = "first committed"
	secondCommitted    = "second committed"
	identicalCommitted = "both committed, identical"
)

// TestAbandonedAcceptsCompeteWithAnotherChange tries all ways in which the accepts of a change that timed out reach
// some acceptors, and a second change to the same generation completes or overwrites it.
func TestAbandonedAcceptsCompeteWithAnotherChange(t *testing.T) {
	endings := map[string]int{}
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
			if r.reached&8 != 0 && reconfiguration != jointBefore { // only then is the fourth member a voter
				continue
			}
			if testing.Short() && number%3 != 0 {
				continue
			}
			synctest.Test(t, func(t *testing.T) { endings[r.run(t)]++ })
			if t.Failed() {
				t.Fatalf("%s", r)
			}
		}
	}
	t.Logf("%v", endings)
	for _, end := range []string{firstCommitted, secondCommitted, identicalCommitted} {
		assert.Assert(t, endings[end] > 0, "no case ended with: %s", end)
	}
}

// run plays one competition and returns how it ended.
func (r competition) run(t *testing.T) string {
	t.Helper()
	c := newCluster(t, 1, 3, 5, calm)
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
	c.revive()
	return r.verifyRetries(t, c, first, second, secondResult)
}

// reconfigure has a coordinator change the voters, or stop between the two steps.
func (r competition) reconfigure(c *cluster) {
	manager := c.members[2]
	if r.reconfiguration != completeBetween {
		manager.stopWhen(func(point failpoint.Point) bool { return point == failpoint.VotersJoint })
	}
	_ = c.changeVoters(manager)
	manager.stopWhen(nil)
}

// sendAndAbandon sends a change whose accepts reach some members only and whose replies are lost.
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

// verifyRetries has both operators retry their changes at every coordinator, and returns how the competition ended.
func (r competition) verifyRetries(t *testing.T, c *cluster, first, second changelog.Change, secondResult error) string {
	t.Helper()
	outcomes := map[string]bool{}
	for attempt := range 2 {
		for i, m := range c.members {
			other, one := m.send(20*time.Second, second), m.send(20*time.Second, first)
			for _, err := range []error{one, other} {
				assert.Assert(t, err == nil || errors.Is(err, errConflict), "at %d: %v", i, err)
			}
			assert.Assert(t, r.identical || (one == nil) != (other == nil), "at %d: %v and %v", i, one, other)
			outcomes[fmt.Sprintf("%v/%v", one, other)] = true
			if secondResult == nil || errors.Is(secondResult, errConflict) {
				assert.Equal(t, other, secondResult, "the second operator was answered differently before, attempt %d", attempt)
			}
		}
	}
	assert.Equal(t, len(outcomes), 1, "coordinators disagree: %v", outcomes)
	switch {
	case r.identical:
		assert.Assert(t, outcomes["<nil>/<nil>"], "identical changes are one")
		return identicalCommitted
	case outcomes["<nil>/"+errConflict.Error()]:
		return firstCommitted
	}
	return secondCommitted
}
