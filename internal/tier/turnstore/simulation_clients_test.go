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

// clientOptions returns the context and options of a client that learns of membership changes late and may not reach one of
// the stores.
func (s *simulation) clientOptions(seed uint64) (context.Context, context.CancelFunc, replica.Options) {
	random := rand.New(rand.NewPCG(seed, 2))
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	options := s.replicaOptions()
	options.CacheBytes = 1
	options.Zone = string(rune('a' + random.IntN(5)))
	options.Now, options.After = time.Now, time.After
	lag := time.Duration(random.Int64N(int64(maxUpdateLag)))
	if random.IntN(4) == 0 {
		lag = time.Duration(random.Int64N(int64(partitionedUpdateLag)))
	}
	options.Membership = func() *tierpb.StoreMembership { return s.membershipBefore(lag) }
	if known := s.membershipBefore(0); random.IntN(3) == 0 && len(known.GetCurrent()) > 0 {
		members := append(slices.Clone(known.Current), known.Previous...)
		options.Caller = &partialNetwork{cluster: s.cluster, unreachable: members[random.IntN(len(members))].Address}
	}
	return ctx, cancel, options
}

// membershipBefore returns the membership that was the newest a given time ago, nil if there was none.
func (s *simulation) membershipBefore(lag time.Duration) *tierpb.StoreMembership {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	for i := len(s.history) - 1; i >= 0; i-- {
		if time.Since(s.history[i].at) >= lag {
			return s.history[i].membership
		}
	}
	return nil
}

// reportViolation records that a client has found a violation of a guarantee.
func (s *simulation) reportViolation(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations += fmt.Sprintf(format, values...)
}

func (s *simulation) save() {
	s.nextName++
	id := fmt.Sprintf("turn-%d", s.nextName)
	record, seed := s.newRecord(id, ""), s.random.Uint64()
	record.RetentionMs = uint32(simulationRetention.Milliseconds())
	s.clients.Go(func() {
		ctx, cancel, options := s.clientOptions(seed)
		defer cancel()
		if turns.NewClient(options).Save(ctx, record) == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.oracle.turns = append(s.oracle.turns, id)
		}
	})
}

func (s *simulation) read() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.oracle.turns) == 0 {
		return
	}
	id, seed := s.oracle.turns[s.random.IntN(len(s.oracle.turns))], s.random.Uint64()
	s.clients.Go(func() {
		ctx, cancel, options := s.clientOptions(seed)
		defer cancel()
		if _, err := turns.NewClient(options).Chain(ctx, id); errors.Is(err, turns.ErrNotFound) {
			s.reportViolation("%s was acknowledged and is not found\n", id)
		}
	})
}

// claimBudget makes concurrent claims on the budget of a new program or of one that has claimed before.
func (s *simulation) claimBudget() {
	number := s.random.IntN(1 + 2*len(s.programs))
	if number >= len(s.programs) {
		number = len(s.programs)
		s.programs = append(s.programs, &budgetUsage{budget: uint64(maxTokensPerTurn * (1 + s.random.IntN(3)))})
	}
	for range 1 + s.random.IntN(4) {
		s.claim(fmt.Sprintf("program-%d", number), s.programs[number])
	}
}

func (s *simulation) claim(program string, usage *budgetUsage) {
	s.nextName++
	request, seed := fmt.Sprintf("claim-%d", s.nextName), s.random.Uint64()
	s.clients.Go(func() {
		ctx, cancel, options := s.clientOptions(seed)
		defer cancel()
		client := budget.NewClient(options)
		if client.Reserve(ctx, program, usage.budget, request, maxTokensPerTurn) != nil {
			client.Wait()
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.oracle.newClaims = append(s.oracle.newClaims, acknowledgedClaim{program: program, request: request})
		usage.reserved += maxTokensPerTurn
		if usage.reserved > usage.budget {
			s.violations += fmt.Sprintf("%s: %d tokens reserved of a budget of %d\n", program, usage.reserved, usage.budget)
		}
	})
}

// currentOptions returns the options of a client that knows the newest membership.
func (s *simulation) currentOptions() replica.Options {
	options := s.replicaOptions()
	options.CacheBytes = 1
	options.Now, options.After = time.Now, time.After
	return options
}
