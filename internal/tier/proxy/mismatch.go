package proxy

import (
	"errors"
	"sync"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/upstream"
)

// maxLoggedMismatches limits the size of the set of logged stores. When the set is full it is cleared, so that stores may
// be logged again.
const maxLoggedMismatches = 4096

// mismatchLog logs each store that answered a request with the response to another request, once per instance.
type mismatchLog struct {
	mu     sync.Mutex
	logged map[string]bool // instances already logged
}

// logFirst logs the first mismatched response of a store; other errors are ignored.
func (l *mismatchLog) logFirst(log hclog.Logger, store upstream.Store, err error) {
	if !errors.Is(err, upstream.ErrMismatched) || !l.recordFirst(store.Instance) {
		return
	}
	log.Warn("mismatched response: store answered another request", "id", store.Instance, "address", store.Address)
}

// recordFirst records a mismatch of an instance and reports whether it is the first.
func (l *mismatchLog) recordFirst(instance string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.logged[instance] {
		return false
	}
	if l.logged == nil || len(l.logged) >= maxLoggedMismatches {
		l.logged = make(map[string]bool)
	}
	l.logged[instance] = true
	return true
}
