package turnstore

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
)

// paths is a network of one client: some calls take long, one store is not reached.
type paths struct {
	*cluster
	cut   string
	slow  string
	takes time.Duration // to the slow one
}

func (p *paths) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	switch address {
	case p.cut:
		return rpc.ErrUnreachable
	case p.slow:
		time.Sleep(p.takes)
	}
	return p.cluster.Call(ctx, address, method, request, reply)
}

// Three claims of which each finds one of the others: one that goes to the first members and is slow to reach one of
// them, and two that miss one of these each and go past them. Together they are over the budget.
func TestRingOfClaimsInOneAndTwoRoundsIsBroken(t *testing.T) {
	const program = "program"
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.close()
		c.latency = func() time.Duration { return time.Millisecond }
		set := replica.Set(c.known().Current, program, replica.Size(1))
		first, second := set[0].Address, set[1].Address
		passed := 0
		var mu sync.Mutex
		var calls sync.WaitGroup
		claim := func(request string, after time.Duration, network *paths) {
			calls.Go(func() {
				time.Sleep(after)
				options := c.options()
				options.Caller, options.Now, options.After = network, time.Now, time.After
				client := budget.NewClient(options)
				err := client.Reserve(context.Background(), program, 2*mostOfTurn, request, mostOfTurn)
				client.Wait()
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					passed++
				}
			})
		}
		claim("one round", 0, &paths{cluster: c, slow: first, takes: 34 * time.Millisecond})
		claim("past the first", 2*time.Millisecond, &paths{cluster: c, cut: first})
		claim("past the second", 18*time.Millisecond, &paths{cluster: c, cut: second})
		calls.Wait()
		assert.Assert(t, passed <= 2, "%d passed", passed)
	})
}
