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

// reserveConcurrently makes several claims on the budget of a program at nearly the same time, through clients in different
// zones of which some cannot reach one store. It returns the tokens of the claims that were granted.
func reserveConcurrently(c *cluster, program string, turns int, allowance uint64) uint64 {
	var mu sync.Mutex
	var granted uint64
	var calls sync.WaitGroup
	for i := range turns {
		options := c.replicaOptions()
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
			granted += maxTokensPerTurn
		})
	}
	calls.Wait()
	return granted
}

func TestConcurrentClaimsNeverExceedTheBudget(t *testing.T) {
	totalGranted := uint64(0)
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed, "a", "b", "c")
			defer c.close()
			c.latency = randomLatency(seed, 60*time.Millisecond)
			granted := reserveConcurrently(c, fmt.Sprintf("program%d", seed), 3+int(seed%4), 2*maxTokensPerTurn)
			assert.Assert(t, granted <= 2*maxTokensPerTurn, "seed %d: %d tokens granted", seed, granted)
			totalGranted += granted
		})
	}
	t.Logf("%d of %d tokens granted", totalGranted, 300*2*maxTokensPerTurn)
}

// A withdrawn claim no longer counts towards the budget, so the same request must not be granted again.
func TestWithdrawnClaimIsNotGrantedAgain(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	client := budget.NewClient(c.replicaOptions())
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

// Three claims, which together exceed the budget and of which each sees only one of the others. One is written to the
// top-ranked members in a single round, which reaches one of them late. Each of the other two cannot reach one of these
// members and is confirmed by a second write.
func TestCycleOfConfirmedAndUnconfirmedClaimsStaysWithinTheBudget(t *testing.T) {
	const program = "program"
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.close()
		c.latency = func() time.Duration { return time.Millisecond }
		set := replica.Set(c.currentMembership().Current, program, replica.Size(1))
		first, second := set[0].Address, set[1].Address
		granted := 0
		var mu sync.Mutex
		var calls sync.WaitGroup
		claim := func(request string, after time.Duration, network *slowNetwork) {
			calls.Go(func() {
				time.Sleep(after)
				options := c.replicaOptions()
				options.Caller, options.Now, options.After = network, time.Now, time.After
				client := budget.NewClient(options)
				err := client.Reserve(context.Background(), program, 2*maxTokensPerTurn, request, maxTokensPerTurn)
				client.Wait()
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					granted++
				}
			})
		}
		claim("one round", 0, &slowNetwork{cluster: c, slow: first, delay: 34 * time.Millisecond})
		claim("past the first", 2*time.Millisecond, &slowNetwork{cluster: c, unreachable: first})
		claim("past the second", 18*time.Millisecond, &slowNetwork{cluster: c, unreachable: second})
		calls.Wait()
		assert.Assert(t, granted <= 2, "%d claims granted", granted)
	})
}
