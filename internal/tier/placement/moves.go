package placement

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Reasons for the end of a move.
const (
	reasonMoved     = "records moved"
	reasonDisksLost = "records moved, but more disks were lost than are tolerated"
)

// patienceShare is the part of the catch-up time of a new machine that a move waits for reports it does not need:
// the machine counts as lost for no longer than that time.
const patienceShare = 2

// patience is how long a move waits for reports that it does not need.
func (v *View) patience() time.Duration {
	if v.CatchUpTimeout <= 0 {
		return reportPatience
	}
	return min(reportPatience, v.CatchUpTimeout/patienceShare)
}

// progress is how far a move has come.
type progress struct {
	members  int // previous ones
	allowed  int // that need not report
	reported int
	gone     int  // of those that have not reported: their disks are lost
	awaited  bool // one that has not reported runs, and is waited for
}

func progressOf(stores *tierpb.StoreMembership, view *View) progress {
	move := progress{members: len(stores.GetPrevious()), allowed: view.Tolerance}
	for _, member := range stores.GetPrevious() {
		join, known := joinOf(member.Identity, view)
		switch {
		case known && join.Request.CopiedEpoch >= stores.Epoch:
			move.reported++
		case isGone(member, stores.Current):
			move.gone++
		case known && view.fresh(join) && isMoving(stores, view):
			move.awaited = true
		}
	}
	return move
}

// isEnough says whether what the previous members hold stands on enough of the current ones: a record is on more of
// the previous members than need not report. Where more disks are lost than that, all that is left has been handed on.
func (p progress) isEnough() bool {
	if p.members == 0 || p.reported == 0 && p.gone < p.members {
		return false
	}
	return p.members-p.reported <= max(p.allowed, p.gone)
}

// isMoving says whether records move and the move is not late.
func isMoving(stores *tierpb.StoreMembership, view *View) bool {
	return len(stores.GetPrevious()) > 0 && view.Now.Sub(view.MembershipSeen) < view.patience()
}

// isGone says that the disk of a previous member is lost: a current one at its address has another identity.
func isGone(member *tierpb.Node, current []*tierpb.Node) bool {
	return slices.ContainsFunc(current, func(node *tierpb.Node) bool {
		return node.Address == member.Address && node.Identity != member.Identity
	})
}

// finishMove drops the previous members when all but a tolerable number of them have handed on what they held. It
// waits a while for the others that run.
func finishMove(current *tierpb.ControlState, view *View) string {
	move := progressOf(current.Stores, view)
	if !move.isEnough() || move.awaited {
		return ""
	}
	return endMove(current, view, move)
}

// endMove drops the previous members and says why.
func endMove(current *tierpb.ControlState, view *View, move progress) string {
	current.Stores.Previous = nil
	completeRetirements(current, view)
	if move.gone > move.allowed {
		return reasonDisksLost
	}
	return reasonMoved
}

func joinOf(identity uint64, view *View) (Join, bool) {
	for _, join := range view.Joins {
		if join.Request.Node.Identity == identity {
			return join, true
		}
	}
	return Join{}, false
}
