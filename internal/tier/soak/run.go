package soak

import (
	"context"
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
	calmTime    = 6 * time.Second // without troubles, before the last one
	recoverTime = 12 * time.Second
	backAfter   = 500 * time.Millisecond

	untimedRecovery = time.Minute // where bounds are not judged
)

// Result is what a run found.
type Result struct {
	Plan       Plan           `json:"plan"`
	Violations []Violation    `json:"violations"`
	Sometimes  map[string]int `json:"sometimes"`
	Attempts   int            `json:"attempts"`
	Served     int            `json:"served"`
	Seconds    float64        `json:"seconds"`
}

// Run plays a plan and judges it. The history is returned for what it holds of single requests.
func Run(ctx context.Context, plan Plan, options Options) (*Result, *History, error) {
	started := time.Now()
	w, err := newWorld(ctx, plan, options)
	if err != nil {
		return nil, nil, err
	}
	w.play(ctx)
	w.finalFault(ctx)
	w.verify(ctx)
	w.close()
	w.judge()
	return w.result(time.Since(started)), w.History, nil
}

// play runs traffic and troubles, and then traffic alone.
func (w *world) play(ctx context.Context) {
	traffic, stop := context.WithCancel(ctx)
	churning, stopChurn := context.WithCancel(ctx)
	var group, churn sync.WaitGroup
	for worker := range programWorkers {
		group.Go(func() { w.runPrograms(traffic, worker) })
	}
	for worker := range plainWorkers {
		group.Go(func() { w.runPlain(traffic, worker) })
	}
	group.Go(func() { w.runRude(traffic) })
	group.Go(func() { w.config.operate(traffic) })
	group.Go(func() { w.config.readAlong(traffic) })
	group.Go(func() { w.config.probe(traffic) })
	churn.Go(func() { w.stores.churn(churning) })
	w.runTroubles(ctx)
	stopChurn()
	churn.Wait()
	w.Note("calm")
	clock.Sleep(ctx, calmTime)
	stop()
	group.Wait()
}

// finalFault brings about the last trouble, right behind an acknowledged change and an acknowledged turn.
func (w *world) finalFault(ctx context.Context) {
	if w.plan.Final == NoTrouble {
		return
	}
	random := rand.New(rand.NewPCG(w.plan.Seed, 4000))
	made := w.config.compose(w.config.base().generation+1, w.config.base())
	w.config.note(made)
	ordering, cancel := context.WithTimeout(ctx, recoverTime)
	w.config.send(ordering, made, random)
	cancel()
	end := w.begin(cause{what: "final " + string(w.plan.Final), stops: everyEdge})
	defer end()
	if w.plan.Volatile {
		w.losePower()
		return
	}
	w.killAll(w.members(), 0)
	w.loseDisks()
}

// losePower ends all machines at the same moment, those too that do not count, and of some the disk is lost in it.
func (w *world) losePower() {
	members := w.members()
	var group sync.WaitGroup
	for _, machine := range members {
		group.Go(func() { w.kill(machine) })
	}
	group.Wait()
	if w.plan.Final == Wipe {
		for _, lost := range w.plan.Lost {
			_ = w.machine(lost).Wipe()
			w.Count("final loss of power with a lost disk in " + lost.Class)
		}
	}
	clock.Sleep(context.Background(), backAfter)
	for _, machine := range members {
		_ = w.launch(machine)
	}
}

// loseDisks takes disks of running machines one by one.
func (w *world) loseDisks() {
	if w.plan.Final != Wipe {
		return
	}
	var group sync.WaitGroup
	for _, lost := range w.plan.Lost {
		machine := w.machine(lost)
		if !w.claim(machine) {
			continue
		}
		group.Go(func() {
			defer w.release(machine)
			w.loseDisk(machine, Trouble{Kind: Wipe, For: backAfter})
			w.Count("final loss of a disk in " + lost.Class)
		})
	}
	group.Wait()
}

// verify wants all that was acknowledged to be there within the time that recovery may take.
func (w *world) verify(ctx context.Context) {
	allowed := recoverTime
	if !w.timed {
		allowed = untimedRecovery
	}
	ctx, cancel := context.WithTimeout(ctx, allowed)
	defer cancel()
	if err := w.untilServed(ctx, allowed); err != nil {
		w.Break("RECOVER", "%v", err)
	}
	random := rand.New(rand.NewPCG(w.plan.Seed, 4001))
	w.verifyConfiguration(ctx, random)
	var group sync.WaitGroup
	for _, kept := range w.turns.sample(random, samples) {
		source := rand.New(rand.NewPCG(random.Uint64(), 0))
		group.Go(func() { w.verifyTurn(ctx, source, kept) })
	}
	group.Wait()
}

func (w *world) verifyConfiguration(ctx context.Context, random *rand.Rand) {
	for {
		if _, ok := w.config.read(ctx, random); ok {
			return
		}
		if !clock.Sleep(ctx, orderPause) {
			w.Break("RECOVER", "no coordinator tells the configuration")
			return
		}
	}
}

// verifyTurn goes on from a turn that was answered whole, in a new program.
func (w *world) verifyTurn(ctx context.Context, random *rand.Rand, kept *turn) {
	client := testbed.NewClient()
	defer client.Close()
	for {
		call := callOf(talkRoute, "afterwards\n")
		call.Program, call.Session, call.Budget = "after-"+kept.id, "s", 1000
		attempt := w.try(ctx, client, w.Edges[random.IntN(len(w.Edges))], talkRoute, call, kept)
		if attempt.Status == 200 && attempt.whole() || attempt.Status == 404 {
			return
		}
		if !clock.Sleep(ctx, 100*time.Millisecond) {
			w.Break("LOST", "turn %s is not served after the last trouble: %s", kept.id, outcomeOf(attempt))
			return
		}
	}
}

func (w *world) result(took time.Duration) *Result {
	w.History.mu.Lock()
	served := 0
	for _, attempt := range w.attempts {
		if attempt.Status == 200 && attempt.whole() {
			served++
		}
	}
	attempts := len(w.attempts)
	w.History.mu.Unlock()
	lost, held := w.relay.Counts()
	sometimes := w.Sometimes()
	sometimes["replies cut by the relay"], sometimes["bytes held by a cut"] = lost, held
	return &Result{
		Plan: w.plan, Violations: w.Violations(), Sometimes: sometimes, Attempts: attempts, Served: served, Seconds: took.Seconds(),
	}
}
