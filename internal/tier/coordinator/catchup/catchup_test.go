package catchup

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// fakeCoordinator is the process around a Tracker: its known and accepted values and its quorum contact.
type fakeCoordinator struct {
	mu                      sync.Mutex
	known, accepted         *tierpb.ControlState
	quorumContact, starting bool
	reads                   int
	now                     time.Time
	log                     bytes.Buffer
}

func (f *fakeCoordinator) Starting() bool  { return f.starting }
func (f *fakeCoordinator) CheckReadiness() {}

func (f *fakeCoordinator) HasQuorumContact() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quorumContact
}

func (f *fakeCoordinator) control() *tierpb.ControlState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

func (f *fakeCoordinator) Read(context.Context) (*tierpb.ControlState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	return f.known, nil
}

// set runs a change of the fields under the mutex.
func (f *fakeCoordinator) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeCoordinator) newTracker() *Tracker {
	return New(Options{
		Identity: 1, Control: f.control, Accepted: func() *tierpb.ControlState { return f.accepted },
		ReceivedBytes: func() uint64 { return 0 }, Register: f, Membership: f, Log: hclog.New(&hclog.LoggerOptions{Output: &f.log}),
		Now: func() time.Time { return f.now },
	})
}

func (f *fakeCoordinator) caughtUpLines() int { return strings.Count(f.log.String(), "caught up") }

// stateOf returns a value of the given version, with identity 1 as the only voter.
func stateOf(version uint64) *tierpb.ControlState {
	return &tierpb.ControlState{Version: version, Voters: []*tierpb.VoterSet{{Nodes: []*tierpb.Node{{Identity: 1}}}}}
}

func TestLaggingAcceptorIsRepairedWithExponentialBackoff(t *testing.T) {
	f := &fakeCoordinator{known: stateOf(5), accepted: stateOf(3), quorumContact: true, now: time.Unix(1000, 0)}
	tracker := f.newTracker()
	tracker.Step(t.Context())
	assert.Equal(t, f.reads, 0, "the acceptor was repaired before initialRepairBackoff")
	backoff := initialRepairBackoff
	for repairs := 1; repairs <= 10; repairs++ {
		f.now = f.now.Add(backoff - 1)
		tracker.Step(t.Context())
		assert.Equal(t, f.reads, repairs-1)
		f.now = f.now.Add(1)
		tracker.Step(t.Context())
		assert.Equal(t, f.reads, repairs)
		backoff = min(2*backoff, maxRepairBackoff)
	}
	assert.Equal(t, backoff, maxRepairBackoff)
	assert.Equal(t, f.caughtUpLines(), 0)
	f.accepted = f.known
	tracker.Step(t.Context())
	assert.Equal(t, f.caughtUpLines(), 1)
}

func TestCaughtUpIsLoggedOncePerLossOfContact(t *testing.T) {
	f := &fakeCoordinator{known: stateOf(5), accepted: stateOf(5), now: time.Unix(1000, 0)}
	tracker := f.newTracker()
	for losses := range 3 {
		f.quorumContact = false
		tracker.Step(t.Context())
		assert.Equal(t, f.caughtUpLines(), losses)
		f.quorumContact = true
		tracker.Step(t.Context())
		tracker.Step(t.Context())
		assert.Equal(t, f.caughtUpLines(), losses+1)
	}
}

func TestRegisterIsReadAfterTwoStepsWithTheAcceptorAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeCoordinator{known: stateOf(5), accepted: stateOf(6), quorumContact: true, now: time.Now()}
		tracker := f.newTracker()
		tracker.Step(t.Context())
		assert.Equal(t, f.reads, 0)
		tracker.Step(t.Context())
		assert.Equal(t, f.reads, 1)
		f.known = f.accepted
		tracker.Step(t.Context())
		assert.Equal(t, f.reads, 1)
	})
}

func TestStartupReadWaitsForQuorumContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeCoordinator{accepted: stateOf(6), starting: true, now: time.Now()}
		tracker, done := f.newTracker(), make(chan struct{})
		go func() {
			tracker.RunAtStart(t.Context())
			close(done)
		}()
		sleep := func() int {
			time.Sleep(2 * startupCheckInterval)
			synctest.Wait()
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.reads
		}
		assert.Equal(t, sleep(), 0)
		f.set(func() { f.quorumContact = true })
		assert.Assert(t, sleep() > 0)
		f.set(func() { f.known = f.accepted })
		sleep()
		<-done
	})
}
