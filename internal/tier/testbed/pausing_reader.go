package testbed

import (
	"io"
	"sync"
	"time"
)

// pausingReader reads a text and waits before its last byte.
type pausingReader struct {
	text  []byte
	pause time.Duration

	mu    sync.Mutex
	read  int
	ended time.Time // when the last byte was read
}

// Read implements io.Reader.
func (r *pausingReader) Read(into []byte) (int, error) {
	remaining := r.remaining()
	switch {
	case len(remaining) == 0:
		return 0, io.EOF
	case len(remaining) == 1:
		time.Sleep(r.pause)
	default:
		remaining = remaining[:len(remaining)-1]
	}
	count := copy(into, remaining)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.read += count
	if r.read == len(r.text) {
		r.ended = time.Now()
	}
	return count, nil
}

func (r *pausingReader) remaining() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text[r.read:]
}

// completed returns when the last byte was read, or the zero time if it was not.
func (r *pausingReader) completed() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}
