package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// happen lets an event happen where its machine still is what it was. A call that was under way arrives all the same.
func (w *storeWorld) happen(e storeEvent) {
	m := e.machine
	if m != nil && e.call == nil && (m.life != e.life || !w.reached(m)) {
		return
	}
	switch e.kind {
	case storeLearns:
		w.learn(m)
	case storePasses:
		w.pass(m)
	case storeCalls:
		w.hear(m, e.call)
	case storeWrites:
		w.write(m)
	case storePlaces:
		w.place()
	}
}

func (w *storeWorld) learn(m *storeMachine) {
	if w.control.Stores.Epoch > m.known.Epoch {
		m.known = w.control.Stores
		w.note(m, fmt.Sprintf("learns epoch %d", m.known.Epoch))
	}
}

// pass hands on all that a store holds, as one step; it is over when each key is on a write quorum of its new set.
func (w *storeWorld) pass(m *storeMachine) {
	if m.copied >= m.known.Epoch {
		return
	}
	if replica.Contains(m.known.Previous, m.identity()) {
		for _, key := range sortedKeys(m.records) {
			if !w.handOn(m, key) {
				return
			}
		}
	}
	m.copied = m.known.Epoch
	w.note(m, fmt.Sprintf("pass over, epoch %d", m.copied))
}

func (w *storeWorld) handOn(m *storeMachine, key string) bool {
	set := replica.Sets(m.known, key, w.scenario.Tolerance)[0]
	quorum := replica.WriteQuorum(w.scenario.Tolerance, len(set))
	holders := 0
	for _, member := range set {
		target := w.machineOf(member)
		if target != nil && target.records[key] && (target == m || w.serves(target, m.known)) {
			holders++
		}
	}
	for _, member := range set {
		target := w.machineOf(member)
		if holders >= quorum {
			break
		}
		if target != nil && !target.records[key] && w.serves(target, m.known) {
			target.records[key] = true
			w.note(target, fmt.Sprintf("gets %s of n%d", key, m.number))
			holders++
		}
	}
	return holders >= quorum
}

// machineOf is the machine that has a member's identity, nil where its disk was lost.
func (w *storeWorld) machineOf(member *tierpb.Node) *storeMachine {
	for _, m := range w.machines {
		if m.identity() == member.Identity {
			return m
		}
	}
	return nil
}

// serves says that a store answers calls under a membership: the one that it knows.
func (w *storeWorld) serves(m *storeMachine, members *tierpb.StoreMembership) bool {
	return w.reached(m) && m.known.Epoch == members.Epoch
}

// hear takes a call to join to the holder of the lease; a late one says what was so when it was sent.
func (w *storeWorld) hear(m *storeMachine, call *tierpb.JoinRequest) {
	if call == nil {
		call = w.callOf(m)
	}
	for i := range w.holder.joins {
		if join := &w.holder.joins[i]; join.Request.Node.Identity == call.Node.Identity {
			join.Request, join.LastSeen = call, w.now()
			return
		}
	}
	w.holder.joins = append(w.holder.joins, placement.Join{Request: call, FirstSeen: w.now(), LastSeen: w.now()})
}

func (w *storeWorld) callOf(m *storeMachine) *tierpb.JoinRequest {
	return &tierpb.JoinRequest{Node: m.node(), StoreEpoch: m.known.Epoch, CopiedEpoch: m.copied}
}

// write lets one store of the replica sets sync the record that is being written, and the client count it.
func (w *storeWorld) write(m *storeMachine) {
	client := &w.client
	if client.key == "" {
		return
	}
	if client.members == nil {
		client.members = w.control.Stores
	}
	if m.known.Epoch > client.members.Epoch { // the refusal brings the newer membership
		client.members = m.known
	}
	sets := replica.Sets(client.members, client.key, w.scenario.Tolerance)
	member := slices.ContainsFunc(sets, func(set []*tierpb.Node) bool { return replica.Contains(set, m.identity()) })
	if member && w.serves(m, client.members) && !client.synced[m.identity()] {
		m.records[client.key] = true
		client.synced[m.identity()] = true
		w.note(m, "syncs "+client.key)
	}
	if w.isWritten(sets) {
		w.acknowledged = append(w.acknowledged, client.key)
		w.note(m, "= "+client.key+" acknowledged")
		client.key = ""
	}
}

func (w *storeWorld) isWritten(sets [][]*tierpb.Node) bool {
	for _, set := range sets {
		count := 0
		for _, member := range set {
			if w.client.synced[member.Identity] {
				count++
			}
		}
		if count < replica.WriteQuorum(w.scenario.Tolerance, len(set)) {
			return false
		}
	}
	return len(sets) > 0
}

// place decides on the membership with the real placement.
func (w *storeWorld) place() {
	if epoch := w.control.Stores.Epoch; epoch != w.holder.epoch {
		w.holder.epoch, w.holder.moveSeen = epoch, w.now()
	}
	view := &placement.View{
		Now: w.now(), ListeningSince: w.holder.since, Tolerance: w.scenario.Tolerance, Joins: slices.Clone(w.holder.joins),
		MembershipSeen: w.holder.moveSeen, VoterUnreachableFor: func(string) time.Duration { return 0 },
	}
	next, reason := placement.NextStores(w.control.CloneVT(), view)
	if reason == "" {
		return
	}
	w.control = next
	w.note(w.machines[0], reason+": "+w.membersName())
}

func (w *storeWorld) note(m *storeMachine, text string) {
	w.changed = true
	w.timeline.addAt(w.points, time.Duration(w.cycle)*cycleTime, m.number, text)
}
