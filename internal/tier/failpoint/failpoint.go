// Package failpoint lets tests stop a process at numbered points of its code, like FreeBSD's fail(9) and etcd's gofail.
//
// Code under test holds a *Points and calls At at each failpoint:
//
//	if err := failpoints.At(failpoint.PrepareUnsaved); err != nil {
//		return err
//	}
//
// Outside tests the *Points is nil, and At on a nil *Points does nothing. After At has returned an error, the process must
// not write, send or acknowledge anything; the caller of the interrupted operation gets an error and cannot tell whether the
// operation took effect. Failpoints that other packages define are numbered from 200.
package failpoint

import "github.com/rotisserie/eris"

// Point numbers one failpoint.
type Point int

// The failpoints of a change of the register, in the order in which a change passes them. Each save, between an Unsaved and
// a Saved failpoint, passes all Version failpoints. VotersJoint belongs to a change of the voters, IdentityUnsaved to the
// initialization of an acceptor.
const (
	PrepareSending      Point = iota + 1 // proposer: before the first prepare of an attempt is sent
	PrepareUnsaved                       // acceptor: a prepare is granted, nothing of it is written
	PrepareSaved                         // acceptor: the prepare is on disk, the reply is not sent
	PrepareDone                          // proposer: a quorum has prepared the proposal, no accept is sent
	AcceptSending                        // proposer: before each accept is sent
	AcceptUnsaved                        // acceptor: nothing of an accept is written
	AcceptSaved                          // acceptor: the value is on disk, the reply is not sent
	AcceptDone                           // proposer: the value is chosen, the caller has no result yet
	VersionCreated                       // storage: the temporary file exists, empty
	VersionWritten                       // storage: the temporary file is written, not synced
	VersionSynced                        // storage: the temporary file is synced, not renamed
	VersionRenamed                       // storage: the file is renamed, the directory is not synced
	VersionFolderSynced                  // storage: the new version is durable, the old one still exists
	VersionRemoved                       // storage: the old version is removed, the directory is not synced
	VotersJoint                          // proposer: the joint voters are chosen, the final ones not proposed
	IdentityUnsaved                      // acceptor: all but the new identity is saved, which comes last
	LastRegisterPoint   = IdentityUnsaved
)

// The failpoints of a change by placement. Such a change also passes those of the register.
const (
	PlacementDecided Point = LastRegisterPoint + 1 + iota // lease holder: the change is computed, nothing of it is sent
)

// ErrStopped is returned by code that was stopped at a failpoint. The process is to be treated as crashed.
var ErrStopped = eris.New("stopped at a failpoint")

// Points configures at which failpoints a process stops.
type Points struct {
	// ShouldStop is called whenever a failpoint is passed, possibly concurrently; true stops the process there. A nil
	// ShouldStop never stops it.
	ShouldStop func(Point) bool
}

// At returns ErrStopped if the process is to stop at this failpoint, otherwise nil. On a nil receiver it returns nil.
func (p *Points) At(point Point) error {
	if p == nil || p.ShouldStop == nil || !p.ShouldStop(point) {
		return nil
	}
	return ErrStopped
}
