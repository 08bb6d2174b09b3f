package proxy

import (
	"errors"
	"sync"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/upstream"
)

// maxLoggedMismatches bounds the stores that are remembered; past it they are told of anew.
const maxLoggedMismatches = 4096

// mismatchLog remembers which stores have answered in the place of a request with an answer that was not its own.
type mismatchLog struct {
	mu     sync.Mutex
	logged map[string]bool // by instance
}

// logFirst logs the first such answer of a store.
func (s *mismatchLog) logFirst(log hclog.Logger, store upstream.Store, err error) {
	if !errors.Is(err, upstream.ErrMismatched) || !s.isFirst(store.Instance) {
		return
	}
	log.Warn("store answered another request than the one sent", "id", store.Instance, "address", store.Address)
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
