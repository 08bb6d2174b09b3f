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

// Limits of the log of ejections: many stores may be ejected at once, as when a zone is cut off.
const (
	ejectionLogDelay    = 100 * time.Millisecond // what happens within it shares a line
	ejectionLogInterval = time.Second            // between two lines
	maxLoggedInstances  = 8
)

// ejectionLog logs ejections and returns of stores, all that happen at about the same time in one line each. It is safe for
// concurrent use.
type ejectionLog struct {
	log hclog.Logger

	mu        sync.Mutex
	ejected   healthChanges
	returned  healthChanges
	scheduled bool // a flush is due
	flushedAt time.Time
}

// healthChanges are the changes of one kind since the last line.
type healthChanges struct {
	count     int
	reasons   map[admission.EjectionReason]int
	services  map[string]struct{}
	instances []string // the first maxLoggedInstances
}

// record takes in one ejection or return.
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

// flush logs what was recorded since the last time.
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

// fields are those of the log line. Reasons are written as reason:count, most frequent first.
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
