package policy

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// The tuned values, each with its reason: ratios of what is observed or configured, or times of human scale.

// Steps and surveys.
const (
	stallLeast = 200 * time.Millisecond // a wake-up so late is a stall of our own process, not a busy moment
	pace       = 10 * time.Millisecond  // between sweeps: far below any latency target, cheap in CPU
	surveyGap  = 100 * time.Millisecond // between surveys of all servers: below any latency, cheap
)

// Deadlines.
const (
	tail            = 0.99    // percentile of the fan-out's unloaded tail, as in the TailGuard paper
	maxTailFraction = 0.6     // of the latency target: a slowdown in the records must not consume all of it
	startTail       = 0.5     // of the latency target: 99th percentile assumed before any answer
	stepTicks       = 4       // left to a second step: to send, to receive, and as many to spare
	weightSlip      = 0.00005 // rounding error of subquery weights
)

// Latency, load and failures of servers.
const (
	quietOut = 2    // a latency enters the histograms if fewer of ours were in flight: the server was unloaded
	capStart = 4.0  // cap of a new server: nothing is queued on a quiet day
	baseRise = 0.01 // per second: how fast the baseline of the caps may rise

	latencyWeight   = 0.2              // smoothing of latencies: five answers show a slowdown
	latencyRecovery = 0.5              // of a fast answer: two show that a hang is over
	latencyStale    = 5 * time.Second  // at this age a latency counts half: small instances send seldom
	latencyHalf     = 10 * time.Second // half-life of a latency without new answers
	slowSlack       = 1.6              // times the median of the servers: up to this, differences are ordinary
	usualSpan       = 10 * time.Second // window of the servers' throughput; less after the start of an instance

	failingAbove  = 0.5              // the log says failing above this failure rate ...
	failingBelow  = 0.1              // ... and recovered below this
	failureHalf   = 5 * time.Second  // half-life of a failure rate: then the server is tested by a trickle
	cancelWeight  = 0.5              // weight of an overdue cancelled attempt, perhaps only late; more ...
	cancelMost    = 1.5              // ... up to this where memory is longer, as there is no second observation
	meetings      = 4.0              // what was learned of a server lasts for so many further subqueries ...
	memoryMost    = 30 * time.Second // ... but no longer than this
	minWeight     = 0.015            // the trickle: the fraction of its turns that the worst server keeps
	healthyWeight = 0.3              // below this fraction of its turns a server is unhealthy

	rejectBackoffMax = 2.0  // longest back-off in seconds from a server that rejected a subquery
	errorWeight      = 0.05 // smoothing of error rates: some twenty subqueries show one
	errorQuick       = 0.25 // of the usual latency: an error so fast costs hardly more than the attempt

	seldomFrom = 8   // with so many instances or more, each sends to a server seldom
	uneven     = 0.1 // how unevenly instances may spread over servers by chance: more shows in their queues
)

// The retry budget where none is configured, and hedging.
const (
	defaultBudgetFree  = 10.0 // further attempts allowed in any span ...
	defaultBudgetRatio = 0.30 // ... and for each query and subquery received: a fifth of them may be slow
	defaultBudgetSpan  = 10 * time.Second
	lastFraction       = 0.125 // of a query's subqueries: so few may be hedged to an unhealthy server
)

// Load shedding.
const (
	missWindow      = 1500 * time.Millisecond // long enough for evidence at low rates, short enough to recover
	waitWeight      = 0.2                     // step of the queueing time at servers: some ten answers
	waitHalf        = 8 * time.Second         // its half-life: small instances learn little between queries
	mostDone        = 0.75                    // of the fan-out's latencies: with less time the client times out
	costWeight      = 0.05                    // smoothing of subqueries per value: twenty queries show the mix
	retryAfterLeast = 200 * time.Millisecond
	retryAfterMost  = 1500 * time.Millisecond
)

// Idle connections.
const (
	idleLeast  = 300 * time.Millisecond // a connection unused for so long counts as idle
	lossWeight = 0.02                   // smoothing of the loss rates on idle and on busy connections ...
	lossLeast  = 0.15                   // ... where idle connections have died if theirs is above this ...
	lossTimes  = 3.0                    // ... and so many times that of busy ones
)

// Zones.
const (
	lateTimes        = 3.0                    // medians: a later answer is not quick, maybe by the network
	suspectRun       = 6                      // with so many in a row not quick, a zone is suspect ...
	zoneCheckGap     = 200 * time.Millisecond // ... and health-checked so often ...
	unreachableFails = 3                      // ... and unreachable when so many checks in a row fail
	zoneReachableFor = 2 * time.Second        // a check that gets through clears the zone for so long
)

// Poison queries.
const (
	crashSpan       = 10 * time.Second // crashes so recent make queries prove themselves first ...
	crashAlarmLeast = 3                // ... when so many servers crashed: fewer is chance
	proveFrom       = 3                // ... and the query would have so many subqueries in flight at once
	proveWait       = 2.0              // medians that one subquery may take before the next is sent
	poisonCrashes   = 2                // a crash along with others and again alone is no chance
	poisonSpan      = 20 * time.Second // the fingerprint is rejected so long: several retries of a client
)

// The parameters of the rules shared with other admission stages.
var (
	// At least one in work and one on the way. Beyond the maximum the server's queue decides the order, not
	// ours.
	capRule = tailguard.LimitRule{Min: 2, Max: 32, Near: 1.3, Far: 2, Fall: 0.8}
	// Three failures in a row halve the weight. Successes count less, as fast errors mix with answers.
	failureRule = tailguard.FailureRule{Up: 0.3, Down: 0.12}
	// The paper's threshold. Some queries of a small instance arrive between the falls of the rejected fraction.
	refusalRule = tailguard.SheddingRule{Share: 0.017, Least: 4, Gain: 3, Fall: 0.15}
)
