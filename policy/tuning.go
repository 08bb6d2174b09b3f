package policy

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// The tuning constants. Most are ratios of observed or configured values, or times that hold for any
// cluster.

// Steps and surveys.
const (
	// A wake-up later than this is a stall of this process. Shorter delays are ordinary load.
	minStall = 200 * time.Millisecond
	// The longest time between sweeps: far below any latency target, yet cheap in CPU.
	sweepInterval = 10 * time.Millisecond
	// The time between surveys of all servers: below any latency, yet cheap in CPU.
	surveyInterval = 100 * time.Millisecond
)

// Deadlines.
const (
	// Percentile of a fan-out's latency on unloaded servers that its deadline allows for, as in the TailGuard
	// paper.
	tailPercentile = 0.99
	// The largest fraction of the latency target that the tail takes: a slowdown in the recorded latencies
	// must not consume all of it.
	maxTailFraction = 0.6
	// Tail latency assumed before the first answer, as a fraction of the latency target.
	initialTailFraction = 0.5
	// Ticks reserved for a reply or a second step: one to send, one to receive, and two to spare.
	replyMarginTicks = 4
	// Rounding error of sums of subquery weights, and the smallest divisor.
	epsilon = 0.00005
)

// Latency, load and failures of servers.
const (
	// A server with this many of our subqueries in flight counts as loaded: its latencies stay out of the
	// histograms.
	loadedInFlight = 2
	// Concurrency cap of a new server. At low load nothing is queued.
	initialCap = 4.0
	// How fast the baseline of the concurrency caps may rise, as a fraction per second.
	baselineRise = 0.01

	// Smoothing of latencies: five answers show a slowdown.
	latencyWeight = 0.2
	// Smoothing of latencies for a fast answer: two show that a hang is over.
	recoveryWeight = 0.5
	// At this age the smoothed latency counts no more than a new answer: an instance that sends little gets
	// few.
	staleLatencyAge = 5 * time.Second
	// Half-life of a server's latency without new answers.
	latencyHalfLife = 10 * time.Second
	// A server is slow if its latency exceeds this multiple of the median of the servers. Differences up to
	// this are ordinary.
	slowMultiple = 1.6
	// Window over which the throughput of the servers is measured. It is shorter just after start.
	throughputWindow = 10 * time.Second

	// Failure rate above which a server is logged as failing, and the rate below which it is logged as
	// recovered.
	failingAbove = 0.5
	failingBelow = 0.1
	// Half-life of a failure rate. As the rate decays, the server is tested with a few subqueries.
	failureHalfLife = 5 * time.Second
	// Weight, as a failure, of a cancelled attempt that was overdue: it may only have been late. Where the
	// half-life of records is longer there is no second observation, and the weight grows up to the maximum.
	cancelWeight    = 0.5
	maxCancelWeight = 1.5
	// The half-life of a server's record spans this many further subqueries sent to it, up to the maximum.
	halfLifeSubqueries = 4.0
	maxHalfLife        = 30 * time.Second
	// The fraction of its turns that the least healthy server keeps, so that its recovery is noticed.
	minWeight = 0.015
	// Below this weight a server is unhealthy.
	healthyWeight = 0.3

	// Longest back-off, in seconds, from a server that rejected a subquery.
	maxRejectBackoff = 2.0
	// Smoothing of error rates: some twenty subqueries show one.
	errorWeight = 0.05
	// An error faster than this fraction of the median latency costs hardly more than sending the attempt.
	fastErrorFraction = 0.25

	// With this many instances or more, each sends to any one server rarely.
	manyInstancesFrom = 8
	// Largest relative standard deviation of the number of instances per server that random subsets may cause.
	// A larger one is noticeable in the servers' queues.
	maxSubsetDeviation = 0.1
)

// The retry budget where none is configured, and hedging.
const (
	// Further attempts allowed in any span, and in addition for each query and subquery received in it. The
	// ratio lets a fifth of the subqueries be slow.
	defaultBudgetFree  = 10.0
	defaultBudgetRatio = 0.30
	defaultBudgetSpan  = 10 * time.Second
	// Once no more than this fraction of a query's subqueries is missing, they may be hedged to an unhealthy
	// server.
	lastSubqueriesFraction = 0.125
)

// Load shedding.
const (
	// Window of the miss rate: long enough for evidence at low rates, short enough to recover.
	missWindow = 1500 * time.Millisecond
	// Step by which the excess latency of servers follows an answer: some ten answers show a queue.
	excessWeight = 0.2
	// Half-life of the excess latency: an instance that sends little learns little between queries.
	excessHalfLife = 8 * time.Second
	// Percentile of a fan-out's latency: a client with less time left would time out.
	feasiblePercentile = 0.75
	// Smoothing of the subqueries per value of a query: twenty queries show the mix.
	costWeight = 0.05
	// Range of the back-off that a rejected client is asked for.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// Idle connections.
const (
	// A connection unused for this long counts as idle.
	minIdleTime = 300 * time.Millisecond
	// Smoothing of the loss rates on idle and on busy connections.
	lossWeight = 0.02
	// Idle connections are taken for dead if their loss rate is above the minimum and above this multiple of
	// the loss rate on busy connections.
	minIdleLossRate  = 0.15
	idleLossMultiple = 3.0
)

// Zones.
const (
	// An answer later than this multiple of the median latency is slow, perhaps because of the network.
	lateMultiple = 3.0
	// A zone is suspect after this many slow outcomes in a row.
	suspectOutcomes = 6
	// Time between health checks of a suspect zone.
	zoneCheckInterval = 200 * time.Millisecond
	// A zone is unreachable after this many failed health checks in a row.
	unreachableChecks = 3
	// A successful health check clears the zone of suspicion for this time.
	zoneReachableFor = 2 * time.Second
)

// Poison queries.
const (
	// Window in which crashes of servers are counted.
	crashWindow = 10 * time.Second
	// The crash alarm is raised when this many servers have crashed. Fewer may be a coincidence.
	crashAlarmServers = 3
	// During the crash alarm, queries of this many subqueries or more send a single one first.
	proofSubqueries = 3
	// If that subquery has no answer after this multiple of the median latency, the next one is sent.
	proofWaitMultiple = 2.0
	// A query at which servers crashed this often is poison: once with all its subqueries in flight and once
	// with a single one is no coincidence.
	poisonCrashes = 2
	// How long queries with the fingerprint of a poison query are rejected: several retries of a client.
	poisonRetention = 20 * time.Second
)

// The parameters of the rules shared with other admission stages.
var (
	// The minimum allows one subquery that runs and one on its way. Above the maximum, the server's queue
	// would decide the order and not the scheduler's.
	capRule = tailguard.LimitRule{Min: 2, Max: 32, RiseBelow: 1.3, FallAbove: 2, FallFactor: 0.8}
	// Three failures in a row halve the weight. Successes count less, as a server may answer some subqueries
	// and fail fast on others.
	failureRule = tailguard.FailureRule{FailureStep: 0.3, SuccessStep: 0.12}
	// The threshold is that of the TailGuard paper. The rejected fraction falls slowly enough that even a
	// small instance receives queries while it falls.
	sheddingRule = tailguard.SheddingRule{MissRateThreshold: 0.017, MinMisses: 4, Gain: 3, FallPerSecond: 0.15}
)
