package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault. Its text is the name in plan files.
type Kind string

// The kinds of faults. Those of stores are not planned, see storeSet.churn.
const (
	KillMachine        Kind = "kill_machine"        // all processes of a machine at once, restarted
	KillRole           Kind = "kill_role"           // one process of an edge machine
	PauseMachine       Kind = "pause_machine"       // SIGSTOP, SIGCONT
	PauseRole          Kind = "pause_role"          // one process of an edge machine
	Terminate          Kind = "terminate"           // SIGTERM, restarted
	TerminateSignalled Kind = "terminate_signalled" // the same, with a SIGHUP and a second SIGTERM during the shutdown
	Reload             Kind = "hang_up"             // SIGHUP with changed settings
	BadSettings        Kind = "bad_settings"        // SIGHUP with an invalid file, repaired later
	Isolate            Kind = "isolate"             // a machine is partitioned from all others
	PartitionPair      Kind = "cut_pair"            // the link between two machines
	PartitionOneWay    Kind = "cut_one_way"         // one direction of it
	PartitionHalves    Kind = "cut_halves"          // machines with a disk in two halves; edges reach both
	SlowLinks          Kind = "slow_links"          // a machine's links are slow
	DropReplies        Kind = "lose_replies"        // connections to a machine end within replies
	ResetConnections   Kind = "reset"               // connections of a machine are reset
	KillCoordinators   Kind = "kill_core"           // all coordinators at once
	KillTurnStores     Kind = "kill_stores"         // all turn stores at once
	KillAll            Kind = "kill_everybody"      // all processes at once
	KillHalf           Kind = "kill_half"           // half of all machines at once, of any class
	KillThird          Kind = "kill_third"          // a third of them
	ThrottleMachine    Kind = "throttle"            // a machine runs for 40 ms of each 100 ms, as with a CPU quota that it has spent
	Wipe               Kind = "wipe"                // a machine restarts without its data
	TruncateFile       Kind = "spoil"               // a file of a machine is truncated while it is down
	ReplaceCoordinator Kind = "replace_core"        // a coordinator is removed for good, a new one starts at another address
	AddTurnStore       Kind = "grow_stores"         // a turn store is added
	RemoveDataFolder   Kind = "disk_fails"          // the data folder of a machine is missing for a while
	RetireTurnStore    Kind = "retire"              // a turn store is retired and removed
	RemoveFile         Kind = "remove_file"         // a file of a machine is removed while it is down
	CorruptFile        Kind = "rot"                 // a bit of a file is flipped while its machine is down
	SlowDisk           Kind = "slow_disk"           // syncs of a machine are slow
	FailSync           Kind = "fail_sync"           // syncs of a machine fail, and the data is lost
	FullDisk           Kind = "full_disk"           // the disk of a machine is full for a while
	TornWrites         Kind = "torn_writes"         // a machine loses power while only a part of each write has reached its disk
	NoFault            Kind = "none"
)

// destructiveKinds lose a disk, or make its machine treat it as lost. Before the final fault a plan has no more of them
// than the tier tolerates.
var destructiveKinds = []Kind{Wipe, TruncateFile, RemoveFile, CorruptFile, ReplaceCoordinator}

// diskKinds need a machine with a disk.
var diskKinds = []Kind{Wipe, TruncateFile, RemoveFile, CorruptFile, RemoveDataFolder, SlowDisk, FailSync, FullDisk, TornWrites}

// Fault is a fault of a plan.
type Fault struct {
	Kind   Kind          `json:"kind"`
	At     time.Duration `json:"at"`  // since the start of the traffic
	For    time.Duration `json:"for"` // duration; of a kill, until the restart
	Class  string        `json:"class,omitempty"`
	Number int           `json:"number,omitempty"` // of the machine within its class
	Other  int           `json:"other,omitempty"`  // the other machine of a link, among all
	Role   int           `json:"role,omitempty"`   // index of the process on an edge
}

func (t Fault) String() string {
	return fmt.Sprintf("%s %s/%d other=%d role=%d at=%v for=%v", t.Kind, t.Class, t.Number, t.Other, t.Role, t.At, t.For)
}

// Plan is everything that is drawn from a seed before the start. Its JSON form is the plan file.
type Plan struct {
	Seed    uint64        `json:"seed"`
	Traffic time.Duration `json:"traffic"`
	Faults  []Fault       `json:"troubles"`
	Final   Kind          `json:"final"` // NoFault, KillAll, or Wipe: all are killed and disks are lost
	Lost    []Fault       `json:"lost"`  // machines whose disks the final fault loses
	Size    Size          `json:"size"`
	Mixed   bool          `json:"mixed"`   // some processes are of another build, if there is one
	Planned bool          `json:"planned"` // planned work alone: see NewPlannedPlan
	// Conversations means conversations that outlive the retention of their first turns: see NewConversationPlan.
	Conversations bool `json:"conversations"`
	Volatile      bool `json:"volatile"` // kills lose unsynced writes, and disks may be slow, full or failing
}

// Size is the number of machines of each class.
type Size struct {
	Edges             int `json:"edges"`
	Coordinators      int `json:"coordinators"`
	TurnStores        int `json:"turnStores"`
	ToleratedFailures int `json:"tolerated"` // machines that may be lost at the same time
}

// sizes are the sizes that plans draw from. The first is the default of plan files without a size.
var sizes = []Size{
	{Edges: 3, Coordinators: 3, TurnStores: 4, ToleratedFailures: 1},
	{Edges: 2, Coordinators: 3, TurnStores: 3, ToleratedFailures: 1},
	{Edges: 3, Coordinators: 5, TurnStores: 6, ToleratedFailures: 2},
	{Edges: 3, Coordinators: 5, TurnStores: 5, ToleratedFailures: 2},
	{Edges: 2, Coordinators: 4, TurnStores: 5, ToleratedFailures: 1},
	{Edges: 2, Coordinators: 3, TurnStores: 2, ToleratedFailures: 1}, // too few turn stores for all tolerated losses
	{Edges: 2, Coordinators: 1, TurnStores: 1, ToleratedFailures: 0},
}

// of returns the number of machines of a class.
func (s Size) of(class string) int {
	switch class {
	case classEdge:
		return s.Edges
	case classCoordinator:
		return s.Coordinators
	}
	return s.TurnStores
}

func (s Size) all() int { return s.Edges + s.Coordinators + s.TurnStores }

// Classes of machines.
const (
	classEdge        = "edge"
	classCoordinator = "core"
	classTurnStore   = "store"
)

// Times of the waves of faults.
const (
	waveGap     = 1600 * time.Millisecond
	quietPeriod = 1500 * time.Millisecond // at the end of the traffic, without new faults
)

// NewPlan draws a plan. Faults come in waves of one to three; the faults of half of the waves begin within milliseconds.
func NewPlan(seed uint64, traffic time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, 0x50a6))
	plan := Plan{Seed: seed, Traffic: traffic, Final: NoFault, Size: sizes[random.IntN(len(sizes))], Mixed: random.IntN(3) == 0}
	lost := 0
	kinds := drawKinds(random)
	for at := 300 * time.Millisecond; at < traffic-quietPeriod; at += waveGap + time.Duration(random.Int64N(int64(waveGap))) {
		within := 1200 * time.Millisecond
		if random.IntN(2) == 0 {
			within = 8 * time.Millisecond
		}
		for range 1 + random.IntN(3) {
			fault := drawFault(random, kinds, plan.Size)
			if slices.Contains(destructiveKinds, fault.Kind) {
				if lost >= plan.Size.ToleratedFailures {
					continue
				}
				lost++
			}
			fault.At = at + time.Duration(random.Int64N(int64(within)))
			plan.Faults = append(plan.Faults, fault)
		}
	}
	switch random.IntN(3) {
	case 0:
		plan.Final = KillAll
	case 1:
		plan.Final = Wipe
		for range plan.Size.ToleratedFailures {
			lost := Fault{Class: diskClass(random)}
			lost.Number = random.IntN(plan.Size.of(lost.Class))
			plan.Lost = append(plan.Lost, lost)
		}
	}
	plan.Volatile = random.IntN(3) > 0
	return plan
}

// drawKinds draws the kinds of faults of a plan. A few at a time find more than all at once (swarm testing, Groce et al.).
func drawKinds(random *rand.Rand) []Kind {
	all := []Kind{
		KillMachine, KillRole, PauseMachine, PauseRole, Terminate, Reload, BadSettings, Isolate, PartitionPair, PartitionOneWay,
		PartitionHalves, SlowLinks, DropReplies, ResetConnections, KillCoordinators, KillTurnStores, KillAll, Wipe, TruncateFile,
		ReplaceCoordinator, AddTurnStore, RetireTurnStore, RemoveDataFolder, RemoveFile, CorruptFile, SlowDisk, FailSync, FullDisk,
		KillHalf, KillThird, ThrottleMachine, TornWrites,
	}
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:5+random.IntN(6)]
}

func drawFault(random *rand.Rand, kinds []Kind, size Size) Fault {
	fault := Fault{
		Kind: kinds[random.IntN(len(kinds))], Role: random.IntN(2), Other: random.IntN(size.all()),
		For: 100*time.Millisecond + time.Duration(random.Int64N(int64(2400*time.Millisecond))),
	}
	fault.Class = []string{classEdge, classCoordinator, classTurnStore}[random.IntN(3)]
	if slices.Contains(diskKinds, fault.Kind) {
		fault.Class = diskClass(random)
	}
	switch fault.Kind {
	case KillRole, PauseRole:
		fault.Class = classEdge
	case ReplaceCoordinator:
		fault.Class = classCoordinator
	case RetireTurnStore, AddTurnStore:
		fault.Class = classTurnStore
	case Isolate, PartitionPair, PartitionOneWay, PauseMachine:
		fault.For += time.Duration(random.Int64N(int64(2 * time.Second)))
	}
	fault.Number = random.IntN(size.of(fault.Class))
	return fault
}

func diskClass(random *rand.Rand) string {
	return []string{classCoordinator, classTurnStore}[random.IntN(2)]
}
