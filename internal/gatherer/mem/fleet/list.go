package fleet

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/mix"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Times of list calls, where the list has to be asked for.
const (
	askFirst = 500 * time.Millisecond // back-off of failed ones, doubled up to askMost
	askMost  = 4 * time.Second
)

// ListCame takes in what came of the list, and says whether it brings lines.
func (m *State) ListCame(kind mix.ListKind) bool {
	if kind == mix.ListFailed {
		m.Subscribed, m.AskWait = false, min(2*m.AskWait, askMost)
		m.AskAt = m.Now + curve.Duration(curve.Seconds(m.AskWait)*(0.5+m.RNG.Float64()/2))
		m.Flip(&m.ListBad, true, "list failing=%v")
		return false
	}
	if kind != mix.Cached {
		m.Subscribed, m.AskWait = true, askFirst
		m.Flip(&m.ListBad, false, "list failing=%v")
	}
	return true
}

// KeepList keeps a list that has to be asked for subscribed.
func (m *State) KeepList() {
	if !m.Asking() || m.Now < m.AskAt {
		return
	}
	m.Do(mix.Subscribe{})
	m.AskAt = m.Now + askMost
	if w := m.Set.Rules.AskWithin / 2; w > 0 {
		m.AskAt = min(m.AskAt, m.Now+w) // asked too seldom, we count as told what we were not
	}
}
