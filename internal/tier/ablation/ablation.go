// Package ablation disables single mechanisms of the proxies in builds made to measure what each of them is worth (an ablation
// study). Such builds have the build tag "ablation" and name the disabled mechanisms at link time, separated by commas:
//
//	go build -tags ablation \
//	    -ldflags "-X pulleygw.example/pulleygw/internal/tier/ablation.disabled=stall-detection,health-weights" ./cmd/pulleytier
//
// In all other builds Disabled is a constant false that the compiler removes. tools/pairedtrials makes one build for each
// mechanism and compares them.
package ablation

// Mechanism is the name, as given at link time, of a mechanism that a build may disable.
type Mechanism string

// Mechanisms of store selection (package admission).
const (
	// Affinity keeps requests of one program or session on one store.
	Affinity Mechanism = "affinity"
	// BoundedLoad takes affinity away from a store whose load exceeds a multiple of the mean load.
	BoundedLoad Mechanism = "bounded-load"
	// LocalZone prefers stores in the proxy's own zone.
	LocalZone Mechanism = "local-zone"
	// StallDetection passes over a store whose oldest request has waited too long for its first byte.
	StallDetection Mechanism = "stall-detection"
	// HealthWeights gives failing and slow stores a smaller share of the requests (outlier detection).
	HealthWeights Mechanism = "health-weights"
	// LossAvoidance keeps requests that are not idempotent away from stores that recently lost a response.
	LossAvoidance Mechanism = "loss-avoidance"
	// AvoidFailed keeps later requests of a program away from the store that failed one of its requests.
	AvoidFailed Mechanism = "avoid-failed"
	// SlowStart gives a store that has just started a part of its capacity, which grows to all of it.
	SlowStart Mechanism = "slow-start"
	// HalfOpenTrials lets idempotent requests, one at a time, test a store with a low weight.
	HalfOpenTrials Mechanism = "half-open-trials"
	// Backoff sends nothing for a moment to a store that rejected a request or could not be reached.
	Backoff Mechanism = "backoff"
)

// Mechanisms of concurrency control and load shedding (package admission).
const (
	// ConcurrencyLimit bounds the requests of one proxy in flight at a store.
	ConcurrencyLimit Mechanism = "concurrency-limit"
	// BaselineLoad estimates the load of stores that have not reported it lately by what the service's stores usually report.
	BaselineLoad Mechanism = "baseline-load"
	// ReportedLoad counts the requests of other callers that stores report.
	ReportedLoad Mechanism = "reported-load"
	// LoadShedding rejects new requests in proportion to the share of missed deadlines.
	LoadShedding Mechanism = "load-shedding"
	// PriorityLevels rejects requests of low priority first.
	PriorityLevels Mechanism = "priority-levels"
	// FirstTurns rejects the first requests of programs before those of programs under way.
	FirstTurns Mechanism = "first-turns"
)

// Mechanisms of request handling (package proxy).
const (
	// Retries sends an idempotent request that failed to another store.
	Retries Mechanism = "retries"
	// StreamResumption continues an interrupted stream at another store.
	StreamResumption Mechanism = "stream-resumption"
	// AwaitTurns lets turns wait until the first turn stores are known.
	AwaitTurns Mechanism = "await-turns"
	// AwaitStores lets requests wait until the first stores are known.
	AwaitStores Mechanism = "await-stores"
)

// All lists the mechanisms.
var All = []Mechanism{
	Affinity, BoundedLoad, LocalZone, StallDetection, HealthWeights, LossAvoidance, AvoidFailed,
	SlowStart, ConcurrencyLimit, LoadShedding, PriorityLevels, FirstTurns, BaselineLoad, ReportedLoad,
	HalfOpenTrials, Backoff, Retries, StreamResumption, AwaitTurns, AwaitStores,
}
