package turnstore

import (
	"fmt"
	"slices"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// acknowledgedClaim is a claim that passed.
type acknowledgedClaim struct {
	program, request string
	confirmed        bool // it was written past the program's first members
}

func (c acknowledgedClaim) isIn(v *state) bool {
	program := v.programs[c.program]
	if program == nil {
		return false
	}
	at := slices.IndexFunc(program.budget.Entries, func(entry *tierpb.BudgetEntry) bool { return entry.Request == c.request })
	return at >= 0 && (!c.confirmed || program.budget.Entries[at].Confirmed)
}

// oracle counts the synced copies of what was acknowledged, on the disks themselves.
type oracle struct {
	disks     map[uint64]*memoryDisk // by the identity on it
	turns     []string
	claims    []acknowledgedClaim
	newClaims []acknowledgedClaim // since the last look
}

// durableStates returns what stands on the disks that are not lost, by identity.
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

// findUnderReplicated names something acknowledged that has too few synced copies in its replica set; empty where nothing has.
// The set is that of the previous members while records move, which are whole until the move ends. Each lost disk of
// the set may have taken one copy with it.
func (o *oracle) findUnderReplicated(membership *tierpb.StoreMembership, tolerance int, machines map[string]*machine) string {
	base := membership.GetPrevious()
	if len(base) == 0 {
		base = membership.GetCurrent()
	}
	views := o.durableStates(machines)
	count := func(key string, has func(*state) bool) string {
		set := replica.Set(base, key, replica.Size(tolerance))
		copies, lost := 0, 0
		for _, member := range set {
			switch found := views[member.Identity]; {
			case found == nil:
				lost++
			case has(found):
				copies++
			}
		}
		if copies+lost >= tolerance+1 && copies > 0 {
			return ""
		}
		return fmt.Sprintf("%s: %d copies, %d of its set lost", key, copies, lost)
	}
	for _, id := range o.turns {
		if short := count(id, func(v *state) bool { return v.records[id] != nil }); short != "" {
			return short
		}
	}
	for _, claim := range o.claims {
		if short := count(claim.program, claim.isIn); short != "" {
			return claim.request + " of " + short
		}
	}
	return ""
}

// addNewClaims notes of the claims that passed whether they are marked.
func (o *oracle) addNewClaims(machines map[string]*machine) {
	for _, claim := range o.newClaims {
		claim.confirmed = o.isConfirmed(claim, machines)
		o.claims = append(o.claims, claim)
	}
	o.newClaims = nil
}

// isConfirmed says whether any disk has a claim with its mark.
func (o *oracle) isConfirmed(claim acknowledgedClaim, machines map[string]*machine) bool {
	claim.confirmed = true
	for _, found := range o.durableStates(machines) {
		if claim.isIn(found) {
			return true
		}
	}
	return false
}
