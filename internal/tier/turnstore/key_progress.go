package turnstore

import (
	"slices"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// keyProgress tracks on which members of its replica set a key is durable during a rebalance.
type keyProgress struct {
	key           transferKey
	record        *record               // copy; nil for a program
	claims        *tierpb.ProgramBudget // copy; nil for a record
	replicaSet    []*tierpb.Node        // among the current members
	quorum        int                   // write quorum of the replica set
	durableOn     []uint64              // identities of members that have synced the key
	failed        []uint64              // identities of members whose call failed or was rejected
	needExtension []uint64              // identities of members that had the record already and may lack its extended retention
}

// newKeyProgress copies the contents of a key. It returns nil if the key has expired in the meantime.
func (r *rebalance) newKeyProgress(key transferKey) *keyProgress {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	progress := &keyProgress{key: key, replicaSet: replica.Sets(r.membership, key.name, r.tolerance)[0]}
	progress.quorum = replica.WriteQuorum(r.tolerance, len(progress.replicaSet))
	var batch *walBatch
	if key.isProgram {
		existing := r.store.state.programs[key.name]
		if existing == nil {
			return nil
		}
		progress.claims, batch = budget.Clone(existing.budget), existing.batch
	} else {
		existing := r.store.state.records[key.name]
		if existing == nil {
			return nil
		}
		copied := *existing
		progress.record, batch = &copied, existing.batch
	}
	if replica.Contains(progress.replicaSet, r.store.identity) && r.store.isDurable(batch) {
		progress.durableOn = append(progress.durableOn, r.store.identity)
	}
	return progress
}

// missingReplicas returns how many more members must sync the key for a write quorum. It may be negative.
func (p *keyProgress) missingReplicas() int { return p.quorum - len(p.durableOn) }

// approximateBytes returns the approximate size of the key's contents in a call.
func (p *keyProgress) approximateBytes() int {
	if p.record != nil {
		return recordBytes(p.record.turn)
	}
	return budgetOverhead + entryOverhead*len(p.claims.Entries)
}

// targets returns the members to send the key to next: as many as are missing from the write quorum, without those that
// have the key or have failed.
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

// extension returns the extension of the record's retention; nil for a program or if it was not extended.
func (p *keyProgress) extension() *tierpb.RetentionExtension {
	if p.record == nil {
		return nil
	}
	return p.record.extension()
}
