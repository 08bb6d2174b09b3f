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

// isIn returns whether a state has the claim, confirmed if it must be.
func (c acknowledgedClaim) isIn(stored *state) bool {
	program := stored.programs[c.program]
	if program == nil {
		return false
	}
	at := slices.IndexFunc(program.budget.Entries, func(entry *tierpb.BudgetEntry) bool { return entry.Request == c.request })
	return at >= 0 && (!c.confirmed || program.budget.Entries[at].Confirmed)
}

// oracle checks the contents of the disks: everything acknowledged must have enough synced replicas.
type oracle struct {
	disks     map[uint64]*memoryDisk // by the identity of the store on the disk
	turns     []string
	claims    []acknowledgedClaim
	newClaims []acknowledgedClaim // since the last check
}

// durableStates returns what is durable on the disks that still exist, by identity.
func (o *oracle) durableStates(machines map[string]*machine) map[uint64]*state {
	states := make(map[uint64]*state)
	for identity, disk := range o.disks {
		for _, m := range machines {
			if m.disk == disk {
				states[identity] = durableState(disk)
			}
		}
	}
	return states
}

// findUnderReplicated describes an acknowledged key with too few synced replicas; it returns an empty string if there is
// none. During a rebalance it checks the replica set among the previous members, which have all keys until the rebalance
// ends. Each lost disk of the set may have had a replica and counts as one, but at least one replica must be left.
func (o *oracle) findUnderReplicated(membership *tierpb.StoreMembership, tolerance int, machines map[string]*machine) string {
	members := membership.GetPrevious()
	if len(members) == 0 {
		members = membership.GetCurrent()
	}
	states := o.durableStates(machines)
	count := func(key string, has func(*state) bool) string {
		set := replica.Set(members, key, replica.Size(tolerance))
		replicas, lost := 0, 0
		for _, member := range set {
			switch stored := states[member.Identity]; {
			case stored == nil:
				lost++
			case has(stored):
				replicas++
			}
		}
		if replicas+lost >= tolerance+1 && replicas > 0 {
			return ""
		}
		return fmt.Sprintf("%s: %d replicas, %d disks of its replica set lost", key, replicas, lost)
	}
	for _, id := range o.turns {
		if shortage := count(id, func(stored *state) bool { return stored.records[id] != nil }); shortage != "" {
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

// addNewClaims adds the claims that were acknowledged since the last check, and finds out whether they are confirmed.
func (o *oracle) addNewClaims(machines map[string]*machine) {
	for _, claim := range o.newClaims {
		claim.confirmed = o.isConfirmed(claim, machines)
		o.claims = append(o.claims, claim)
	}
	o.newClaims = nil
}

// isConfirmed returns whether a claim is confirmed on any disk.
func (o *oracle) isConfirmed(claim acknowledgedClaim, machines map[string]*machine) bool {
	claim.confirmed = true
	for _, stored := range o.durableStates(machines) {
		if claim.isIn(stored) {
			return true
		}
	}
	return false
}
