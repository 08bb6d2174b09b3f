package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// handle handles an event if its machine still has the same disk and is reachable. A call that was in flight arrives in
// any case.
func (r *storeRun) handle(e storeEvent) {
	m := e.machine
	if m != nil && e.call == nil && (m.diskNumber != e.diskNumber || !r.isReachable(m)) {
		return
	}
	switch e.kind {
	case storeLearnEvent:
		r.learn(m)
	case storeMigrateEvent:
		r.migrate(m)
	case storeJoinEvent:
		r.receiveJoin(m, e.call)
	case storeWriteEvent:
		r.write(m)
	case storePlacementEvent:
		r.runPlacement()
	}
}

func (r *storeRun) learn(m *storeMachine) {
	if r.control.Stores.Epoch > m.known.Epoch {
		m.known = r.control.Stores
		r.logEvent(m, fmt.Sprintf("learns epoch %d", m.known.Epoch))
	}
}

// migrate copies all records of a store to their new replica sets, in one step. It is complete when each key is on a write
// quorum of its new set.
func (r *storeRun) migrate(m *storeMachine) {
	if m.copied >= m.known.Epoch {
		return
	}
	if replica.Contains(m.known.Previous, m.identity()) {
		for _, key := range sortedKeys(m.records) {
			if !r.transferRecord(m, key) {
				return
			}
		}
	}
	m.copied = m.known.Epoch
	r.logEvent(m, fmt.Sprintf("migration complete, epoch %d", m.copied))
}

func (r *storeRun) transferRecord(m *storeMachine, key string) bool {
	set := replica.Sets(m.known, key, r.scenario.Tolerance)[0]
	quorum := replica.WriteQuorum(r.scenario.Tolerance, len(set))
	holders := 0
	for _, member := range set {
		target := r.machineOf(member)
		if target != nil && target.records[key] && (target == m || r.serves(target, m.known)) {
			holders++
		}
	}
	for _, member := range set {
		target := r.machineOf(member)
		if holders >= quorum {
			break
		}
		if target != nil && !target.records[key] && r.serves(target, m.known) {
			target.records[key] = true
			r.logEvent(target, fmt.Sprintf("copies %s from n%d", key, m.number))
			holders++
		}
	}
	return holders >= quorum
}

// machineOf returns the machine that has a member's identity, nil if its disk was lost.
func (r *storeRun) machineOf(member *tierpb.Node) *storeMachine {
	for _, m := range r.machines {
		if m.identity() == member.Identity {
			return m
		}
	}
	return nil
}

// serves reports whether a store answers calls under a membership: only under the one that it knows.
func (r *storeRun) serves(m *storeMachine, members *tierpb.StoreMembership) bool {
	return r.isReachable(m) && m.known.Epoch == members.Epoch
}

// receiveJoin delivers a join request to the lease holder; a delayed one reports the state at the time it was sent.
func (r *storeRun) receiveJoin(m *storeMachine, call *tierpb.JoinRequest) {
	if call == nil {
		call = r.callOf(m)
	}
	for i := range r.leaseHolder.joins {
		if join := &r.leaseHolder.joins[i]; join.Request.Node.Identity == call.Node.Identity {
			join.Request, join.LastSeen = call, r.now()
			return
		}
	}
	r.leaseHolder.joins = append(r.leaseHolder.joins, placement.Join{Request: call, FirstSeen: r.now(), LastSeen: r.now()})
}

func (r *storeRun) callOf(m *storeMachine) *tierpb.JoinRequest {
	return &tierpb.JoinRequest{Node: m.node(), StoreEpoch: m.known.Epoch, RebalancedEpoch: m.copied}
}

// write lets one store of the replica sets sync the record that is being written, and the client count its reply.
func (r *storeRun) write(m *storeMachine) {
	client := &r.client
	if client.key == "" {
		return
	}
	if client.members == nil {
		client.members = r.control.Stores
	}
	if m.known.Epoch > client.members.Epoch { // the rejection carries the newer membership
		client.members = m.known
	}
	sets := replica.Sets(client.members, client.key, r.scenario.Tolerance)
	member := slices.ContainsFunc(sets, func(set []*tierpb.Node) bool { return replica.Contains(set, m.identity()) })
	if member && r.serves(m, client.members) && !client.synced[m.identity()] {
		m.records[client.key] = true
		client.synced[m.identity()] = true
		r.logEvent(m, "syncs "+client.key)
	}
	if r.isWritten(sets) {
		r.acknowledged = append(r.acknowledged, client.key)
		r.logEvent(m, "= "+client.key+" acknowledged")
		client.key = ""
	}
}

func (r *storeRun) isWritten(sets [][]*tierpb.Node) bool {
	for _, set := range sets {
		count := 0
		for _, member := range set {
			if r.client.synced[member.Identity] {
				count++
			}
		}
		if count < replica.WriteQuorum(r.scenario.Tolerance, len(set)) {
			return false
		}
	}
	return len(sets) > 0
}

// runPlacement decides on the membership with the real placement rules.
func (r *storeRun) runPlacement() {
	if epoch := r.control.Stores.Epoch; epoch != r.leaseHolder.epoch {
		r.leaseHolder.epoch, r.leaseHolder.moveSeen = epoch, r.now()
	}
	view := &placement.View{
		Now: r.now(), ListeningSince: r.leaseHolder.since, Tolerance: r.scenario.Tolerance, Joins: slices.Clone(r.leaseHolder.joins),
		MembershipSeen: r.leaseHolder.moveSeen, VoterUnreachableFor: func(string) time.Duration { return 0 },
	}
	next, reason := placement.NextStores(r.control.CloneVT(), view)
	if reason == "" {
		return
	}
	r.control = next
	r.logEvent(r.machines[0], reason+": "+r.membersName())
}

func (r *storeRun) logEvent(m *storeMachine, text string) {
	r.changed = true
	r.timeline.addAt(r.points, time.Duration(r.cycle)*cycleTime, m.number, text)
}
