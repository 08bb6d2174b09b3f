package turnstore

import (
	"slices"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// keyProgress tracks on which members of its replica set a key is durable during a rebalance.
type keyProgress struct {
	key        transferKey
	record     *record               // copy; nil for a program
	claims     *tierpb.ProgramBudget // copy; nil for a record
	replicaSet []*tierpb.Node        // among the current members
	quorum     int                   // write quorum of the replica set
	durableOn  []uint64              // identities of members that have synced the key
	failed     []uint64              // identities of members that have not answered or have rejected a call
	needExpiry []uint64              // members that had the record before and may not know its extended retention
}

// newProgress copies what the store has of a key; it returns nil if the key has expired in the meantime.
func (r *rebalance) newProgress(key transferKey) *keyProgress {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	progress := &keyProgress{key: key, replicaSet: replica.Sets(r.membership, key.name, r.tolerance)[0]}
	progress.quorum = replica.WriteQuorum(r.tolerance, len(progress.replicaSet))
	var in *batch
	if key.program {
		existing := r.store.state.programs[key.name]
		if existing == nil {
			return nil
		}
		progress.claims, in = budget.Clone(existing.budget), existing.batch
	} else {
		existing := r.store.state.records[key.name]
		if existing == nil {
			return nil
		}
		copied := *existing
		progress.record, in = &copied, existing.batch
	}
	if replica.Contains(progress.replicaSet, r.store.identity) && r.store.isDurable(in) {
		progress.durableOn = append(progress.durableOn, r.store.identity)
	}
	return progress
}

// missingReplicas is the number of members that are missing from the write quorum; it may be negative.
func (p *keyProgress) missingReplicas() int { return p.quorum - len(p.durableOn) }

// approximateBytes is about the size of the key's contents in a call.
func (p *keyProgress) approximateBytes() int {
	if p.record != nil {
		return recordBytes(p.record.turn)
	}
	return budgetOverhead + entryOverhead*len(p.claims.Entries)
}

// targets returns the members to send the key to next, as many as are missing from the write quorum.
func (p *keyProgress) targets() []*tierpb.Node {
	var chosen []*tierpb.Node
	for _, member := range p.replicaSet {
		if len(chosen) >= p.missingReplicas() {
			break
		}
		if !slices.Contains(p.durableOn, member.Identity) && !slices.Contains(p.failed, member.Identity) {
			chosen = append(chosen, member)
		}
	}
	return chosen
}

// extension returns the record's extended retention; nil for a program or if the retention was not extended.
func (p *keyProgress) extension() *tierpb.RetentionExtension {
	if p.record == nil || p.record.expiresUnixMs <= expiryOf(p.record.turn) {
		return nil
	}
	return &tierpb.RetentionExtension{Id: p.key.name, UntilUnixMs: p.record.expiresUnixMs}
}
