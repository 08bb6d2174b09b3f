// Package registry parses the heartbeats of stores and detects stores that have stopped sending them.
//
// A store registers by a heartbeat (ParseHeartbeat) and repeats it in each period with a higher sequence. The list of
// instances itself is a watch.State, which merges and distributes it. A coordinator passes that list to a
// FailureDetector at intervals and merges what the detector returns:
//
//	ready ──no heartbeat for suspectPeriods──► suspect ──none for ExpireAfter──► deregistered
//	  ▲                                           │
//	  └───────────── next heartbeat ──────────────┘
//
// As in SWIM (Das et al., 2002), suspect is not final: an instance that was slow, or that one coordinator could not
// hear, is ready again with its next heartbeat. Draining and deregistered are final.
package registry
