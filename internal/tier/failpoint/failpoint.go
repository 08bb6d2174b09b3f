// Package failpoint numbers the points at which tests stop a process. Outside tests no Points exist, and At on a nil
// Points does nothing.
package failpoint

import "github.com/rotisserie/eris"

// Point numbers one place in the code.
type Point int

// The points, in the order in which a change passes them.
const (
	PrepareSending      Point = iota + 1 // proposer: before the first prepare leaves
	PrepareUnsaved                       // acceptor: a promise was granted, nothing is written
	PrepareSaved                         // acceptor: the promise is on disk, the answer is not sent
	PrepareDone                          // proposer: a quorum has promised, no accept has left
	AcceptSending                        // proposer: before each single accept leaves
	AcceptUnsaved                        // acceptor: nothing of an acceptance is written
	AcceptSaved                          // acceptor: the value is on disk, the answer is not sent
	AcceptDone                           // proposer: the value is chosen, the caller does not know yet
	VersionCreated                       // storage: the file exists aside, empty
	VersionWritten                       // storage: written, not synced
	VersionSynced                        // storage: synced, still under the name aside
	VersionRenamed                       // storage: renamed, the folder is not synced
	VersionFolderSynced                  // storage: durable, the old version is still there
	VersionRemoved                       // storage: the old version is removed, which is not synced
	VotersJoint                          // proposer: the joint voters are chosen, the final ones not proposed
	IdentityUnsaved                      // acceptor: the first start has written the initial value only
	LastPoint           = IdentityUnsaved
)

// The points of a change by placement, which passes those of the register's change as well.
const (
	PlacementDecided Point = LastPoint + 1 + iota // holder of the lease: a change is computed, nothing of it has left
)

// ErrStopped is returned by the code that was stopped at a point; its process counts as dead.
var ErrStopped = eris.New("stopped at a fault point")

// Points decides at each point whether the process stops there.
type Points struct {
	// ShouldStop is asked at each point that is passed; true stops the process.
	ShouldStop func(Point) bool
}

// At returns ErrStopped where a test stops the process, otherwise nil.
func (p *Points) At(point Point) error {
	if p == nil || p.ShouldStop == nil || !p.ShouldStop(point) {
		return nil
	}
	return ErrStopped
}
