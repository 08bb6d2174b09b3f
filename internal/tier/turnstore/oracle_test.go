package turnstore

import (
	"fmt"
	"slices"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// acknowledgedClaim is a claim whose reservation has succeeded.
type acknowledgedClaim struct {
	program, request string
	confirmed        bool // it was written a second time, as confirmed
}

func (c acknowledgedClaim) isIn(v *state) bool {
	program := v.programs[c.program]
	if program == nil {
		return false
	}
	at := slices.IndexFunc(program.budget.Entries, func(entry *tierpb.BudgetEntry) bool { return entry.Request == c.request })
	return at >= 0 && (!c.confirmed || program.budget.Entries[at].Confirmed)
}

// oracle checks on the disks themselves that everything acknowledged has enough synced replicas.
type oracle struct {
	disks     map[uint64]*memoryDisk // by the identity on it
	turns     []string
	claims    []acknowledgedClaim
	newClaims []acknowledgedClaim // since the last check
}

// durableStates returns what is durable on the disks that still exist, by identity.
func (o *oracle) durableStates(machines map[string]*machine) map[uint64]*state {
	views := make(map[uint64]*state)
	for identity, disk := range o.disks {
		for _, m := range machines {
			if m.disk == disk {
				views[identity] = durableState(disk)
			}
		}
	}
	return views
}

// findUnderReplicated describes a key that was acknowledged and has too few synced replicas; it returns an empty string if
// there is none. During a rebalance the replica set of the previous members counts, which is complete until the rebalance
// ends. Each disk of the set that was lost may have had a replica.
func (o *oracle) findUnderReplicated(membership *tierpb.StoreMembership, tolerance int, machines map[string]*machine) string {
	base := membership.GetPrevious()
	if len(base) == 0 {
		base = membership.GetCurrent()
	}
	views := o.durableStates(machines)
	count := func(key string, has func(*state) bool) string {
		set := replica.Set(base, key, replica.Size(tolerance))
		replicas, lost := 0, 0
		for _, member := range set {
			switch found := views[member.Identity]; {
			case found == nil:
				lost++
			case has(found):
				replicas++
			}
		}
		if replicas+lost >= tolerance+1 && replicas > 0 {
			return ""
		}
		return fmt.Sprintf("%s: %d replicas, %d of its set lost", key, replicas, lost)
	}
	for _, id := range o.turns {
		if shortage := count(id, func(v *state) bool { return v.records[id] != nil }); shortage != "" {
			return shortage
		}
	}
	for _, claim := range o.claims {
		if shortage := count(claim.program, claim.isIn); shortage != "" {
			return claim.request + " of " + shortage
		}
	}
	return ""
}

// addNewClaims adds the claims that were reserved since the last check, and whether they are confirmed.
func (o *oracle) addNewClaims(machines map[string]*machine) {
	for _, claim := range o.newClaims {
		claim.confirmed = o.isConfirmed(claim, machines)
		o.claims = append(o.claims, claim)
	}
	o.newClaims = nil
}

// isConfirmed returns whether any disk has a claim as confirmed.
func (o *oracle) isConfirmed(claim acknowledgedClaim, machines map[string]*machine) bool {
	claim.confirmed = true
	for _, found := range o.durableStates(machines) {
		if claim.isIn(found) {
			return true
		}
	}
	return false
}
