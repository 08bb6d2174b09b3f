package turnstore

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/turns"
)

func TestLongChainIsKeptAsLongAsItsLastTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c", "d", "a", "b")
		defer c.close()
		options := c.options()
		options.Now, options.After = time.Now, time.After
		client := turns.NewClient(options)
		ctx := context.Background()
		previous := ""
		for i := range 8 {
			record := c.record(fmt.Sprintf("turn%d", i), previous)
			assert.NilError(t, client.Save(ctx, record))
			synctest.Wait()
			previous = record.Id
			c.clock.advance(40 * time.Second)
			for _, m := range c.machines {
				m.store.view.expire(c.clock.time())
			}
		}
		c.clock.advance(19 * time.Second) // 59 s after the last turn
		for _, m := range c.machines {
			m.store.view.expire(c.clock.time())
		}
		chain, err := c.turns().Chain(ctx, previous)
		assert.NilError(t, err)
		assert.Equal(t, len(chain), 8)
	})
}
