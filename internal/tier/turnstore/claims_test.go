package turnstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/rpc"
)

// randomLatency is safe for concurrent use.
func randomLatency(seed uint64, most time.Duration) func() time.Duration {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 7))
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(random.Int64N(int64(most)))
	}
}

// partial is a network from which one store cannot be reached.
type partial struct {
	*cluster
	cut string
}

func (p *partial) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	if address == p.cut {
		return rpc.ErrUnreachable
	}
	return p.cluster.Call(ctx, address, method, request, reply)
}

// claimAtOnce has several turns of a program claim at nearly the same time through clients in different zones, and
// returns what those that passed claimed together.
func claimAtOnce(c *cluster, program string, turns int, allowance uint64) uint64 {
	var mu sync.Mutex
	var passed uint64
	var calls sync.WaitGroup
	for i := range turns {
		options := c.options()
		if c.random.IntN(2) == 0 {
			options.Caller = &partial{cluster: c, cut: fmt.Sprintf("10.0.0.%d:1", 1+c.random.IntN(3))}
		}
		options.Zone = string(rune('a' + i%3))
		options.Now, options.After = time.Now, time.After
		calls.Go(func() {
			time.Sleep(c.latency())
			client := budget.NewClient(options)
			err := client.Reserve(context.Background(), program, allowance, fmt.Sprintf("turn%d", i), mostOfTurn)
			client.Wait()
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			passed += mostOfTurn
		})
	}
	calls.Wait()
	return passed
}

func TestClaimsAtOnceNeverPassTheBudget(t *testing.T) {
	sum := uint64(0)
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed, "a", "b", "c")
			defer c.close()
			c.latency = randomLatency(seed, 60*time.Millisecond)
			passed := claimAtOnce(c, fmt.Sprintf("program%d", seed), 3+int(seed%4), 2*mostOfTurn)
			assert.Assert(t, passed <= 2*mostOfTurn, "seed %d: %d", seed, passed)
			sum += passed
		})
	}
	t.Logf("%d of %d passed", sum, 300*2*mostOfTurn)
}
