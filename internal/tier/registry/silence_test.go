package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const period = time.Second

// look takes a look each period, at an instance with these sequences, and returns the states that were marked.
func look(s *FailureDetector, from time.Time, inTouch bool, sequences ...uint64) (marked []tierpb.InstanceState, until time.Time) {
	now := from
	for _, sequence := range sequences {
		now = now.Add(period)
		for _, mark := range s.Observe(now, inTouch, []*tierpb.Instance{{Id: "i", Sequence: sequence}}) {
			marked = append(marked, mark.State)
		}
	}
	return marked, now
}

func TestSilentStoreIsMarked(t *testing.T) {
	s := NewFailureDetector(period)
	marked, now := look(s, time.Unix(0, 0), true, 1, 2, 3, 4, 5, 6)
	assert.Equal(t, len(marked), 0)
	marked, now = look(s, now, true, 6, 6, 6)
	assert.Equal(t, len(marked), 0)
	marked, now = look(s, now, true, 6)
	assert.DeepEqual(t, marked, []tierpb.InstanceState{tierpb.InstanceState_INSTANCE_SUSPECT})
	marked, _ = look(s, now, true, 7)
	assert.Equal(t, len(marked), 0)
}

func TestCoordinatorThatJustStartedMarksNothing(t *testing.T) {
	marked, _ := look(NewFailureDetector(period), time.Unix(0, 0), true, 1, 1, 1, 1, 1)
	assert.Equal(t, len(marked), 0)
}

func TestCoordinatorOutOfTouchMarksNothing(t *testing.T) {
	s := NewFailureDetector(period)
	marked, now := look(s, time.Unix(0, 0), true, 1, 2, 3, 4, 5, 6, 7)
	assert.Equal(t, len(marked), 0)
	marked, now = look(s, now, false, 7, 7, 7, 7, 7, 7, 7, 7)
	assert.Equal(t, len(marked), 0)
	marked, _ = look(s, now, true, 7, 7)
	assert.Equal(t, len(marked), 0, "marked before it has been in touch for long")
}

func TestStoreQuietForLongIsTakenForGone(t *testing.T) {
	s := NewFailureDetector(period)
	instance := &tierpb.Instance{Id: "i", State: tierpb.InstanceState_INSTANCE_SUSPECT, Sequence: 3}
	start := time.Unix(0, 0)
	s.Observe(start, true, []*tierpb.Instance{instance})
	marks := s.Observe(start.Add(ExpireAfter), true, []*tierpb.Instance{instance})
	assert.Equal(t, len(marks), 1)
	assert.Equal(t, marks[0].State, tierpb.InstanceState_INSTANCE_DEREGISTERED)
}
