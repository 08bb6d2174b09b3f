package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// Every tuned value, with its reason: ratios of what is observed or set, or times of human scale.
const (
	tail       = 0.99 // percentile of a store's unloaded tail, as in the paper
	tailShare  = 0.8  // of the aim: a slowdown in the records must not eat all budgets
	startTail  = 0.5  // of the aim: the start curve's 99th percentile before any answer
	quietShare = 0.5  // a record takes answers sent while less of the store's places were taken: unloaded

	capLeast   = 4.0  // starts at the store's slots, and no lower
	capSlots   = 0.25 // of the store's slots: the cap falls no lower, as the others may use less than their part
	slotsGuess = 8    // where a store does not tell its slots
	baseRise   = 0.01 // a second: how fast the median that answers are held against may rise

	latencyWeight  = 0.2              // smoothing of answer times: five answers tell a slowdown
	latencyBack    = 0.5              // of a quick one: two tell that a hang is over
	latencyHalf    = 10 * time.Second // a slow store's name is forgotten so, for want of news
	slownessWeight = 0.02             // smoothing of all stores' answer times: fifty answers tell a load
	recentHalf     = 2 * time.Second  // of the answer times that tell what is late under the load there is
	slowSlack      = 1.6              // times the usual: below this speed differences are ordinary
	failingHalf    = 5 * time.Second  // trust comes back by itself so, to be tested by a trickle
	careful        = 0.1              // above this share of lost answers no call is sent that could not be made again
	losingHalf     = 20 * time.Second // a call that is lost ends its program, and many stores are well
	hungTimes      = 3.0              // times the tail: what is given up so late was lost
	shunSpan       = 10 * time.Second // what goes on from a request that a store failed keeps away from it so long
	shunMost       = 2048             // requests that are remembered so
	leastTurns     = 0.015            // the trickle: share of its turns that the worst store keeps
	trusted        = 0.3              // below this share of turns a store is suspect
	coldShare      = 0.25             // of its capacity that a store has when it starts, at the least
	coldRamp       = 4 * time.Second  // where only the end of the cold time is known, it is held to have begun so long before

	loadHalf      = 300 * time.Millisecond // what a store told of others' requests fades to the usual so
	usualHalf     = time.Second            // and that is forgotten so
	loadWeight    = 0.05                   // smoothing of what stores tell: twenty answers tell the usual
	waitingWeight = 4.0                    // a prompt that is still to be read holds up others so many times as long
	fullLeast     = 50 * time.Millisecond  // one that turned a request away is left alone so long
	fullMost      = 400 * time.Millisecond
	refusedDial   = time.Second // one that could not be reached is left alone so long, while others are there

	affinitySlack = 1.5 // times the even share: a store that is over it passes the turn on
	affinityFree  = 6   // requests more than the even share that never count
	nearShare     = 0.4 // of a store's places: while fewer are taken, the own zone goes first

	missWindow = 5 * time.Second // span of the miss share
	busyShare  = 0.5             // of the places taken: below it nothing is refused

	waitPart     = 3                      // the longest a new request is held by plan, as a part of the time it has
	lookAgain    = 20 * time.Millisecond  // while something is held and little is out to be heard from
	noStoreRetry = 300 * time.Millisecond // the list of stores may bring one
	cancelWeight = 0.5                    // of a request given up that was overdue, perhaps only late
	retryLeast   = 100 * time.Millisecond
	retryMost    = 1500 * time.Millisecond
	priorities   = 10             // of routes
	levels       = 2 * priorities // of refusal
	levelWeight  = 0.02           // smoothing of the priorities' shares of what comes in
	levelMost    = 0.9            // of a priority's requests that is refused before the next one is
)

var (
	capRule     = tailguard.LimitRule{Min: 2, Max: 256, Near: 1.3, Far: 2, Fall: 0.8}
	refusalRule = tailguard.SheddingRule{Share: 0.017, Least: 4, Gain: 3, Fall: 0.15}
	lossRule    = tailguard.FailureRule{Up: 0.3, Down: 0.02}
	failureRule = tailguard.FailureRule{Up: 0.3, Down: 0.12}
)
