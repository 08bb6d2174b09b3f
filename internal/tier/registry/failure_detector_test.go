package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const period = time.Second

// observe calls Observe once per period, each time with the next sequence number of one instance. It returns the states of
// the instances that timed out, and the time of the last call.
func observe(
	d *FailureDetector, from time.Time, inContact bool, sequences ...uint64,
) (timedOut []tierpb.InstanceState, until time.Time) {
	now := from
	for _, sequence := range sequences {
		now = now.Add(period)
		for _, updated := range d.Observe(now, inContact, []*tierpb.Instance{{Id: "i", Sequence: sequence}}) {
			timedOut = append(timedOut, updated.State)
		}
	}
	return timedOut, now
}

func TestStoreWithoutHeartbeatsIsSuspected(t *testing.T) {
	d := NewFailureDetector(period)
	timedOut, now := observe(d, time.Unix(0, 0), true, 1, 2, 3, 4, 5, 6)
	assert.Equal(t, len(timedOut), 0)
	timedOut, now = observe(d, now, true, 6, 6, 6)
	assert.Equal(t, len(timedOut), 0)
	timedOut, now = observe(d, now, true, 6)
	assert.DeepEqual(t, timedOut, []tierpb.InstanceState{tierpb.InstanceState_INSTANCE_SUSPECT})
	timedOut, _ = observe(d, now, true, 7)
	assert.Equal(t, len(timedOut), 0)
}

func TestStartingCoordinatorSuspectsNothing(t *testing.T) {
	timedOut, _ := observe(NewFailureDetector(period), time.Unix(0, 0), true, 1, 1, 1, 1, 1)
	assert.Equal(t, len(timedOut), 0)
}

func TestPartitionedCoordinatorSuspectsNothing(t *testing.T) {
	d := NewFailureDetector(period)
	timedOut, now := observe(d, time.Unix(0, 0), true, 1, 2, 3, 4, 5, 6, 7)
	assert.Equal(t, len(timedOut), 0)
	timedOut, now = observe(d, now, false, 7, 7, 7, 7, 7, 7, 7, 7)
	assert.Equal(t, len(timedOut), 0)
	timedOut, _ = observe(d, now, true, 7, 7)
	assert.Equal(t, len(timedOut), 0, "the coordinator must be in contact again for a while first")
}

func TestSuspectStoreExpires(t *testing.T) {
	d := NewFailureDetector(period)
	instance := &tierpb.Instance{Id: "i", State: tierpb.InstanceState_INSTANCE_SUSPECT, Sequence: 3}
	start := time.Unix(0, 0)
	d.Observe(start, true, []*tierpb.Instance{instance})
	timedOut := d.Observe(start.Add(ExpireAfter), true, []*tierpb.Instance{instance})
	assert.Equal(t, len(timedOut), 1)
	assert.Equal(t, timedOut[0].State, tierpb.InstanceState_INSTANCE_DEREGISTERED)
}
