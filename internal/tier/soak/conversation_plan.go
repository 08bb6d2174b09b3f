package soak

import (
	"math/rand/v2"
	"time"
)

// Times of the faults in plans of conversations.
const (
	firstDiskFault      = 3 * time.Second // at the earliest
	minFault            = 100 * time.Millisecond
	maxFault            = 2500 * time.Millisecond
	minDiskFault        = 800 * time.Millisecond // so that machines are down while turns are saved, but often stay members
	maxDiskFault        = minDiskFault + maxFault/2
	diskFaultGap        = maxDiskFault + 9*time.Second // catchUpS, and what a busy machine adds
	timeAfterDiskFaults = 26 * time.Second             // in which each conversation goes on
	timeAfterEdgeFaults = 12 * time.Second             // in which it must do so
	edgeFaultGap        = 2 * time.Second
	simultaneousFaults  = 8 * time.Millisecond
)

// edgeFaultKinds and diskFaultKinds are the kinds of faults in plans of conversations.
var (
	edgeFaultKinds = []Kind{Terminate, TerminateSignalled, KillMachine, KillRole, PauseMachine, Reload}
	diskFaultKinds = []Kind{KillMachine, PauseMachine, Terminate, Isolate, Wipe, Wipe}
)

// NewConversationPlan draws a plan of conversations that outlive the retention of their first turns. Of the machines with a disk
// no more fail at the same time than are tolerated, and the next ones when these have recovered. Edges are stopped, killed, paused
// and reloaded in series that overlap with that and with each other. No edges means a size drawn like that of other plans.
func NewConversationPlan(seed uint64, traffic time.Duration, edges int) Plan {
	random := rand.New(rand.NewPCG(seed, 0xc04e))
	plan := Plan{Seed: seed, Traffic: traffic, Final: NoFault, Size: sizes[random.IntN(len(sizes)-2)], Conversations: true}
	if edges > 0 {
		plan.Size.Edges = edges
	}
	for at := time.Duration(0); at < traffic-timeAfterEdgeFaults; at += time.Duration(random.Int64N(int64(2 * edgeFaultGap))) {
		for range 1 + random.IntN(1+plan.Size.Edges/2) {
			fault := drawDuration(random, Fault{Kind: edgeFaultKinds[random.IntN(len(edgeFaultKinds))], Class: classEdge, At: at})
			fault.Number, fault.Role = random.IntN(plan.Size.Edges), random.IntN(2)
			plan.Faults = append(plan.Faults, fault)
		}
	}
	plan.Faults = append(plan.Faults, drawDiskFaults(random, plan.Size, traffic)...)
	plan.Volatile = random.IntN(2) == 0
	return plan
}

// drawDiskFaults draws the faults of machines with a disk. The last two waves come when turns are saved that the replicas of the first
// turns must hear of: turn stores are killed, and others lose their disks. Earlier waves are of any kind.
func drawDiskFaults(random *rand.Rand, size Size, traffic time.Duration) []Fault {
	last := traffic - timeAfterDiskFaults
	faults := drawDiskWave(random, size, Fault{Kind: Wipe, Class: classTurnStore, At: last})
	faults = append(faults, drawDiskWave(random, size, Fault{Kind: KillMachine, Class: classTurnStore, At: last - diskFaultGap})...)
	for at := last - 2*diskFaultGap; at > firstDiskFault; at -= diskFaultGap {
		fault := Fault{Kind: diskFaultKinds[random.IntN(len(diskFaultKinds))], Class: classTurnStore, At: at}
		if random.IntN(6) == 0 {
			fault.Class = classCoordinator
		}
		faults = append(faults, drawDiskWave(random, size, fault)...)
	}
	return faults
}

// drawDiskWave draws the machines that have a fault at nearly the same time: as many as may fail, or fewer.
func drawDiskWave(random *rand.Rand, size Size, fault Fault) []Fault {
	machines := random.Perm(size.of(fault.Class))
	var faults []Fault
	for _, number := range machines[:1+random.IntN(size.ToleratedFailures)] {
		one := drawDuration(random, fault)
		one.Number = number
		one.For = minDiskFault + one.For/2
		one.At += time.Duration(random.Int64N(int64(simultaneousFaults)))
		faults = append(faults, one)
	}
	return faults
}

func drawDuration(random *rand.Rand, fault Fault) Fault {
	fault.For = minFault + time.Duration(random.Int64N(int64(maxFault-minFault)))
	return fault
}
