package proxy

import (
	"errors"
	"sync"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/upstream"
)

// maxLoggedMismatches bounds the set of remembered stores; when it is full the set is cleared and stores are logged
// again.
const maxLoggedMismatches = 4096

// mismatchLog remembers which stores have answered a request with a response that belongs to another request, so that
// each is logged once.
type mismatchLog struct {
	mu     sync.Mutex
	logged map[string]bool // by instance
}

// logFirst logs the first mismatched response of a store; other errors are ignored.
func (s *mismatchLog) logFirst(log hclog.Logger, store upstream.Store, err error) {
	if !errors.Is(err, upstream.ErrMismatched) || !s.isFirst(store.Instance) {
		return
	}
	log.Warn("mismatched response: store answered another request", "id", store.Instance, "address", store.Address)
}

func (s *mismatchLog) isFirst(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.logged[instance] {
		return false
	}
	if s.logged == nil || len(s.logged) >= maxLoggedMismatches {
		s.logged = make(map[string]bool)
	}
	s.logged[instance] = true
	return true
}
