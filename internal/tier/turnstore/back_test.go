package turnstore

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// What was asked for under a membership is not acknowledged under an older one, wherever that came from.
func TestWriteDoesNotGoBackToAnOlderMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.close()
		previous := c.known().Current
		m := c.add(c.freshAddress(1), "a")
		current := []*tierpb.Node{{Address: m.address, Zone: "a", Identity: m.store.Identity()}}
		c.change(current, previous)
		c.setCut(m, true)
		options := c.options()
		options.Now, options.After = time.Now, time.After
		var asked atomic.Int64
		options.Membership = func() *tierpb.StoreMembership {
			if asked.Add(1) == 1 {
				return c.known()
			}
			return c.outdated(1)
		}
		ctx, cancel := context.WithTimeout(context.Background(), patient)
		defer cancel()
		err := turns.NewClient(options).Save(ctx, c.record("turn", ""))
		assert.ErrorIs(t, err, replica.ErrUncertain)
	})
}
