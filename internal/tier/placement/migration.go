package placement

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// maxReportTimeout bounds how long a migration waits for reports that it does not need.
const maxReportTimeout = 6 * time.Second

// catchUpDivisor divides the catch-up time-out into the time that a migration waits for reports that it does not need: a
// new machine counts as lost for no longer than that time-out.
const catchUpDivisor = 2

// reportTimeout returns how long a migration waits for reports that it does not need.
func (v *View) reportTimeout() time.Duration {
	if v.CatchUpTimeout <= 0 {
		return maxReportTimeout
	}
	return min(maxReportTimeout, v.CatchUpTimeout/catchUpDivisor)
}

// migrationProgress is how far the copying of records from the previous to the current members has come. A previous member
// reports the epoch up to which all records that it holds are on the current members.
type migrationProgress struct {
	previous  int // number of previous members
	tolerated int // previous members that need not report
	reported  int
	diskLost  int  // of those that have not reported
	awaited   bool // one that has not reported runs, and the migration is not late
}

func migrationProgressOf(stores *tierpb.StoreMembership, view *View) migrationProgress {
	progress := migrationProgress{previous: len(stores.GetPrevious()), tolerated: view.Tolerance}
	for _, member := range stores.GetPrevious() {
		join, known := view.join(member.Identity)
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

// isSufficient reports whether the records of the previous members are on enough of the current ones. Each record is on
// more of the previous members than need not report. If more disks than that are lost, all records that are left have been
// copied.
func (p migrationProgress) isSufficient() bool {
	if p.previous == 0 || p.reported == 0 && p.diskLost < p.previous {
		return false
	}
	return p.previous-p.reported <= max(p.tolerated, p.diskLost)
}

// isMigrating reports whether records are being copied and the migration is not late.
func isMigrating(stores *tierpb.StoreMembership, view *View) bool {
	return len(stores.GetPrevious()) > 0 && view.Now.Sub(view.MembershipSeen) < view.reportTimeout()
}

// isDiskLost reports whether a previous member has lost its disk: a current one at its address has another identity. A
// member that is only unreachable may come back with records that nobody else holds.
func isDiskLost(member *tierpb.Node, current []*tierpb.Node) bool {
	return slices.ContainsFunc(current, func(node *tierpb.Node) bool {
		return node.Address == member.Address && node.Identity != member.Identity
	})
}

// finishMigration drops the previous members if all but a tolerable number of them have reported and no other one that runs
// is awaited. The reason is empty if it does not.
func finishMigration(current *tierpb.ControlState, view *View) (reason string) {
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
