package turnstore

import (
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// sendJoin delivers a store's join request to the coordinators if it is due. Each coordinator may miss it.
func (s *simulation) sendJoin(m *machine) {
	running := s.rebalancers[m]
	completedEpoch := running.rebalancer.CompletedEpoch()
	if time.Since(running.lastJoin) < joinInterval && completedEpoch == running.reportedEpoch {
		return
	}
	running.lastJoin, running.reportedEpoch = time.Now(), completedEpoch
	for _, joins := range s.receivedJoins {
		if s.random.IntN(8) == 0 {
			continue
		}
		node := s.node(m)
		join, known := joins[node.Identity]
		if !known {
			join.FirstSeen = time.Now()
		}
		join.LastSeen = time.Now()
		join.Request = &tierpb.JoinRequest{Node: node, RebalancedEpoch: completedEpoch}
		joins[node.Identity] = join
	}
}

// runPlacement runs the placement role on the join requests that one coordinator has received.
func (s *simulation) runPlacement(joins map[uint64]placement.Join) {
	view := &placement.View{
		Now: time.Now(), ListeningSince: s.startedAt, Tolerance: s.tolerance, CatchUpTimeout: catchUpTimeout, MembershipSeen: s.membershipSeen,
	}
	for _, join := range joins {
		if time.Since(join.LastSeen) < time.Minute {
			view.Joins = append(view.Joins, join)
		}
	}
	slices.SortFunc(view.Joins, func(a, b placement.Join) int {
		return int(a.Request.Node.Identity) - int(b.Request.Node.Identity)
	})
	next, reason := placement.NextStores(s.control.CloneVT(), view)
	if reason != "" {
		assert.Assert(s.t, s.toleranceExceeded || reason != placement.ReasonDisksLost)
		s.logEvent("%s", reason)
		s.publish(next)
	}
}

// publish makes a control state the newest one.
func (s *simulation) publish(next *tierpb.ControlState) {
	if next.Stores.Epoch != s.control.Stores.Epoch {
		s.membershipSeen = time.Now()
	}
	s.control = next
	s.logEvent("epoch %d: %v, previous %v", next.Stores.Epoch, identitiesOf(next.Stores.Current), identitiesOf(next.Stores.Previous))
	s.cluster.mu.Lock()
	s.membership = next.Stores
	s.history = append(s.history, publishedMembership{time.Now(), next.Stores})
	s.cluster.mu.Unlock()
}

// endRecoveredFailures shuts down machines whose retirement is complete, and removes recovered machines from s.failed.
func (s *simulation) endRecoveredFailures() {
	for _, retirement := range s.control.Retirements {
		if m := s.machines[retirement.Node]; m != nil && retirement.Completed {
			s.logEvent("retired %s", m.address)
			s.decommission(m)
		}
	}
	stores := s.control.Stores
	if len(stores.Previous) > 0 || !s.allDisksPresent(stores.Current) {
		return
	}
	for _, m := range s.sortedMachines() {
		if _, hasFailed := s.failed[m]; hasFailed && m.store != nil && !s.partitioned[m.address] &&
			replica.Contains(stores.Current, m.store.Identity()) {
			s.logEvent("recovered %s", m.address)
			delete(s.failed, m)
		}
	}
	for m := range s.failed {
		if s.machines[m.address] != m { // the machine was shut down
			delete(s.failed, m)
		}
	}
}

// allDisksPresent returns whether the disks of all members exist.
func (s *simulation) allDisksPresent(members []*tierpb.Node) bool {
	for _, member := range members {
		m := s.machines[member.Address]
		if m == nil || s.oracle.disks[member.Identity] != m.disk {
			return false
		}
	}
	return true
}

// decommission shuts down a machine permanently.
func (s *simulation) decommission(m *machine) {
	s.halt(m)
	s.remove(m)
}

// retire begins the retirement of a random member if enough members remain.
func (s *simulation) retire() {
	next := s.control.CloneVT()
	stores := next.Stores
	if len(stores.Current) <= 2*s.tolerance+1 {
		return
	}
	index := s.random.IntN(len(stores.Current))
	retired := stores.Current[index]
	if len(stores.Previous) == 0 {
		stores.Previous = stores.Current
	}
	current := make([]*tierpb.Node, 0, len(stores.Current))
	stores.Current = append(append(current, stores.Current[:index]...), stores.Current[index+1:]...)
	stores.Epoch++
	s.logEvent("retire %s", retired.Name)
	next.Retirements = append(next.Retirements, &tierpb.Retirement{Node: retired.Name, Identity: retired.Identity})
	s.publish(next)
}
