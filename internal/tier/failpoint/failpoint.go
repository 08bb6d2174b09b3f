// Package failpoint lets tests stop a process at numbered points of its code, in the manner of FreeBSD's fail(9) and of
// etcd's gofail.
//
// Code under test holds a *Points and passes each point explicitly:
//
//	if err := failpoints.At(failpoint.PrepareUnsaved); err != nil {
//		return err
//	}
//
// Outside tests the *Points is nil, and At on a nil *Points does nothing. A process that At stops must not write, send or
// acknowledge anything afterwards; the error reaches its caller as a failure with an unknown outcome. Other packages number
// failpoints of their own from 200 on.
package failpoint

import "github.com/rotisserie/eris"

// Point numbers one failpoint.
type Point int

// The failpoints of a change of the register, in the order in which a change passes them. The points of a
// version lie within each save, between Unsaved and Saved; the last two are those of a reconfiguration and a first start.
const (
	PrepareSending      Point = iota + 1 // proposer: before the first prepare is sent
	PrepareUnsaved                       // acceptor: a prepare is granted, nothing is written
	PrepareSaved                         // acceptor: the prepare is on disk, the reply is not sent
	PrepareDone                          // proposer: a quorum has prepared the proposal, no accept is sent
	AcceptSending                        // proposer: before each single accept is sent
	AcceptUnsaved                        // acceptor: nothing of an accept is written
	AcceptSaved                          // acceptor: the value is on disk, the reply is not sent
	AcceptDone                           // proposer: the value is chosen, the caller has no result yet
	VersionCreated                       // storage: the temporary file exists, empty
	VersionWritten                       // storage: the temporary file is written, not synced
	VersionSynced                        // storage: the temporary file is synced, not renamed
	VersionRenamed                       // storage: the file is renamed, the folder is not synced
	VersionFolderSynced                  // storage: the new version is durable, the old one still exists
	VersionRemoved                       // storage: the old version is removed, the folder is not synced
	VotersJoint                          // proposer: the joint voters are chosen, the final ones not proposed
	IdentityUnsaved                      // acceptor: the first start has written the initial value only
	LastRegisterPoint   = IdentityUnsaved
)

// The failpoints of a change by placement, which passes those of the register as well.
const (
	PlacementDecided Point = LastRegisterPoint + 1 + iota // lease holder: a change is computed, nothing of it is sent
)

// ErrStopped is returned by code that was stopped at a failpoint. Its process counts as dead.
var ErrStopped = eris.New("stopped at a failpoint")

// Points decides at each failpoint whether the process stops there.
type Points struct {
	// ShouldStop is called at each failpoint that is passed, from any goroutine; true stops the process. Nil never stops.
	ShouldStop func(Point) bool
}

// At returns ErrStopped if the process is to stop at this point, otherwise nil. A nil receiver is valid and never stops.
func (p *Points) At(point Point) error {
	if p == nil || p.ShouldStop == nil || !p.ShouldStop(point) {
		return nil
	}
	return ErrStopped
}
