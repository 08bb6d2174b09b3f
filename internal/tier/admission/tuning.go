package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// This file holds all tuning constants of the package, with their units and reasons. Most are shares or multiples of observed
// or configured values. A smoothing constant is the weight of a new sample in an exponential moving average.

// Latency distributions (latency.go).
const (
	// tailQuantile is the percentile used for deadlines and stall detection, as in the TailGuard paper.
	tailQuantile = 0.99
	// maxTailShare is the largest share of the time until the latency target that a store's tail latency may take off the
	// deadline, so that a slowdown that enters the distribution cannot use up all budgets.
	maxTailShare = 0.8
	// initialTailShare is the 99th percentile assumed before the first response, as a share of the latency target.
	initialTailShare = 0.5
	// unloadedShare is the share of a store's slots below which a request counts as sent to an unloaded store.
	unloadedShare = 0.5
	// baselineRise is the maximum rise of the latency baseline, as a share per second. It is slow so that a long overload does
	// not become the baseline.
	baselineRise = 0.01
	// recentHalfLife is the half-life of the response times that determine what counts as stalled under the current load.
	recentHalfLife = 2 * time.Second
)

// Concurrency limit (load.go).
const (
	// minInitialLimit is the smallest initial limit, in requests. The initial limit is the number of slots otherwise.
	minInitialLimit = 4.0
	// minLimitShare bounds the limit from below, as a share of the store's slots: other proxies may use less than their part.
	minLimitShare = 0.25
	// assumedSlots is the number of slots of a store for which it is neither reported nor configured.
	assumedSlots = 8
)

// Outlier detection (health.go).
const (
	// latencySmoothing smooths a store's response times: a slowdown shows after five responses.
	latencySmoothing = 0.2
	// recoverySmoothing smooths fast responses: the end of a hang shows after two.
	recoverySmoothing = 0.5
	// latencyHalfLife is the half-life of a store's excess latency ratio without new responses.
	latencyHalfLife = 10 * time.Second
	// serviceLatencySmoothing smooths the response times of all stores: a load on all of them shows after fifty responses.
	serviceLatencySmoothing = 0.02
	// toleratedLatencyRatio is the multiple of the usual response time up to which a store counts as normal.
	toleratedLatencyRatio = 1.6
	// failureHalfLife is the half-life of a store's failure rate: the weight of a failing store recovers without traffic, and
	// the store is then tested by a few requests.
	failureHalfLife = 5 * time.Second
	// maxLossRate is the rate of lost responses above which a store gets no requests that cannot be retried.
	maxLossRate = 0.1
	// lossHalfLife is the half-life of the loss rate. It is long because a lost response of a non-idempotent request ends its
	// program, and there are usually enough healthy stores.
	lossHalfLife = 20 * time.Second
	// hangTimeoutMultiple is the multiple of the stall timeout after which a store counts as hung: a cancelled request then counts
	// as lost, and a stalled store as ejected.
	hangTimeoutMultiple = 3.0
	// cancelWeight is the weight, as a failure, of a request cancelled just after the stall timeout, which may only have been
	// late. The weight grows with the time waited, up to 1.
	cancelWeight = 0.5
	// minWeight is the smallest weight in the round-robin: even the worst store keeps this share of its turns.
	minWeight = 0.015
	// healthyWeight is the weight below which a store is unhealthy, and the factor on the weight of a Suspect store.
	healthyWeight = 0.3
	// minBackoff and maxBackoff bound the backoff after a store rejected a request for lack of capacity.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// connectBackoff is the backoff from a store that could not be reached, or whose address has another instance (NotExecuted).
	connectBackoff = time.Second
)

// Slow start (slow_start.go).
const (
	// initialCapacity is the share of its capacity with which a store starts.
	initialCapacity = 0.25
	// assumedSlowStart is the assumed duration of a slow start of which only the end is known.
	assumedSlowStart = 4 * time.Second
)

// Load of stores (load.go).
const (
	// reportHalfLife is the half-life of a store's load report, which decays to the service's baseline.
	reportHalfLife = 300 * time.Millisecond
	// baselineHalfLife is the half-life of the baseline after the last report of any store.
	baselineHalfLife = time.Second
	// baselineSmoothing smooths load reports into the baseline, over about twenty reports.
	baselineSmoothing = 0.05
	// waitingCost is the weight of a request whose prompt is not processed yet, relative to one that is being answered.
	waitingCost = 4.0
)

// Selection and affinity (selection.go, affinity.go).
const (
	// affinityBoundFactor is the multiple of the mean load above which a store no longer keeps requests by affinity.
	affinityBoundFactor = 1.5
	// affinityBoundSlack is added to that bound, in requests, so that small differences in load do not matter.
	affinityBoundSlack = 6
	// spareShare is the share of a store's slots below which it has spare capacity: it is then preferred in its own zone, and
	// keeps requests by affinity if it is not an engine.
	spareShare = 0.4
	// failedStoreTTL is how long the requests of a program avoid a store that failed one of them.
	failedStoreTTL = 10 * time.Second
	// maxFailedStores bounds the number of programs for which a failed store is remembered.
	maxFailedStores = 2048
	// startedProgramsTTL is the minimum time for which a program is remembered as started.
	startedProgramsTTL = 20 * time.Second
	// maxStartedPrograms bounds the number of started programs remembered in each of two generations.
	maxStartedPrograms = 4096
)

// Load shedding and queueing (shedding.go, queue.go).
const (
	// missWindow is the sliding window of the miss rate.
	missWindow = 5 * time.Second
	// busyShare is the share of the service's slots in use below which nothing is shed.
	busyShare = 0.5
	// maxWaitDivisor bounds the expected queueing time of a new request to 1/maxWaitDivisor of its remaining time.
	maxWaitDivisor = 3
	// pollInterval is how often queues are checked while there are too few requests in flight to release them as they end.
	pollInterval = 20 * time.Millisecond
	// noStoreRetryAfter is the RetryAfter of rejections with NoStore: the next update of the stores may add one.
	noStoreRetryAfter = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the RetryAfter of all other rejections.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// priorityCount is the number of route priorities.
	priorityCount = 10
	// levelCount is the number of shedding levels: one for each priority, and one for the first requests of programs of each.
	levelCount = 2 * priorityCount
	// levelSmoothing smooths each level's share of the arrivals.
	levelSmoothing = 0.02
	// maxLevelShed is the share of a level's requests that is shed before any of the next more urgent level.
	maxLevelShed = 0.9
)

var (
	// limitRule adapts the concurrency limit: it grows while the smoothed response time is below 1.3 times the baseline, and
	// falls by a fifth while it is above twice the baseline.
	limitRule = tailguard.LimitRule{Min: 2, Max: 256, RiseBelow: 1.3, FallAbove: 2, FallFactor: 0.8}
	// sheddingRule sheds three times the share of misses in excess of 1.7%, after at least four misses. The shed share falls
	// by 0.15 per second.
	sheddingRule = tailguard.SheddingRule{MissRateThreshold: 0.017, MinMisses: 4, Gain: 3, FallPerSecond: 0.15}
	// lossRule smooths lost responses: a loss is remembered over many successes.
	lossRule = tailguard.FailureRule{FailureStep: 0.3, SuccessStep: 0.02}
	// failureRule smooths failures.
	failureRule = tailguard.FailureRule{FailureStep: 0.3, SuccessStep: 0.12}
)
