package draining

import (
	"sync"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// confirmedStates remembers which terminal states a quorum of the voters has on disk, so that repeated requests of an instance
// are answered without calls. It is safe for concurrent use.
type confirmedStates struct {
	mu     sync.Mutex
	states map[string]tierpb.InstanceState // by instance ID
}

func newConfirmedStates() *confirmedStates {
	return &confirmedStates{states: make(map[string]tierpb.InstanceState)}
}

func (c *confirmedStates) includes(instance *tierpb.Instance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.states[instance.Id] >= instance.State
}

func (c *confirmedStates) add(instance *tierpb.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states[instance.Id] = max(c.states[instance.Id], instance.State)
}

// prune drops instances that are no longer listed.
func (c *confirmedStates) prune(isListed func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.states {
		if !isListed(id) {
			delete(c.states, id)
		}
	}
}
