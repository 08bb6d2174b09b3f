package turnstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// clientOptions returns the options of a client that learns of changes later than the stores.
func (w *simulation) clientOptions(seed uint64) (context.Context, context.CancelFunc, replica.Options) {
	random := rand.New(rand.NewPCG(seed, 2))
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	options := w.options()
	options.CacheBytes = 1
	options.Zone = string(rune('a' + random.IntN(5)))
	options.Now, options.After = time.Now, time.After
	lag := time.Duration(random.Int64N(int64(maxUpdateLag)))
	if random.IntN(4) == 0 {
		lag = time.Duration(random.Int64N(int64(partitionedUpdateLag)))
	}
	options.Membership = func() *tierpb.StoreMembership { return w.membershipBefore(lag) }
	if known := w.membershipBefore(0); random.IntN(3) == 0 && len(known.GetCurrent()) > 0 {
		members := append(slices.Clone(known.Current), known.Previous...)
		options.Caller = &partialNetwork{cluster: w.cluster, unreachable: members[random.IntN(len(members))].Address}
	}
	return ctx, cancel, options
}

// membershipBefore returns the membership that was the newest some time ago.
func (w *simulation) membershipBefore(lag time.Duration) *tierpb.StoreMembership {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	for i := len(w.history) - 1; i >= 0; i-- {
		if time.Since(w.history[i].at) >= lag {
			return w.history[i].membership
		}
	}
	return nil
}

// reportViolation records a violation of a guarantee that a client has found.
func (w *simulation) reportViolation(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations += fmt.Sprintf(format, values...)
}

func (w *simulation) save() {
	w.nextName++
	id := fmt.Sprintf("turn-%d", w.nextName)
	record, seed := w.record(id, ""), w.random.Uint64()
	record.RetentionMs = uint32(simulationRetention.Milliseconds())
	w.clients.Go(func() {
		ctx, cancel, options := w.clientOptions(seed)
		defer cancel()
		if turns.NewClient(options).Save(ctx, record) == nil {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.oracle.turns = append(w.oracle.turns, id)
		}
	})
}

func (w *simulation) read() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.oracle.turns) == 0 {
		return
	}
	id, seed := w.oracle.turns[w.random.IntN(len(w.oracle.turns))], w.random.Uint64()
	w.clients.Go(func() {
		ctx, cancel, options := w.clientOptions(seed)
		defer cancel()
		if _, err := turns.NewClient(options).Chain(ctx, id); errors.Is(err, turns.ErrNotFound) {
			w.reportViolation("%s is not found", id)
		}
	})
}

// spend makes concurrent claims on the budget of a new program or of one that has claimed before.
func (w *simulation) spend() {
	at := w.random.IntN(1 + 2*len(w.programs))
	if at >= len(w.programs) {
		at = len(w.programs)
		w.programs = append(w.programs, &spending{budget: uint64(maxTokensPerTurn * (1 + w.random.IntN(3)))})
	}
	for range 1 + w.random.IntN(4) {
		w.claim(fmt.Sprintf("program-%d", at), w.programs[at])
	}
}

func (w *simulation) claim(program string, spent *spending) {
	w.nextName++
	request, seed := fmt.Sprintf("claim-%d", w.nextName), w.random.Uint64()
	w.clients.Go(func() {
		ctx, cancel, options := w.clientOptions(seed)
		defer cancel()
		client := budget.NewClient(options)
		if client.Reserve(ctx, program, spent.budget, request, maxTokensPerTurn) != nil {
			client.Wait()
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.oracle.newClaims = append(w.oracle.newClaims, acknowledgedClaim{program: program, request: request})
		spent.reserved += maxTokensPerTurn
		if spent.reserved > spent.budget {
			w.violations += fmt.Sprintf("%s: %d of %d", program, spent.reserved, spent.budget)
		}
	})
}

// currentOptions returns the options of a client that knows the newest membership.
func (w *simulation) currentOptions() replica.Options {
	options := w.options()
	options.CacheBytes = 1
	options.Now, options.After = time.Now, time.After
	return options
}
