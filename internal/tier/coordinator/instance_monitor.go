package coordinator

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/registry"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

const (
	failureCheckInterval = 750 * time.Millisecond
	// maxFailureCheckGap is the longest time between two checks. After a longer gap, this process is assumed to have been frozen.
	maxFailureCheckGap = failureCheckInterval + 2*maintenanceInterval
)

// pruner stores data about instances and drops that of instances that are no longer listed.
type pruner interface {
	Prune(isListed func(id string) bool)
}

type instanceMonitorOptions struct {
	heartbeat        time.Duration // time between two heartbeats of an instance
	state            *watch.State
	hasQuorumContact func() bool
	pruners          []pruner
	log              hclog.Logger
	now              func() time.Time
}

// instanceMonitor marks instances suspect that stop sending heartbeats, and prunes the data about instances that are no longer
// listed. It is not safe for concurrent use.
type instanceMonitor struct {
	options   instanceMonitorOptions
	detector  *registry.FailureDetector
	lastCheck time.Time
}

func newInstanceMonitor(options instanceMonitorOptions) *instanceMonitor {
	return &instanceMonitor{options: options, detector: registry.NewFailureDetector(options.heartbeat)}
}

// checkIfDue calls check if failureCheckInterval has passed since the last check.
func (m *instanceMonitor) checkIfDue() {
	if m.options.now().Sub(m.lastCheck) >= failureCheckInterval {
		m.check()
	}
}

// check marks instances whose heartbeats have timed out. Missing heartbeats do not count after a freeze, because this process
// received none during the freeze. They do not count without quorum contact either, because this process then does not get
// the heartbeats that other coordinators receive.
func (m *instanceMonitor) check() {
	now := m.options.now()
	wasRunning := now.Sub(m.lastCheck) <= maxFailureCheckGap
	m.lastCheck = now
	state := m.options.state
	for _, instance := range m.detector.Observe(now, wasRunning && m.options.hasQuorumContact(), state.Instances()) {
		state.Upsert(instance)
		m.options.log.Info("instance state changed", "id", instance.Id, "address", instance.Address, "state", instance.State)
	}
	if m.detector.Synchronized(now) {
		state.MarkSynchronized()
	}
	for _, p := range m.options.pruners {
		p.Prune(func(id string) bool { return state.Instance(id) != nil })
	}
}
