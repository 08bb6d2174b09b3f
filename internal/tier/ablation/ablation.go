// Package ablation leaves mechanisms out of builds that are made to measure what each is worth. Such builds have the tag
// "ablation" and name what they leave out at link time; in all others Off is false, and costs nothing.
//
//	go build -tags ablation -ldflags "-X pulleygw.example/pulleygw/internal/tier/ablation.leftOut=skip,trust" ./cmd/pulleytier
package ablation

// Mechanism is a part of the decisions that a build may leave out.
type Mechanism string

// The mechanisms.
const (
	Affinity    Mechanism = "affinity"     // requests with something in common keep to one store
	EvenShare   Mechanism = "even-share"   // a store over its share passes them on
	NearZone    Mechanism = "near-zone"    // the own zone's stores go first
	Skip        Mechanism = "skip"         // a store whose oldest request is late is passed over
	Trust       Mechanism = "trust"        // stores that fail or are slow take fewer turns
	Careful     Mechanism = "careful"      // calls that can't be repeated keep away from what lost answers
	Shun        Mechanism = "shun"         // what goes on from a failed request keeps away from that store
	ColdRamp    Mechanism = "cold-ramp"    // a store that starts has a part of its capacity
	LoadCap     Mechanism = "cap"          // at most so many requests of ours are at a store
	Refusal     Mechanism = "refusal"      // new requests are refused on the miss share
	Levels      Mechanism = "levels"       // the least urgent are refused first
	FirstTurns  Mechanism = "first-turns"  // programs that begin are refused before those that have begun
	UsualLoad   Mechanism = "usual-load"   // what stores usually tell stands for those that have not told of late
	ToldLoad    Mechanism = "told-load"    // what stores tell of others' requests counts
	Trials      Mechanism = "trials"       // safe requests test suspect stores
	LeftAlone   Mechanism = "left-alone"   // a store that turned a request away is left alone for a while
	Retries     Mechanism = "retries"      // a request that may be repeated is sent to another store
	HandOver    Mechanism = "hand-over"    // a stream that breaks off goes on at another store
	AwaitTurns  Mechanism = "await-turns"  // turns wait for the first turn stores to be known
	AwaitStores Mechanism = "await-stores" // requests wait for the first stores to be known
)

// All lists the mechanisms.
var All = []Mechanism{
	Affinity, EvenShare, NearZone, Skip, Trust, Careful, Shun,
	ColdRamp, LoadCap, Refusal, Levels, FirstTurns, UsualLoad, ToldLoad,
	Trials, LeftAlone, Retries, HandOver, AwaitTurns, AwaitStores,
}
