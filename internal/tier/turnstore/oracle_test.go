package turnstore

import (
	"fmt"
	"slices"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// claimed is a claim that passed.
type claimed struct {
	program, request string
	marked           bool // it was written past the program's first members
}

// oracle counts the synced copies of what was acknowledged, on the disks themselves.
type oracle struct {
	disks  map[uint64]*memoryDisk // by the identity on it
	turns  []string
	spent  []claimed
	passed []claimed // since the last look
}

// held reads what a disk would give back if its power were lost now and nothing that was not synced stayed.
func held(disk *memoryDisk) *state {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	found := newState()
	for path, file := range disk.files {
		if _, isSegment := numberOf(baseName(path), segmentPrefix); !isSegment {
			if _, isMerged := numberOf(baseName(path), compactedPrefix); !isMerged {
				continue
			}
		}
		_, _, _ = readFrames(file.data[:file.synced], found)
	}
	return found
}

func baseName(path string) string { return path[len("data/"):] }

// intact returns what stands on the disks that are not lost, by identity.
func (o *oracle) intact(machines map[string]*machine) map[uint64]*state {
	views := make(map[uint64]*state)
	for identity, disk := range o.disks {
		for _, m := range machines {
			if m.disk == disk {
				views[identity] = held(disk)
			}
		}
	}
	return views
}

// shortage names something acknowledged that has too few synced copies in its replica set; empty where nothing has.
// The set is that of the previous members while records move, which are whole until the move ends. Each lost disk of
// the set may have taken one copy with it.
func (o *oracle) shortage(membership *tierpb.StoreMembership, tolerance int, machines map[string]*machine) string {
	base := membership.GetPrevious()
	if len(base) == 0 {
		base = membership.GetCurrent()
	}
	views := o.intact(machines)
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
	for _, claim := range o.spent {
		if short := count(claim.program, claim.isIn); short != "" {
			return claim.request + " of " + short
		}
	}
	return ""
}

func (c claimed) isIn(v *state) bool {
	program := v.programs[c.program]
	if program == nil {
		return false
	}
	at := slices.IndexFunc(program.budget.Entries, func(entry *tierpb.BudgetEntry) bool { return entry.Request == c.request })
	return at >= 0 && (!c.marked || program.budget.Entries[at].Confirmed)
}

// takePassed notes of the claims that passed whether they are marked.
func (o *oracle) takePassed(machines map[string]*machine) {
	for _, claim := range o.passed {
		claim.marked = o.isMarked(claim, machines)
		o.spent = append(o.spent, claim)
	}
	o.passed = nil
}

// isMarked says whether any disk has a claim with its mark.
func (o *oracle) isMarked(claim claimed, machines map[string]*machine) bool {
	claim.marked = true
	for _, found := range o.intact(machines) {
		if claim.isIn(found) {
			return true
		}
	}
	return false
}
