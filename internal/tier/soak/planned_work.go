package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Times of planned work.
const (
	gracePeriodOfMachines = 8 * time.Second // graceS of the machines' settings
	untimedKillSlack      = 8 * time.Second // added before a SIGKILL if time bounds are not checked
	plannedWaveGap        = 900 * time.Millisecond
	signalGap             = 700 * time.Millisecond // between the signals to a process that shuts down
	rollPause             = 2 * time.Second        // after the restart of a machine with a disk, before the next one's
)

// Numbers of clients that keep a connection. All together must not send more streams than the fake stores have slots for.
const (
	maxClientsPerEdge = 4
	maxClients        = 80
)

// NewPlannedPlan draws a plan of planned work alone, in series that overlap: edges are stopped and started, some with more
// signals during the shutdown, one machine with a disk at a time is restarted, settings are reloaded. Operators change the
// configuration throughout. No edges means a size drawn like that of other plans.
func NewPlannedPlan(seed uint64, traffic time.Duration, edges int) Plan {
	random := rand.New(rand.NewPCG(seed, 0x7e41))
	plan := Plan{Seed: seed, Traffic: traffic, Final: NoFault, Size: sizes[random.IntN(len(sizes)-2)], Planned: true}
	if edges > 0 {
		plan.Size.Edges = edges
	}
	for at := 500 * time.Millisecond; at < traffic; at += time.Duration(random.Int64N(int64(2 * plannedWaveGap))) {
		for range 1 + random.IntN(1+plan.Size.Edges/2) {
			plan.Faults = append(plan.Faults, drawPlannedFault(random, plan.Size, at))
		}
	}
	return plan
}

func drawPlannedFault(random *rand.Rand, size Size, at time.Duration) Fault {
	fault := Fault{Kind: Terminate, Class: classEdge, At: at + time.Duration(random.Int64N(int64(50*time.Millisecond)))}
	switch random.IntN(8) {
	case 0, 1:
		fault.Kind = TerminateSignalled
	case 2:
		fault.Class = diskClass(random)
	case 3:
		fault.Kind = Reload
		fault.Class = []string{classEdge, classCoordinator, classTurnStore}[random.IntN(3)]
	}
	fault.Number = random.IntN(size.of(fault.Class))
	return fault
}

// shutdown is a graceful shutdown of an edge.
type shutdown struct {
	front string
	at    time.Time // of the SIGTERM
}

// signalsDuringShutdown are sent to the processes of TerminateSignalled after the first SIGTERM.
var signalsDuringShutdown = []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}

// restartGracefully shuts a machine down and starts it again. Of the machines with a disk only one at a time is restarted
// in a plan of planned work.
func (h *harness) restartGracefully(machine *testbed.Machine, fault Fault) bool {
	if h.plan.Planned && fault.Class != classEdge {
		if !h.rolling.TryLock() {
			return false
		}
		defer h.rolling.Unlock()
		defer time.Sleep(rollPause)
	}
	if fault.Class == classEdge {
		h.beginShutdown(shutdown{front: machine.Settings.Listen.Front, at: time.Now()})
	}
	var signalling sync.WaitGroup
	ended, end := context.WithCancel(context.Background())
	if fault.Kind == TerminateSignalled {
		signalling.Go(func() { sendDuringShutdown(ended, machine) })
	}
	h.terminate(machine)
	end()
	signalling.Wait()
	return h.launch(machine) == nil
}

// sendDuringShutdown sends the signals one after the other until ctx ends.
func sendDuringShutdown(ctx context.Context, machine *testbed.Machine) {
	for _, signal := range signalsDuringShutdown {
		if !clock.Sleep(ctx, signalGap) {
			return
		}
		machine.Signal(signal)
	}
}

// killAfter returns how long after a SIGTERM the platform sends SIGKILL.
func (h *harness) killAfter() time.Duration {
	if h.timed {
		return gracePeriodOfMachines
	}
	return gracePeriodOfMachines + untimedKillSlack
}

// playPlanned runs clients that keep their connections while the planned work is done, and then alone.
func (h *harness) playPlanned(ctx context.Context) {
	clientsPerEdge := max(1, min(maxClientsPerEdge, maxClients/len(h.Edges)))
	h.playClients(ctx, func(traffic context.Context, clients *sync.WaitGroup) {
		for number, edge := range h.Edges {
			for client := range clientsPerEdge {
				clients.Go(func() { h.runPersistentClient(traffic, edge, number*clientsPerEdge+client) })
			}
		}
	})
}
