package turnstore

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/replica"
)

// reserveConcurrently has several turns of a program claim at nearly the same time through clients in different zones, and
// returns what those that passed claimed together.
func reserveConcurrently(c *cluster, program string, turns int, allowance uint64) uint64 {
	var mu sync.Mutex
	var passed uint64
	var calls sync.WaitGroup
	for i := range turns {
		options := c.options()
		if c.random.IntN(2) == 0 {
			options.Caller = &partialNetwork{cluster: c, unreachable: fmt.Sprintf("10.0.0.%d:1", 1+c.random.IntN(3))}
		}
		options.Zone = string(rune('a' + i%3))
		options.Now, options.After = time.Now, time.After
		calls.Go(func() {
			time.Sleep(c.latency())
			client := budget.NewClient(options)
			err := client.Reserve(context.Background(), program, allowance, fmt.Sprintf("turn%d", i), maxTokensPerTurn)
			client.Wait()
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			passed += maxTokensPerTurn
		})
	}
	calls.Wait()
	return passed
}

func TestConcurrentClaimsNeverExceedTheBudget(t *testing.T) {
	sum := uint64(0)
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed, "a", "b", "c")
			defer c.close()
			c.latency = randomLatency(seed, 60*time.Millisecond)
			passed := reserveConcurrently(c, fmt.Sprintf("program%d", seed), 3+int(seed%4), 2*maxTokensPerTurn)
			assert.Assert(t, passed <= 2*maxTokensPerTurn, "seed %d: %d", seed, passed)
			sum += passed
		})
	}
	t.Logf("%d of %d passed", sum, 300*2*maxTokensPerTurn)
}

// A claim that was withdrawn counts nothing any more, so the same one may not be made again.
func TestWithdrawnClaimIsNotGrantedAgain(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	client := budget.NewClient(c.options())
	reserve := func(request string) error {
		err := client.Reserve(context.Background(), "program", maxTokensPerTurn, request, maxTokensPerTurn)
		client.Wait()
		return err
	}
	assert.NilError(t, reserve("first"))
	assert.ErrorIs(t, reserve("second"), budget.ErrExhausted)
	assert.ErrorIs(t, reserve("second"), budget.ErrUncertain)
	client.Withdraw("program", "first")
	client.Wait()
	assert.NilError(t, reserve("third"))
	assert.ErrorIs(t, reserve("second"), budget.ErrUncertain)
}

// Three claims of which each finds one of the others: one that goes to the first members and is slow to reach one of
// them, and two that miss one of these each and go past them. Together they are over the budget.
func TestCycleOfConfirmedAndUnconfirmedClaimsStaysWithinTheBudget(t *testing.T) {
	const program = "program"
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.close()
		c.latency = func() time.Duration { return time.Millisecond }
		set := replica.Set(c.currentMembership().Current, program, replica.Size(1))
		first, second := set[0].Address, set[1].Address
		passed := 0
		var mu sync.Mutex
		var calls sync.WaitGroup
		claim := func(request string, after time.Duration, network *slowNetwork) {
			calls.Go(func() {
				time.Sleep(after)
				options := c.options()
				options.Caller, options.Now, options.After = network, time.Now, time.After
				client := budget.NewClient(options)
				err := client.Reserve(context.Background(), program, 2*maxTokensPerTurn, request, maxTokensPerTurn)
				client.Wait()
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					passed++
				}
			})
		}
		claim("one round", 0, &slowNetwork{cluster: c, slow: first, delay: 34 * time.Millisecond})
		claim("past the first", 2*time.Millisecond, &slowNetwork{cluster: c, unreachable: first})
		claim("past the second", 18*time.Millisecond, &slowNetwork{cluster: c, unreachable: second})
		calls.Wait()
		assert.Assert(t, passed <= 2, "%d passed", passed)
	})
}
