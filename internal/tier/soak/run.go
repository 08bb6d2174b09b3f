package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Sizes of the traffic.
const (
	programWorkers = 5
	plainWorkers   = 3
	samples        = 24
)

// Times of a run.
const (
	calmTime     = 6 * time.Second // without faults, before the final one
	recoverTime  = 12 * time.Second
	restartDelay = 500 * time.Millisecond

	untimedRecovery = time.Minute // if time bounds are not checked
)

// Result is the result of a run.
type Result struct {
	Plan       Plan           `json:"plan"`
	Violations []Violation    `json:"violations"`
	Sometimes  map[string]int `json:"sometimes"`
	Attempts   int            `json:"attempts"`
	Served     int            `json:"served"`
	Seconds    float64        `json:"seconds"`
}

// Run runs a plan and checks it. The history is returned for the details of single requests.
func Run(ctx context.Context, plan Plan, options Options) (*Result, *History, error) {
	started := time.Now()
	h, err := newHarness(ctx, plan, options)
	if err != nil {
		return nil, nil, err
	}
	h.play(ctx)
	h.injectFinalFault(ctx)
	h.verify(ctx)
	h.close()
	h.check()
	return h.result(time.Since(started)), h.History, nil
}

// play runs traffic with faults, and then traffic alone.
func (h *harness) play(ctx context.Context) {
	switch {
	case h.plan.Planned:
		h.playPlanned(ctx)
		return
	case h.plan.Conversations:
		h.playConversations(ctx)
		return
	}
	traffic, stop := context.WithCancel(ctx)
	churning, stopChurn := context.WithCancel(ctx)
	var group, churn sync.WaitGroup
	for worker := range programWorkers {
		group.Go(func() { h.runPrograms(traffic, worker) })
	}
	for worker := range plainWorkers {
		group.Go(func() { h.runPlain(traffic, worker) })
	}
	group.Go(func() { h.runMisbehavingClients(traffic) })
	h.config.runOperators(traffic, &group)
	churn.Go(func() { h.stores.churn(churning) })
	h.injectFaults(ctx)
	stopChurn()
	churn.Wait()
	h.Logf("calm")
	clock.Sleep(ctx, calmTime)
	stop()
	group.Wait()
}

// playClients runs clients, which the function starts, and operators while faults are injected, and then alone for calmTime.
func (h *harness) playClients(ctx context.Context, start func(traffic context.Context, clients *sync.WaitGroup)) {
	traffic, stop := context.WithCancel(ctx)
	ends := time.Now().Add(h.plan.Traffic)
	var group sync.WaitGroup
	start(traffic, &group)
	h.config.runOperators(traffic, &group)
	h.injectFaults(ctx)
	clock.Sleep(ctx, time.Until(ends))
	h.Logf("calm")
	clock.Sleep(ctx, calmTime)
	stop()
	group.Wait()
}

// injectFinalFault injects the final fault, directly after an acknowledged change and acknowledged turns.
func (h *harness) injectFinalFault(ctx context.Context) {
	if h.plan.Final == NoFault {
		return
	}
	random := rand.New(rand.NewPCG(h.plan.Seed, 4000))
	made := h.config.compose(h.config.base().generation+1, h.config.base())
	h.config.record(made)
	ordering, cancel := context.WithTimeout(ctx, recoverTime)
	h.config.putUntilDefinite(ordering, made, random)
	cancel()
	end := h.beginFault(faultScope{what: "final " + string(h.plan.Final), stops: everyEdge})
	defer end()
	if h.plan.Volatile {
		h.powerLoss()
		return
	}
	h.killMachines(h.members(), 0)
	h.wipeDisks()
}

// powerLoss kills all machines at the same time, those without a disk too, and wipes the disks of some.
func (h *harness) powerLoss() {
	members := h.members()
	var group sync.WaitGroup
	for _, machine := range members {
		group.Go(func() { h.kill(machine) })
	}
	group.Wait()
	if h.plan.Final == Wipe {
		for _, lost := range h.plan.Lost {
			_ = h.machine(lost).Wipe()
			h.Count("final power loss with a lost disk in " + lost.Class)
		}
	}
	clock.Sleep(context.Background(), restartDelay)
	for _, machine := range members {
		_ = h.launch(machine)
	}
}

// wipeDisks kills, wipes and restarts the machines whose disks the plan loses.
func (h *harness) wipeDisks() {
	if h.plan.Final != Wipe {
		return
	}
	var group sync.WaitGroup
	for _, lost := range h.plan.Lost {
		machine := h.machine(lost)
		if !h.claim(machine) {
			continue
		}
		group.Go(func() {
			defer h.release(machine)
			h.restartWithDamagedDisk(machine, Fault{Kind: Wipe, For: restartDelay})
			h.Count("final loss of a disk in " + lost.Class)
		})
	}
	group.Wait()
}

// verify checks that everything acknowledged is available within the time that recovery may take.
func (h *harness) verify(ctx context.Context) {
	allowed := recoverTime
	if !h.timed {
		allowed = untimedRecovery
	}
	ctx, cancel := context.WithTimeout(ctx, allowed)
	defer cancel()
	if err := h.awaitServed(ctx, allowed); err != nil {
		h.ReportViolation("RECOVER", "%v", err)
	}
	random := rand.New(rand.NewPCG(h.plan.Seed, 4001))
	h.verifyConfiguration(ctx, random)
	var group sync.WaitGroup
	for _, kept := range h.turns.sample(random, samples) {
		source := rand.New(rand.NewPCG(random.Uint64(), 0))
		group.Go(func() { h.verifyTurn(ctx, source, kept) })
	}
	group.Wait()
}

func (h *harness) verifyConfiguration(ctx context.Context, random *rand.Rand) {
	for {
		if h.config.read(ctx, random) {
			return
		}
		if !clock.Sleep(ctx, retryInterval) {
			h.ReportViolation("RECOVER", "no coordinator returns the configuration")
			return
		}
	}
}

// verifyTurn continues a turn that was answered completely. Each attempt is a program of its own: a stream that breaks
// off after its last event has delivered its tokens, and the next attempt delivers as many again.
func (h *harness) verifyTurn(ctx context.Context, random *rand.Rand, kept *turn) {
	client := testbed.NewClient()
	defer client.Close()
	for number := 1; ; number++ {
		call := callOf(talkRoute, "afterwards\n")
		call.Program, call.Session, call.Budget = fmt.Sprintf("after-%s-%d", kept.id, number), "s", 1000
		attempt := h.send(ctx, client, h.Edges[random.IntN(len(h.Edges))], talkRoute, call, kept)
		if attempt.Status == 200 && attempt.isComplete() || attempt.Status == 404 {
			return
		}
		if !clock.Sleep(ctx, 100*time.Millisecond) {
			h.ReportViolation("LOST", "turn %s is not served after the final fault: %s", kept.id, outcomeOf(attempt))
			return
		}
	}
}

func (h *harness) result(took time.Duration) *Result {
	h.History.mu.Lock()
	served := 0
	for _, attempt := range h.attempts {
		if attempt.Status == 200 && attempt.isComplete() {
			served++
		}
	}
	attempts := len(h.attempts)
	h.History.mu.Unlock()
	truncated, delayed := h.relay.Counts()
	sometimes := h.Sometimes()
	sometimes["replies truncated by the relay"], sometimes["bytes delayed by a partition"] = truncated, delayed
	return &Result{
		Plan: h.plan, Violations: h.Violations(), Sometimes: sometimes, Attempts: attempts, Served: served, Seconds: took.Seconds(),
	}
}
