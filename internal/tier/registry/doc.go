// Package registry parses the heartbeats of stores and detects stores that have stopped sending them.
//
// A store registers with a heartbeat (ParseHeartbeat) and repeats it in each period with a higher sequence number. The list
// of instances itself is a watch.State, which merges and distributes it. At intervals a coordinator passes that list to a
// FailureDetector and merges the updated instances that the detector returns:
//
//	ready ──no heartbeat for suspectPeriods──► suspect ──none for ExpireAfter──► deregistered
//	  ▲                                           │
//	  └───────────── next heartbeat ──────────────┘
//
// As in SWIM (Das et al., 2002), the state suspect is not final: an instance that was slow, or whose heartbeats did not
// reach a coordinator, is ready again with its next heartbeat. Draining and deregistered are final.
package registry
