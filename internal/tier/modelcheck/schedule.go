package modelcheck

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Deviation is a point of a run at which another action than the default is taken.
type Deviation struct {
	Point  int // number of the point, from 0
	Action int // number of the action at that point, from 1
}

// Schedule names a run of a scenario by its deviations, in the order of their points.
type Schedule []Deviation

// String is the form that ParseSchedule reads: point:action, separated by commas.
func (s Schedule) String() string {
	parts := make([]string, len(s))
	for i, deviation := range s {
		parts[i] = fmt.Sprintf("%d:%d", deviation.Point, deviation.Action)
	}
	return strings.Join(parts, ",")
}

// ParseSchedule reads what String has written.
func ParseSchedule(text string) (Schedule, error) {
	var schedule Schedule
	for part := range strings.SplitSeq(text, ",") {
		if part == "" {
			continue
		}
		point, action, found := strings.Cut(part, ":")
		if !found {
			return nil, eris.Errorf("schedule: %q is not point:action", part)
		}
		var deviation Deviation
		var err error
		if deviation.Point, err = strconv.Atoi(point); err != nil {
			return nil, eris.Wrapf(err, "schedule: %q", part)
		}
		if deviation.Action, err = strconv.Atoi(action); err != nil {
			return nil, eris.Wrapf(err, "schedule: %q", part)
		}
		schedule = append(schedule, deviation)
	}
	return schedule, nil
}

// at is the action at a point, 0 for the default.
func (s Schedule) at(point int) int {
	for _, deviation := range s {
		if deviation.Point == point {
			return deviation.Action
		}
	}
	return 0
}

// without is the schedule but for the deviation at an index.
func (s Schedule) without(index int) Schedule {
	shorter := make(Schedule, 0, len(s))
	return append(append(shorter, s[:index]...), s[index+1:]...)
}
