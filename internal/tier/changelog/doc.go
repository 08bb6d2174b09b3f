// Package changelog records which configuration changes were committed, so that a change that is sent again is recognized
// and gets the same reply as before.
//
// Each committed change is based on the one before: its If-Match is the generation of its predecessor. So at most one change
// can be committed for each If-Match. A change was certainly not committed if another change was committed for its If-Match,
// or if no change was committed for its If-Match although the current generation is higher.
//
// # Layout
//
// The control state itself contains the most recent changes (ControlState.CommittedChanges) and references to segments of
// older ones (ControlState.OlderChanges). A segment consists of SegmentLength changes, is immutable, and is identified by
// its digest. To keep the value of the register small, coordinators store segments outside the register, in a SegmentStore,
// and fetch missing ones from each other. Changes older than the oldest referenced segment are compacted: they are no
// longer known.
//
// # Usage
//
// In a change function of the register:
//
//	switch changelog.Classify(current, segments, change) {
//	case changelog.Applicable:
//		apply(current, change)
//		changelog.Append(current, change)
//	case changelog.Committed:
//		// acknowledge the change again
//	case changelog.Rejected:
//		// conflict: not committed, and never will be
//	default:
//		// SegmentMissing, Compacted: the outcome is unknown
//	}
package changelog
