package turnstore

import "pulleygw.example/pulleygw/internal/tier/failpoint"

// Failpoints at which tests stop a turn store. Package storage has further ones.
const (
	pointBatchWritten     failpoint.Point = iota + 200 // a batch is written but not synced
	pointBatchSynced                                   // a batch is synced but not acknowledged
	pointCompactedSynced                               // a compacted file is synced under its temporary name
	pointCompactedDurable                              // a compacted file is durable; the files that it replaces still exist
	pointMembershipSaved                               // a newer membership is on disk; its rebalance has not begun
	pointBatchTransferred                              // a batch of keys was transferred
	pointRebalanceDone                                 // a rebalance is complete but not reported
	lastPoint             = pointRebalanceDone
)
