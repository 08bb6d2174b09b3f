package turnstore

import "pulleygw.example/pulleygw/internal/tier/failpoint"

// Points at which tests stop a turn store. Those of package storage come on top.
const (
	pointBatchWritten    failpoint.Point = iota + 200 // a batch is written, not synced
	pointBatchSynced                                  // a batch is synced, nobody knows
	pointMergedSynced                                 // a merged file is synced under its name aside
	pointMergedDurable                                // a merged file is durable, what it replaces is still there
	pointMembershipSaved                              // a newer membership is on disk, its pass has not begun
	pointMoved                                        // a part of a pass was handed on
	pointPassDone                                     // a pass is over, nothing is reported
	lastPoint            = pointPassDone
)
