package coordinator

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/registry"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

const (
	failureCheckInterval = 750 * time.Millisecond
	// maxFailureCheckGap is the longest time between two checks in which the process counts as having run meanwhile.
	maxFailureCheckGap = failureCheckInterval + 2*maintenanceInterval
)

// forgetter keeps something of each instance for as long as it is listed.
type forgetter interface {
	Forget(isListed func(id string) bool)
}

type instanceMonitorOptions struct {
	heartbeat  time.Duration // period of the instances' heartbeats
	state      *watch.State
	inContact  func() bool
	forgetters []forgetter
	log        hclog.Logger
	now        func() time.Time
}

// instanceMonitor marks instances suspect whose heartbeats stay away, and has instances forgotten that are not listed any
// more. One goroutine uses it.
type instanceMonitor struct {
	options   instanceMonitorOptions
	detector  *registry.FailureDetector
	lastCheck time.Time
}

func newInstanceMonitor(options instanceMonitorOptions) *instanceMonitor {
	return &instanceMonitor{options: options, detector: registry.NewFailureDetector(options.heartbeat)}
}

// checkIfDue checks once every failureCheckInterval.
func (m *instanceMonitor) checkIfDue() {
	if m.options.now().Sub(m.lastCheck) >= failureCheckInterval {
		m.check()
	}
}

// check marks instances without heartbeats. A process that did not run for a while has received none in that time, and one
// without quorum contact not those that the others received.
func (m *instanceMonitor) check() {
	now := m.options.now()
	ran := now.Sub(m.lastCheck) <= maxFailureCheckGap
	m.lastCheck = now
	state := m.options.state
	for _, instance := range m.detector.Observe(now, ran && m.options.inContact(), state.Instances()) {
		state.Upsert(instance)
		m.options.log.Info("instance state changed", "id", instance.Id, "address", instance.Address, "state", instance.State)
	}
	if m.detector.Synchronized(now) {
		state.MarkSynchronized()
	}
	for _, f := range m.options.forgetters {
		f.Forget(func(id string) bool { return state.Instance(id) != nil })
	}
}
