package proxy

import (
	"errors"
	"sync"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/upstream"
)

// mostStrays bounds the stores that are remembered; past it they are told of anew.
const mostStrays = 4096

// strays remembers which stores have answered in the place of a request with an answer that was not its own.
type strays struct {
	mu    sync.Mutex
	known map[string]bool // by instance
}

// note logs the first such answer of a store.
func (s *strays) note(log hclog.Logger, store upstream.Store, err error) {
	if !errors.Is(err, upstream.ErrMismatched) || !s.isFirst(store.Instance) {
		return
	}
	log.Warn("store answered another request than the one sent", "id", store.Instance, "address", store.Address)
}

func (s *strays) isFirst(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known[instance] {
		return false
	}
	if s.known == nil || len(s.known) >= mostStrays {
		s.known = make(map[string]bool)
	}
	s.known[instance] = true
	return true
}
