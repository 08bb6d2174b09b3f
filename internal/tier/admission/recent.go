package admission

import "time"

// Bounds of what a recent remembers: each of its two halves.
const (
	recentSpan = 20 * time.Second
	recentMost = 4096
)

// recent remembers keys for some time after they were last added: for one span at the least, for two at the most, unless
// there are too many.
type recent struct {
	young, old map[uint64]struct{}
	since      time.Duration
}

func (r *recent) add(key uint64, now time.Duration) {
	if r.young == nil || now-r.since >= recentSpan || len(r.young) >= recentMost {
		r.old, r.young, r.since = r.young, map[uint64]struct{}{}, now
	}
	r.young[key] = struct{}{}
}

func (r *recent) has(key uint64) bool {
	if _, is := r.young[key]; is {
		return true
	}
	_, is := r.old[key]
	return is
}
