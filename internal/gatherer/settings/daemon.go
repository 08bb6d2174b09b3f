package settings

import (
	"errors"
	"fmt"
	"slices"
	"sync/atomic"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// Current holds the settings in force. They are replaced as a whole.
type Current = atomic.Pointer[Settings]

// Class returns the number of the class with the name, -1 for none.
func (s *Settings) Class(name string) int {
	for i, n := range s.Classes {
		if n == name && !s.dropped(i) {
			return i
		}
	}
	return -1
}

// dropped reports whether a class is kept only for requests in flight.
func (s *Settings) dropped(class int) bool { return class < len(s.Dropped) && s.Dropped[class] }

// Narrow returns settings with a changed copy of a class under its own number, and that number: the class's own if nothing is
// changed. The name still leads to the unchanged class. The number of an equal earlier copy is reused.
func (s Settings) Narrow(class int, change func(*decision.Class)) (Settings, int) {
	k := s.Policy.Classes[class]
	if change(&k); k == s.Policy.Classes[class] {
		return s, class
	}
	for i, name := range s.Classes {
		if name == s.Classes[class] && s.Policy.Classes[i] == k {
			return s, i
		}
	}
	for len(s.Dropped) < len(s.Classes) {
		s.Dropped = append(slices.Clip(s.Dropped), false)
	}
	s.Dropped = append(slices.Clip(s.Dropped), true)
	s.Classes = append(slices.Clip(s.Classes), s.Classes[class])
	s.Policy.Classes = append(slices.Clip(s.Policy.Classes), k)
	return s, len(s.Classes) - 1
}

// required are the keys that a daemon needs, for which Parse would use 0.
var (
	required = []string{"siblings", "tickUs", "discovery", "zones", "classes", "familyInfo.batch", "familyInfo.callUs",
		"familyInfo.completeFrom", "familyInfo.leastShare", "familyInfo.fetchParts", "familyInfo.positions",
		"familyInfo.width", "familyInfo.shards", "limits.cancel", "limits.secondCopies", "limits.probes",
		"limits.maxAttempts", "limits.maxRetryAfterUs", "limits.retryAfter", "limits.openCap", "limits.streamsPerConn",
		"limits.connIdleUs", "limits.connectTimeoutUs", "rules.startCapacity", "rules.rampTimeUs", "rules.fallMultiple",
		"rules.fallUs"}
	ofClass  = []string{"name", "onTimeUs", "deadlineUs", "effect", "worth"}
	byClass  = []string{"familyInfo.completeFrom", "familyInfo.leastShare", "familyInfo.fetchParts"}
	positive = []string{"siblings", "tickUs", "familyInfo.batch", "familyInfo.positions", "familyInfo.width",
		"familyInfo.shards", "limits.maxAttempts", "limits.openCap", "limits.streamsPerConn", "limits.connIdleUs",
		"limits.connectTimeoutUs"}
)

// ParseDaemon is Parse for a daemon, which must not start with, or change to, incomplete settings. Every error names the field.
func ParseDaemon(text []byte) (Settings, error) {
	if !gjson.ValidBytes(text) { // gjson's getters take garbage
		return Settings{}, errors.New("settings: missing, or not JSON")
	}
	s, err := Parse(text)
	if err != nil {
		return s, err
	}
	root := gjson.ParseBytes(text)
	for _, path := range required {
		if v := root.Get(path); !v.Exists() || v.Type == gjson.Null {
			return s, fmt.Errorf("settings: %s is missing", path)
		}
	}
	for _, path := range positive {
		if root.Get(path).Num <= 0 {
			return s, fmt.Errorf("settings: %s is not above 0", path)
		}
	}
	if s.DrainGrace < 0 {
		return s, errors.New("settings: rules.drainGraceUs is below 0")
	}
	classes := root.Get("classes").Array()
	for _, path := range byClass {
		if n := len(root.Get(path).Array()); n != len(classes) {
			return s, fmt.Errorf("settings: %s has %d values for %d classes", path, n, len(classes))
		}
	}
	if len(s.Zones) == 0 {
		return s, errors.New("settings: zones is empty")
	}
	for i, c := range classes {
		for _, key := range ofClass {
			if v := c.Get(key); !v.Exists() || v.Type == gjson.Null {
				return s, fmt.Errorf("settings: classes[%d].%s is missing", i, key)
			}
		}
		if err := s.checkClass(i, c.Get("effect").Str); err != nil {
			return s, err
		}
	}
	return s, s.Policy.Check()
}

// checkClass checks the i-th class.
func (s *Settings) checkClass(i int, effect string) error {
	k := s.Policy.Classes[i]
	switch {
	case s.Classes[i] == "" || slices.Index(s.Classes, s.Classes[i]) != i:
		return fmt.Errorf("settings: classes[%d].name is empty, or stands twice", i)
	case k.Deadline <= 0:
		return fmt.Errorf("settings: classes[%d].deadlineUs is not above 0", i)
	case k.LatencyTarget <= 0:
		return fmt.Errorf("settings: classes[%d].onTimeUs is not above 0", i)
	case effect != "safe" && effect != "keyed" && effect != "unsafe":
		return fmt.Errorf("settings: classes[%d].effect: %.40q is not known", i, effect)
	case k.Effect == decision.Deduplicated && k.DeduplicationWindow <= 0:
		return fmt.Errorf("settings: classes[%d].memorySpanUs is missing or not above 0", i)
	}
	return nil
}

// Over returns the settings that replace old ones in a running daemon. A class keeps its number only if it is unchanged; any
// other is appended, and the old number keeps its rules, marked as dropped, for requests in flight. A number is never reused
// for another class. What a running daemon cannot change stays, and is named in kept.
func (s Settings) Over(old Settings) (merged Settings, kept []string) {
	merged = s
	merged.Classes = slices.Clone(old.Classes)
	merged.Policy.Classes = slices.Clone(old.Policy.Classes)
	merged.Dropped = slices.Repeat([]bool{true}, len(old.Classes))
	for i, name := range s.Classes {
		if n := old.Class(name); n >= 0 && old.Policy.Classes[n] == s.Policy.Classes[i] {
			merged.Dropped[n] = false
			continue
		}
		merged.Classes = append(merged.Classes, name)
		merged.Policy.Classes = append(merged.Policy.Classes, s.Policy.Classes[i])
	}
	stay := func(name string, same bool) {
		if !same {
			kept = append(kept, name)
		}
	}
	stay("zones", slices.Equal(s.Zones, old.Zones))
	stay("tickUs", s.Policy.Tick == old.Policy.Tick)
	stay("familyInfo.positions", s.Policy.Cells == old.Policy.Cells)
	stay("familyInfo.width", s.Policy.Width == old.Policy.Width)
	stay("familyInfo.shards", s.Shards == old.Shards)
	stay("limits.streamsPerConn", s.StreamsPerConn == old.StreamsPerConn)
	stay("limits.connIdleUs", s.ConnIdle == old.ConnIdle)
	stay("limits.connectTimeoutUs", s.ConnectTimeout == old.ConnectTimeout)
	stay("rules.drainGraceUs", s.DrainGrace == old.DrainGrace)
	merged.Zones, merged.Shards, merged.StreamsPerConn = old.Zones, old.Shards, old.StreamsPerConn
	merged.ConnIdle, merged.ConnectTimeout, merged.DrainGrace = old.ConnIdle, old.ConnectTimeout, old.DrainGrace
	merged.Policy.Connections = old.Policy.Connections
	merged.Policy.Tick, merged.Policy.Cells, merged.Policy.Width = old.Policy.Tick, old.Policy.Cells, old.Policy.Width
	return merged, kept
}
