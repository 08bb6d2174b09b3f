package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of trouble.
type Kind string

// The kinds of trouble. Those of stores are drawn by the stores' own churn.
const (
	KillMachine   Kind = "kill_machine"   // all processes of a machine at once, started again
	KillRole      Kind = "kill_role"      // one process of an edge machine
	PauseMachine  Kind = "pause_machine"  // SIGSTOP, SIGCONT
	PauseRole     Kind = "pause_role"     // one process of an edge machine
	Terminate     Kind = "terminate"      // SIGTERM, started again
	HangUp        Kind = "hang_up"        // SIGHUP with changed settings
	BadSettings   Kind = "bad_settings"   // SIGHUP with a file that cannot be used, mended later
	Isolate       Kind = "isolate"        // a machine is cut off from all others
	CutPair       Kind = "cut_pair"       // the link between two machines
	CutOneWay     Kind = "cut_one_way"    // one direction of it
	CutHalves     Kind = "cut_halves"     // machines with a disk in two halves; edges reach both
	SlowLinks     Kind = "slow_links"     // a machine's links are slow
	LoseReplies   Kind = "lose_replies"   // connections to a machine end within replies
	ResetAll      Kind = "reset"          // connections of a machine are reset
	KillCore      Kind = "kill_core"      // all coordinators at once
	KillStores    Kind = "kill_stores"    // all turn stores at once
	KillEverybody Kind = "kill_everybody" // all processes at once
	Wipe          Kind = "wipe"           // a machine comes back without its disk
	Spoil         Kind = "spoil"          // a state file of a machine is damaged while it is down
	ReplaceCore   Kind = "replace_core"   // a coordinator goes for good, another comes at another address
	GrowStores    Kind = "grow_stores"    // a turn store is added
	DiskFails     Kind = "disk_fails"     // a machine's folder is not there for a while
	Retire        Kind = "retire"         // a turn store is emptied and taken away
	RemoveFile    Kind = "remove_file"    // a state file of a machine is gone when it comes back
	Rot           Kind = "rot"            // a byte of a state file is another one
	SlowDisk      Kind = "slow_disk"      // syncs of a machine take long
	FailSync      Kind = "fail_sync"      // syncs of a machine fail, and what they were to keep is lost
	FullDisk      Kind = "full_disk"      // a machine's disk takes nothing more for a while
	NoTrouble     Kind = "none"
)

// losing are the kinds that take a disk; before its end no more are in a plan than are tolerated.
var losing = []Kind{Wipe, Spoil, RemoveFile, Rot, ReplaceCore}

// ofDisks are the kinds that are of machines with a disk.
var ofDisks = []Kind{Wipe, Spoil, RemoveFile, Rot, DiskFails, SlowDisk, FailSync, FullDisk}

// Trouble is one trouble of a plan.
type Trouble struct {
	Kind   Kind          `json:"kind"`
	At     time.Duration `json:"at"`  // since the start of traffic
	For    time.Duration `json:"for"` // how long it lasts; a machine that was killed is away as long
	Class  string        `json:"class,omitempty"`
	Number int           `json:"number,omitempty"` // of the machine within its class
	Other  int           `json:"other,omitempty"`  // the other machine of a link, among all
	Role   int           `json:"role,omitempty"`   // of the process on an edge machine
}

func (t Trouble) String() string {
	return fmt.Sprintf("%s %s/%d other=%d role=%d at=%v for=%v", t.Kind, t.Class, t.Number, t.Other, t.Role, t.At, t.For)
}

// Plan is all that a seed brings about.
type Plan struct {
	Seed     uint64        `json:"seed"`
	Traffic  time.Duration `json:"traffic"`
	Troubles []Trouble     `json:"troubles"`
	Final    Kind          `json:"final"` // none, kill_everybody, or wipe: everybody is killed and disks are lost
	Lost     []Trouble     `json:"lost"`  // whose disks
	Size     Size          `json:"size"`
	Mixed    bool          `json:"mixed"`    // some starts are of another build, where there is one
	Volatile bool          `json:"volatile"` // each kill loses what was not synced, and disks may be slow, full or failing
}

// Size is what the tier consists of.
type Size struct {
	Edges        int `json:"edges"`
	Coordinators int `json:"coordinators"`
	TurnStores   int `json:"turnStores"`
	Tolerated    int `json:"tolerated"` // machines that may be lost at once
}

// sizes are drawn from; the first is that of plans which say none.
var sizes = []Size{
	{Edges: 3, Coordinators: 3, TurnStores: 4, Tolerated: 1},
	{Edges: 2, Coordinators: 3, TurnStores: 3, Tolerated: 1},
	{Edges: 3, Coordinators: 5, TurnStores: 6, Tolerated: 2},
	{Edges: 3, Coordinators: 5, TurnStores: 5, Tolerated: 2},
	{Edges: 2, Coordinators: 4, TurnStores: 5, Tolerated: 1},
	{Edges: 2, Coordinators: 3, TurnStores: 2, Tolerated: 1}, // fewer turn stores than bear all losses
	{Edges: 2, Coordinators: 1, TurnStores: 1, Tolerated: 0},
}

func (s Size) of(class string) int {
	switch class {
	case classEdge:
		return s.Edges
	case classCore:
		return s.Coordinators
	}
	return s.TurnStores
}

func (s Size) all() int { return s.Edges + s.Coordinators + s.TurnStores }

// Classes of machines.
const (
	classEdge  = "edge"
	classCore  = "core"
	classStore = "store"
)

const (
	waveGap  = 1600 * time.Millisecond
	quietEnd = 1500 * time.Millisecond // at the end of the traffic, without new troubles
)

// NewPlan draws a plan. Troubles come in waves of one to three; half of the waves begin within milliseconds.
func NewPlan(seed uint64, traffic time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, 0x50a6))
	plan := Plan{Seed: seed, Traffic: traffic, Final: NoTrouble, Size: sizes[random.IntN(len(sizes))], Mixed: random.IntN(3) == 0}
	lost := 0
	kinds := swarm(random)
	for at := 300 * time.Millisecond; at < traffic-quietEnd; at += waveGap + time.Duration(random.Int64N(int64(waveGap))) {
		within := 1200 * time.Millisecond
		if random.IntN(2) == 0 {
			within = 8 * time.Millisecond
		}
		for range 1 + random.IntN(3) {
			trouble := draw(random, kinds, plan.Size)
			if slices.Contains(losing, trouble.Kind) {
				if lost >= plan.Size.Tolerated {
					continue
				}
				lost++
			}
			trouble.At = at + time.Duration(random.Int64N(int64(within)))
			plan.Troubles = append(plan.Troubles, trouble)
		}
	}
	switch random.IntN(3) {
	case 0:
		plan.Final = KillEverybody
	case 1:
		plan.Final = Wipe
		for range plan.Size.Tolerated {
			lost := Trouble{Class: diskClass(random)}
			lost.Number = random.IntN(plan.Size.of(lost.Class))
			plan.Lost = append(plan.Lost, lost)
		}
	}
	plan.Volatile = random.IntN(3) > 0
	return plan
}

// swarm draws the kinds that a plan has: a few at a time find more than all at once.
func swarm(random *rand.Rand) []Kind {
	all := []Kind{
		KillMachine, KillRole, PauseMachine, PauseRole, Terminate, HangUp, BadSettings, Isolate, CutPair, CutOneWay, CutHalves,
		SlowLinks, LoseReplies, ResetAll, KillCore, KillStores, KillEverybody, Wipe, Spoil, ReplaceCore, GrowStores, Retire, DiskFails,
		RemoveFile, Rot, SlowDisk, FailSync, FullDisk,
	}
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:5+random.IntN(6)]
}

func draw(random *rand.Rand, kinds []Kind, size Size) Trouble {
	trouble := Trouble{
		Kind: kinds[random.IntN(len(kinds))], Role: random.IntN(2), Other: random.IntN(size.all()),
		For: 100*time.Millisecond + time.Duration(random.Int64N(int64(2400*time.Millisecond))),
	}
	trouble.Class = []string{classEdge, classCore, classStore}[random.IntN(3)]
	if slices.Contains(ofDisks, trouble.Kind) {
		trouble.Class = diskClass(random)
	}
	switch trouble.Kind {
	case KillRole, PauseRole:
		trouble.Class = classEdge
	case ReplaceCore:
		trouble.Class = classCore
	case Retire, GrowStores:
		trouble.Class = classStore
	case Isolate, CutPair, CutOneWay, PauseMachine:
		trouble.For += time.Duration(random.Int64N(int64(2 * time.Second)))
	}
	trouble.Number = random.IntN(size.of(trouble.Class))
	return trouble
}

func diskClass(random *rand.Rand) string {
	return []string{classCore, classStore}[random.IntN(2)]
}
