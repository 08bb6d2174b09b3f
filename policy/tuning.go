package policy

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// Every tuned value, with its reason: ratios of what is observed or set, or times of human scale.
const (
	stallLeast   = 200 * time.Millisecond // a wake so late is our own stall, not a busy moment
	pace         = 10 * time.Millisecond  // sweeps: far below any aim, cheap in CPU
	surveyGap    = 100 * time.Millisecond // between looks at every server: below any answer time, cheap
	tail         = 0.99                   // percentile of the fan-out's unloaded tail, as in the paper
	maxTailShare = 0.6                    // of the aim: a slowdown in the records must not eat all budgets
	startTail    = 0.5                    // of the aim: the start curve's 99th percentile before any answer
	quietOut     = 2                      // a record takes answers sent when so few of ours were out: unloaded

	capStart = 4.0  // no part waits on a quiet day
	baseRise = 0.01 // a second: how fast the median that answers are held against may rise

	latWeight    = 0.2              // smoothing of answer times: five answers tell a slowdown
	latBack      = 0.5              // of a quick one: two tell that a hang is over
	latStale     = 5 * time.Second  // a small mixer meets a server seldom: what is so old counts half
	latHalf      = 10 * time.Second // a slow server's name is forgotten so, for want of news
	slowSlack    = 1.6              // times the others' median: below this speed differences are ordinary
	cancelWeight = 0.5              // of a cancelled part that was overdue, perhaps only late; more where ...
	cancelMost   = 1.5              // ... memory is longer, as there is no second look
	usualSpan    = 10 * time.Second // what servers carry is counted so long, by young mixers since their start
	badLog       = 0.5              // the log says failing above this, and well again below badBack
	badBack      = 0.1
	badHalf      = 5 * time.Second  // trust comes back by itself so, to be tested by a trickle
	fullMost     = 2.0              // seconds that one that turned a part away is left alone at the most
	errorWeight  = 0.05             // smoothing of the share of errors: some twenty parts tell it
	errorQuick   = 0.25             // of the usual answer time: an error so quick costs hardly more than the try
	meetings     = 4.0              // what was seen of a server lasts for so many more parts ...
	memoryMost   = 30 * time.Second // ... but troubles end
	leastTurns   = 0.015            // the trickle: share of its turns that the worst server keeps
	trusted      = 0.3              // below this share of turns a server is suspect

	seldomFrom = 8   // so many mixers or more meet each server seldom
	uneven     = 0.1 // servers' shares of the mixers may differ so by chance: more tells in their queues

	ownFree   = 10.0 // the budget where none is stated: further attempts whatever came in ...
	ownShare  = 0.30 // ... and for each query and part taken: a fifth of a large fleet may be slow ...
	ownSpan   = 10 * time.Second
	lastShare = 0.125 // of a query's parts: so few that lack may be copied to a suspect

	missWindow = 1500 * time.Millisecond // long enough for evidence at low rates, short enough to recover
	waitWeight = 0.2                     // step of the wait at servers towards the median: some ten answers
	mostDone   = 0.75                    // with less time than this share of its like take, a client leaves
	waitHalf   = 8 * time.Second         // it is forgotten so: small mixers hear little between queries
	costWeight = 0.05                    // smoothing of parts by worth: twenty queries tell the classes' mix
	adviseMin  = 200 * time.Millisecond
	adviseMax  = 1500 * time.Millisecond

	idleLeast  = 300 * time.Millisecond // a connection not used for so long counts as idle
	lossWeight = 0.02                   // smoothing of the shares lost on idle and on busy connections ...
	lossLeast  = 0.15                   // ... of which the one tells of dead connections above this ...
	lossTimes  = 3.0                    // ... and when so many times the other

	farTimes = 3.0                    // medians: later is not quick; the way there and back may be the cause
	farRun   = 6                      // with so many in a row not quick, a zone is in doubt ...
	farProbe = 200 * time.Millisecond // ... and probed so often ...
	farFails = 3                      // ... and far when so many probes in a row fail
	farClear = 2 * time.Second        // one that gets through clears the way for so long

	deathSpan   = 10 * time.Second // crashes so recent make queries prove themselves one part first ...
	deathLeast  = 3                // ... when so many servers died in it: fewer is chance
	proveFrom   = 3                // ... and the query would be at so many parts at once
	proveWait   = 2.0              // medians that the one part may take before the next is let go
	deathsMost  = 2                // dead when tried with others and again alone: no chance
	suspectSpan = 20 * time.Second // its like is refused so long: several tries of a client

	stepTicks  = 4       // of a second step: to leave, to be heard, and as many to spare
	weightSlip = 0.00005 // rounding of parts' weights
)

// The rules shared with other admission stages.
var (
	// One in work, one on the way at the least; past the most the server's queue decides the order, not ours.
	capRule = tailguard.LimitRule{Min: 2, Max: 32, Near: 1.3, Far: 2, Fall: 0.8}
	// Three failures in a row halve the trust, and successes count less, as fast errors mix with answers.
	failureRule = tailguard.FailureRule{Up: 0.3, Down: 0.12}
	// The paper's threshold; some queries of a small mixer come in between the falls of the share refused.
	refusalRule = tailguard.SheddingRule{Share: 0.017, Least: 4, Gain: 3, Fall: 0.15}
)
