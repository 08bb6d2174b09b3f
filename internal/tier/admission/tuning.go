package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// Every tuned value of this package, with its unit and reason. They are shares and multiples of what is observed or
// configured, or times of human scale. A smoothing is the weight of a new sample in an exponential moving average.

// Latency distributions (latency.go).
const (
	// tailQuantile is the percentile that deadlines and stall detection use, as in the TailGuard paper.
	tailQuantile = 0.99
	// maxTailShare is the largest share of the time until the latency target that a store's tail takes off the deadline: a
	// slowdown in the distribution must not use up all budgets.
	maxTailShare = 0.8
	// initialTailShare places the 99th percentile assumed before any response, as a share of the latency target.
	initialTailShare = 0.5
	// unloadedShare is the share of a store's slots below which a request counts as sent to an unloaded store.
	unloadedShare = 0.5
	// baselineRise is how fast, as a share per second, the baseline that response times are compared with may rise. It is slow
	// so that a long overload does not become the baseline.
	baselineRise = 0.01
	// recentHalfLife is the half-life of the response times that say what counts as stalled under the present load.
	recentHalfLife = 2 * time.Second
)

// Concurrency limit (load.go).
const (
	// minInitialLimit is the smallest initial limit, in requests. It starts at the store's slots otherwise.
	minInitialLimit = 4.0
	// minLimitShare is the share of a store's slots below which its limit does not fall: the other proxies may use less than
	// their part.
	minLimitShare = 0.25
	// assumedSlots is the number of slots of a store that neither reports nor configures it.
	assumedSlots = 8
)

// Outlier detection (health.go).
const (
	// latencySmoothing is the smoothing of a store's response times: five responses show a slowdown.
	latencySmoothing = 0.2
	// recoverySmoothing is the smoothing of a fast response: two show that a hang is over.
	recoverySmoothing = 0.5
	// latencyHalfLife is the half-life of a store's excess latency ratio without new responses.
	latencyHalfLife = 10 * time.Second
	// fleetLatencySmoothing is the smoothing of all stores' response times: fifty responses show a load that all have.
	fleetLatencySmoothing = 0.02
	// toleratedLatencyRatio is the multiple of the usual response time up to which stores differ ordinarily.
	toleratedLatencyRatio = 1.6
	// failureHalfLife is the half-life of a store's failure rate: its weight comes back by itself, and the store is tested
	// by a trickle of requests.
	failureHalfLife = 5 * time.Second
	// maxLossRate is the rate of lost responses above which a store gets no request that could not be sent again.
	maxLossRate = 0.1
	// lossHalfLife is the half-life of the loss rate. It is long: a lost response of a request that is not idempotent ends its
	// program, and there are many healthy stores.
	lossHalfLife = 20 * time.Second
	// hungTailMultiple is the multiple of the stall time-out after which a cancelled request counts as lost.
	hungTailMultiple = 3.0
	// cancelWeight is the weight, as a failure, of a request that was cancelled after the stall time-out: it was perhaps only
	// late. It grows with the time waited, up to 1.
	cancelWeight = 0.5
	// minWeight is the share of its round-robin turns that the worst store keeps.
	minWeight = 0.015
	// healthyWeight is the weight below which a store is unhealthy, and the factor on the weight of a Suspect one.
	healthyWeight = 0.3
	// minBackoff and maxBackoff bound the time for which a store that rejected a request gets none.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// connectBackoff is the backoff from a store that could not be reached, or is another instance (NotExecuted).
	connectBackoff = time.Second
)

// Slow start (slow_start.go).
const (
	// initialCapacity is the share of its capacity that a store has at its start.
	initialCapacity = 0.25
	// assumedSlowStart is the assumed length of a slow start of which only the end is known.
	assumedSlowStart = 4 * time.Second
)

// Load of stores (load.go).
const (
	// reportHalfLife is the half-life of a store's load report, which decays to the service's baseline.
	reportHalfLife = 300 * time.Millisecond
	// baselineHalfLife is the half-life of the baseline itself after the last report of any store.
	baselineHalfLife = time.Second
	// baselineSmoothing is the smoothing of the reports that make the baseline: twenty reports.
	baselineSmoothing = 0.05
	// waitingCost is the weight of a request whose prompt is still to be read, as a multiple of one that is being answered.
	waitingCost = 4.0
)

// Selection and affinity (selection.go, affinity.go).
const (
	// affinityBoundFactor is the multiple of the mean load above which a store passes on requests that have an affinity to it.
	affinityBoundFactor = 1.5
	// affinityBoundSlack is added to that bound, in requests, so that small differences do not matter.
	affinityBoundSlack = 6
	// spareShare is the share of a store's slots below which it has spare capacity: the local zone goes first, and a store
	// that is no engine keeps its affinity.
	spareShare = 0.4
	// failedStoreSpan is the time for which the requests of a program keep away from the store that failed one of them.
	failedStoreSpan = 10 * time.Second
	// maxFailedStores bounds the programs remembered for that.
	maxFailedStores = 2048
	// startedProgramsSpan is the least time for which a program is remembered as started.
	startedProgramsSpan = 20 * time.Second
	// maxStartedPrograms bounds the programs remembered for that, in each of two generations.
	maxStartedPrograms = 4096
)

// Load shedding and queueing (shedding.go, queue.go).
const (
	// missWindow is the sliding window of the miss rate.
	missWindow = 5 * time.Second
	// busyShare is the share of the service's slots in use below which nothing is shed.
	busyShare = 0.5
	// maxWaitDivisor bounds the expected time in the queue of a new request to 1/maxWaitDivisor of the time that it has.
	maxWaitDivisor = 3
	// pollInterval is how often queues are looked at while few requests are in flight, as their ends release queues otherwise.
	pollInterval = 20 * time.Millisecond
	// noStoreRetryAfter is the RetryAfter where there is no store: the next update of the stores may bring one.
	noStoreRetryAfter = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the RetryAfter of all other rejections.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// priorityCount is the number of route priorities.
	priorityCount = 10
	// levelCount is the number of shedding levels: each priority's, and each priority's for the first requests of programs.
	levelCount = 2 * priorityCount
	// levelSmoothing is the smoothing of each level's share of the arrivals.
	levelSmoothing = 0.02
	// maxLevelShed is the share of a level's requests that is shed before the next more urgent level's.
	maxLevelShed = 0.9
)

var (
	// limitRule adapts the concurrency limit: it grows while the smoothed response time is below 1.3 times the baseline, and
	// falls by a fifth where it is above twice the baseline.
	limitRule = tailguard.LimitRule{Min: 2, Max: 256, Near: 1.3, Far: 2, Fall: 0.8}
	// sheddingRule sheds three times the share of misses that exceeds 1.7%, given four misses; the share falls by 0.15 a second.
	sheddingRule = tailguard.SheddingRule{Share: 0.017, Least: 4, Gain: 3, Fall: 0.15}
	// lossRule smooths lost responses: one loss is remembered for many successes.
	lossRule = tailguard.FailureRule{Up: 0.3, Down: 0.02}
	// failureRule smooths failures.
	failureRule = tailguard.FailureRule{Up: 0.3, Down: 0.12}
)
