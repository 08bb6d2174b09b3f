package proxy

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/admission"
)

// Rate limits of ejectionLog: many stores may be ejected at once, for example when a zone is unreachable.
const (
	ejectionLogDelay    = 100 * time.Millisecond // changes within this time share a log line
	ejectionLogInterval = time.Second            // minimum time between two flushes
	maxLoggedInstances  = 8                      // instances named in one log line
)

// ejectionLog logs ejections and returns of stores. It aggregates changes that happen at about the same time into one
// log line for ejections and one for returns. It is safe for concurrent use.
type ejectionLog struct {
	log hclog.Logger

	mu        sync.Mutex
	ejected   healthChanges
	returned  healthChanges
	scheduled bool // a flush is scheduled
	flushedAt time.Time
}

// healthChanges aggregates the ejections or the returns since the last flush.
type healthChanges struct {
	count     int
	reasons   map[admission.EjectionReason]int
	services  map[string]struct{}
	instances []string // at most the first maxLoggedInstances
}

// record adds one ejection or return and schedules a flush if none is scheduled.
func (l *ejectionLog) record(change admission.HealthChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if change.Ejected {
		l.ejected.add(change)
	} else {
		l.returned.add(change)
	}
	if l.scheduled {
		return
	}
	l.scheduled = true
	wait := max(ejectionLogDelay, ejectionLogInterval-time.Since(l.flushedAt))
	time.AfterFunc(wait, l.flush)
}

// flush logs the changes recorded since the last flush.
func (l *ejectionLog) flush() {
	l.mu.Lock()
	ejected, returned := l.ejected, l.returned
	l.ejected, l.returned = healthChanges{}, healthChanges{}
	l.scheduled, l.flushedAt = false, time.Now()
	l.mu.Unlock()
	if ejected.count > 0 {
		l.log.Info("stores ejected", ejected.fields()...)
	}
	if returned.count > 0 {
		l.log.Info("stores returned", returned.fields()...)
	}
}

func (c *healthChanges) add(change admission.HealthChange) {
	if c.reasons == nil {
		c.reasons = make(map[admission.EjectionReason]int)
		c.services = make(map[string]struct{})
	}
	c.count++
	c.reasons[change.Reason]++
	c.services[change.Service] = struct{}{}
	if len(c.instances) < maxLoggedInstances {
		c.instances = append(c.instances, change.Instance)
	}
}

// fields returns the key-value pairs of the log line. Reasons are formatted as reason:count, most frequent first.
func (c *healthChanges) fields() []any {
	reasons := slices.SortedFunc(maps.Keys(c.reasons), func(a, b admission.EjectionReason) int {
		if c.reasons[a] != c.reasons[b] {
			return c.reasons[b] - c.reasons[a]
		}
		return strings.Compare(string(a), string(b))
	})
	counted := make([]string, len(reasons))
	for i, reason := range reasons {
		counted[i] = fmt.Sprintf("%s:%d", reason, c.reasons[reason])
	}
	return []any{
		"count", c.count, "reasons", counted, "services", slices.Sorted(maps.Keys(c.services)), "instances", c.instances,
	}
}
