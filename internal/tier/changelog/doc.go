// Package changelog records which configuration changes were committed, so that a change that is sent again is recognized
// and gets the same answer as before.
//
// Changes are committed one on top of the other: the If-Match of each is the generation of the one before. So at most one
// change was ever committed on top of a generation. A change is known not to have been committed if another one was
// committed on top of its If-Match, or none was although later ones were.
//
// # Layout
//
// The control state itself holds the most recent changes (ControlState.CommittedChanges) and references to segments of
// older ones (ControlState.OlderChanges). A segment has SegmentLength changes, never changes once complete, and is named by
// its digest. Coordinators keep segments beside the register in a SegmentStore and fetch missing ones from each other, so
// that the value of the register stays small. Changes from before the oldest referenced segment are compacted.
//
// # Usage
//
// Within a change of the register:
//
//	switch changelog.Classify(current, segments, change) {
//	case changelog.Applicable:
//		apply(current, change)
//		changelog.Append(current, change)
//	case changelog.Committed:
//		// acknowledge again
//	case changelog.Rejected:
//		// conflict: not committed, and never will be
//	default:
//		// SegmentMissing, Compacted: the outcome is unknown
//	}
package changelog
