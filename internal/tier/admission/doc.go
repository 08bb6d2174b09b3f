// Package admission decides, within one proxy, when each request is sent, to which store of its service, and which requests
// are rejected. It implements TF-EDFQ (TailGuard: Wang et al., "TailGuard: Tail Latency SLO Guaranteed Task Scheduling for
// Data-Intensive User-Facing Applications") for a fan-out of one, combined with store selection, outlier detection, an
// adaptive concurrency limit and load shedding.
//
// # Usage
//
// A proxy creates one Dispatcher, calls SetStores whenever the stores of a service change, and calls Acquire for each attempt
// of each request. Acquire blocks while the request is queued and returns a Grant or a RejectedError. The holder of a Grant
// sends the request to Grant.Store, calls ReportLoad and ReportFirstByte as the response arrives, and calls Finish exactly
// once with the Outcome. The health of a store is derived from these calls and from its State alone: health checks are
// passive, no probes are sent.
//
// All decisions are made by core, a state machine that gets the current time as an argument and does no I/O. Dispatcher adds
// a lock and a timer. The code is organized as follows:
//
//	selection.go   selection of a store: tiers, and the order within a tier
//	affinity.go    affinity of programs and sessions to a store, and its limits
//	health.go      outlier detection: weights, stalls and backoff of stores, and recovery
//	ejection.go    reporting of ejections to operators
//	slow_start.go  capacity of a store that has just started
//	load.go        load of a store and its concurrency limit
//	latency.go     response time distributions of stores and of the service
//	queue.go       deadlines, order of release, and requests that can no longer meet their timeout
//	shedding.go    load shedding
//	tuning.go      all tuning constants, with units and reasons
//
// # Deadline and order of release
//
// A request gets one queueing deadline on arrival: its arrival time plus the route's latency target minus the 99th percentile
// of the selected store's unloaded response times (tailguard.QueueingDeadline). It is sent at once if the selected store has
// capacity, and joins that store's queue otherwise. Queues are released earliest deadline first, after any requests that had no
// positive budget left on arrival. A store that has capacity and an empty queue also takes the request with the earliest
// deadline from the heads of the other stores' queues. A queued request is rejected (DeadlineUnreachable) once even a median
// response would arrive after its timeout.
//
// # Selection
//
// For each request the stores are sorted into tiers, and a store of the best non-empty tier is selected (store.tierFor):
//
//  1. available: healthy, not stalled, with capacity
//  2. saturated: healthy and not stalled, but without capacity; the request waits in the queue
//  3. unhealthy: low weight, stalled, or it recently failed a request of the same program
//  4. backoff: it recently rejected a request or could not be reached
//  5. attempted: an earlier attempt of this request was sent there
//
// Draining and deregistered stores are excluded. Within a tier, stores in the proxy's own zone that have spare capacity come
// first, then the store with the highest rendezvous hash for the request's affinity, then weighted round-robin.
//
// # Ejection and return
//
// An ejected store gets no requests while better stores are available. If all stores of a service are in backoff, its
// requests are queued. The rules are in health.go:
//
//   - The weight of a failing or slow store falls (store.weight): with the cube of its success rate, and with the square of
//     its response time relative to 1.6 times the usual one. Below 0.3 the store is unhealthy. A store whose heartbeats are
//     late (Suspect) has 0.3 of its weight.
//   - A store is stalled, and counts as unhealthy, while its oldest request has waited for its first byte for longer than the
//     99th percentile of response times (store.stalled).
//   - After a rejection (Saturated) a store is in backoff for the median response time, within 50 to 400 ms. After a failed
//     connection or NotExecuted it is in backoff for 1 s (store.recordOutcome).
//   - Requests that are neither idempotent nor streams avoid a store that recently lost responses (store.avoidedFor).
//
// The weight recovers with each success, and over time: the failure rate has a half-life of 5 s, the latency ratio of 10 s
// and the loss rate of 20 s. Meanwhile an unhealthy store is tested with idempotent requests, one at a time, as by a
// half-open circuit breaker (store.avoidedFor).
//
// # Load shedding
//
// When the share of requests that missed their deadline in the last 5 s exceeds a threshold, a share of the new requests is
// rejected with Shed: lower priorities first, and the first requests of programs before those of programs under way. A
// request counts as a miss if it passes its deadline in the queue. It also counts as a miss if it was sent in time to a store
// that was already loaded, and its response begins after the latency target: waiting in a store's own queue is load that the
// proxy's queues do not show. A request that would be queued for more than a third of its remaining time is rejected with
// QueueTooLong. A request whose response has started is never shed.
//
// # Reporting to operators
//
// A store counts as ejected while it is unreachable, stalled or unhealthy. Options.OnHealthChange is called for each ejection
// and each return, and two metrics count them by instance and reason (ejection.go). Backoff for lack of capacity does not
// count as an ejection.
package admission
