package settings

import (
	"os"
	"sync"
)

// Live holds the newest settings of a process whose file may change while it runs. It is safe for concurrent use.
type Live struct {
	path    string
	mu      sync.Mutex
	text    string
	current *Settings
	changed chan struct{}
}

// NewLive reads the file for the first time; an error means that the process cannot start.
func NewLive(path string) (*Live, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	parsed, err := Parse(text)
	if err != nil {
		return nil, err
	}
	return &Live{path: path, text: string(text), current: parsed, changed: make(chan struct{})}, nil
}

// Fixed makes a Live that never changes, for tests.
func Fixed(settings *Settings) *Live {
	return &Live{current: settings, changed: make(chan struct{})}
}

// Current returns the newest settings, which callers must not change.
func (l *Live) Current() *Settings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// Changed returns a channel that is closed at the next change.
func (l *Live) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Reload reads the file again and reports whether its content changed. An invalid file leaves the settings as they are.
func (l *Live) Reload() (bool, error) {
	text, err := os.ReadFile(l.path)
	if err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if string(text) == l.text {
		return false, nil
	}
	parsed, err := Parse(text)
	if err != nil {
		return false, err
	}
	l.text, l.current = string(text), parsed
	close(l.changed)
	l.changed = make(chan struct{})
	return true, nil
}
