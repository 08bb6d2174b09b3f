// Package admission decides, in one proxy, when each request leaves and for which store of its service, and which requests
// are rejected. It implements TF-EDFQ (TailGuard: Wang et al., "TailGuard: Tail Latency SLO Guaranteed Task Scheduling for
// Data-Intensive User-Facing Applications") for a fan-out of one, together with store selection, outlier detection, an
// adaptive concurrency limit and load shedding.
//
// # Usage
//
// A proxy makes one Dispatcher, passes it the stores of each service with SetStores whenever they change, and calls Acquire
// for each attempt of each request. Acquire blocks while the request is queued and returns a Grant or a RejectedError. The
// holder of a Grant sends the request to Grant.Store, calls ReportLoad and ReportFirstByte as the response arrives, and
// calls Finish exactly once with the Outcome. Everything that is known of a store's health is learned from these calls and
// from its State; nothing is sent for the purpose (passive health checks only).
//
// All decisions are made by core, a state machine that is passed the time and does no I/O. Dispatcher adds one lock and one
// timer. The decisions are found in:
//
//	selection.go   which store a request goes to: tiers, and the order within a tier
//	affinity.go    which store keeps the requests of a program or session, and when another takes them
//	health.go      outlier detection: when a store is ejected or backed off from, and when it comes back
//	slow_start.go  the capacity of a store that has just started
//	load.go        the load of a store and the concurrency limit
//	latency.go     response time distributions of stores and of the service
//	queue.go       deadlines, the order of release, and requests whose deadline cannot be met any more
//	shedding.go    load shedding
//	tuning.go      every tuned value, with its unit and reason
//
// # Deadline and order of release
//
// A request is given one deadline when it arrives: its arrival plus the route's latency target minus the 99th percentile of
// the selected store's unloaded response times (tailguard.Stamp). It is sent at once when the selected store has capacity,
// and joins that store's queue otherwise. Queues are released earliest deadline first; requests that had no positive budget
// left when they arrived go ahead of all. A store with capacity and an empty queue also takes the earliest request at the
// head of another store's queue. A request leaves its queue with a rejection when not even a median response would arrive
// before its end (DeadlineUnreachable).
//
// # Selection
//
// Stores are sorted into tiers for each request, and the best tier that has a store is used (store.tierFor):
//
//  1. available: healthy, not stalled, with capacity
//  2. saturated: the same without capacity; the request waits in the queue
//  3. unhealthy: low weight, stalled, or it has recently failed this request's program
//  4. backoff: it rejected a request, or could not be reached, a moment ago
//  5. attempted: an earlier attempt of this request was sent there
//
// Draining and deregistered stores are excluded. Within a tier stores of the proxy's own zone with spare capacity go first,
// then the store with the highest rendezvous hash for the request's affinity, then weighted round-robin.
//
// # Ejection and return
//
// An ejected store is passed over while there are better ones. While all stores of a service are in backoff, its requests
// are queued. All of it is in health.go:
//
//   - A failing or slow store's weight falls (store.weight): by the cube of its success rate and by the square of its
//     response time, as a multiple of 1.6 times what is usual. Below 0.3 it is unhealthy and falls to the unhealthy tier. A store
//     whose heartbeats are late (Suspect) has 0.3 of its weight.
//   - A store is stalled, and in the unhealthy tier, while its oldest request has waited for its first byte for longer than the
//     99th percentile of response times (store.stalled).
//   - After a rejection (Saturated) a store is in backoff for the median response time, 50 to 400 ms. After a failed connection
//     or NotExecuted it is in backoff for 1 s (store.recordOutcome).
//   - Requests that are neither idempotent nor streams avoid a store that has recently lost responses (store.avoidedFor).
//
// The weight comes back with successes, and by itself: the failure rate has a half-life of 5 s, the latency ratio of 10 s and
// the loss rate of 20 s. An unhealthy store is tested meanwhile by idempotent requests, one at a time, as by a half-open
// circuit breaker (store.avoidedFor).
//
// # Load shedding
//
// When the share of requests that missed their deadline in the last 5 s exceeds a threshold, a share of the new requests is
// rejected with Shed: the lowest priority first, and the first requests of programs before those of programs under way. A
// request misses its deadline in the queue, or by a response that begins after the latency target although it was sent in
// time, where the store was loaded already: a store's own queue is load that no queue of the proxy shows. A
// request is rejected with QueueTooLong where it would wait for more than a third of the time that it has. A request whose
// response has started is never shed.
//
// # What operators see
//
// A store that is unreachable, stalled or unhealthy counts as ejected until it is none of these: Options.OnHealthChange is told
// of both, and two metrics count them by instance and reason (ejection.go). Backoff for want of capacity is no ejection.
package admission
