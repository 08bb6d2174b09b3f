package settings

import (
	"os"
	"sync"
)

// Live holds the current settings of a process; Reload replaces them once the settings file has changed. It is safe for
// concurrent use.
type Live struct {
	path    string
	mu      sync.Mutex
	text    string // content of the file that current was parsed from
	current *Settings
	changed chan struct{} // closed, and replaced, at each change
}

// NewLive reads and validates the file. An error means that the process cannot start.
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

// Fixed returns a Live whose settings never change, for tests. It has no file and cannot be reloaded.
func Fixed(settings *Settings) *Live {
	return &Live{current: settings, changed: make(chan struct{})}
}

// Current returns the settings that are in force. Callers must not modify them.
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

// Reload reads the file again and reports whether its content changed. If the file cannot be read or is invalid, it returns
// an error and the settings stay as they are.
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
