package placement

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// maxReportTimeout bounds how long a migration waits for the reports of running members beyond those that it needs.
const maxReportTimeout = 6 * time.Second

// catchUpDivisor divides the catch-up timeout into the time for which a migration waits for reports beyond those that it
// needs. It is only a part of that timeout, because a new machine must not count as lost for longer than the timeout.
const catchUpDivisor = 2

// reportTimeout returns how long a migration waits for reports beyond those that it needs.
func (v *View) reportTimeout() time.Duration {
	if v.CatchUpTimeout <= 0 {
		return maxReportTimeout
	}
	return min(maxReportTimeout, v.CatchUpTimeout/catchUpDivisor)
}

// migrationProgress describes how far the records of the previous members have been copied to the current members. A
// previous member reports the newest epoch for whose members it has copied all its records.
type migrationProgress struct {
	previous  int  // number of previous members
	tolerated int  // number of previous members that need not report
	reported  int  // number of previous members that have reported
	diskLost  int  // number of previous members that have lost their disk and have not reported
	awaited   bool // a running previous member has not reported, and the report timeout has not passed
}

func migrationProgressOf(stores *tierpb.StoreMembership, view *View) migrationProgress {
	progress := migrationProgress{previous: len(stores.GetPrevious()), tolerated: view.Tolerance}
	for _, member := range stores.GetPrevious() {
		join, known := view.findJoin(member.Identity)
		switch {
		case known && join.Request.RebalancedEpoch >= stores.Epoch:
			progress.reported++
		case isDiskLost(member, stores.Current):
			progress.diskLost++
		case known && view.isRunning(join) && isMigrating(stores, view):
			progress.awaited = true
		}
	}
	return progress
}

// isSufficient reports whether enough of the previous members have reported. Each record is on more previous members than
// the number that need not report, so at least one member that has reported had it. If more disks than that number are
// lost, all other members must have reported, so all records that still exist have been copied.
func (p migrationProgress) isSufficient() bool {
	if p.previous == 0 || p.reported == 0 && p.diskLost < p.previous {
		return false
	}
	return p.previous-p.reported <= max(p.tolerated, p.diskLost)
}

// isMigrating reports whether a migration is in progress and its report timeout has not passed.
func isMigrating(stores *tierpb.StoreMembership, view *View) bool {
	return len(stores.GetPrevious()) > 0 && view.Now.Sub(view.MembershipSeen) < view.reportTimeout()
}

// isDiskLost reports whether a previous member has lost its disk: there is a current member with the same address and
// another identity. A member that is only unreachable does not count, because it may come back with records that no other
// member has.
func isDiskLost(member *tierpb.Node, current []*tierpb.Node) bool {
	return slices.ContainsFunc(current, func(node *tierpb.Node) bool {
		return node.Address == member.Address && node.Identity != member.Identity
	})
}

// endMigrationIfDone drops the previous members if enough of them have reported and no other report is awaited. Otherwise it
// returns an empty reason.
func endMigrationIfDone(current *tierpb.ControlState, view *View) (reason string) {
	progress := migrationProgressOf(current.Stores, view)
	if !progress.isSufficient() || progress.awaited {
		return ""
	}
	return endMigration(current, view, progress)
}

// endMigration drops the previous members and returns the reason.
func endMigration(current *tierpb.ControlState, view *View, progress migrationProgress) (reason string) {
	current.Stores.Previous = nil
	completeRetirements(current, view)
	if progress.diskLost > progress.tolerated {
		return ReasonDisksLost
	}
	return ReasonMigrationCompleted
}
