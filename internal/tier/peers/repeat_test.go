package peers

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// TestRepeatedAndLateExchangesHarmNothing: exchanges reach their peer twice and rounds late, and replies get lost. Views keep
// their bounds, name nobody twice nor themselves, and still hold everybody together.
func TestRepeatedAndLateExchangesHarmNothing(t *testing.T) {
	n := newNetwork(40)
	random := rand.New(rand.NewPCG(1, 1))
	type late struct {
		to      string
		request *tierpb.ShuffleRequest
	}
	var underWay []late
	for range 60 {
		for _, address := range n.order {
			view := n.views[address]
			exchange := view.Begin(n.seeds)
			if exchange == nil {
				continue
			}
			reply := n.views[exchange.Address].Answer(exchange.Request)
			if random.IntN(3) == 0 {
				underWay = append(underWay, late{exchange.Address, exchange.Request})
			}
			if random.IntN(5) == 0 {
				view.Fail(exchange)
			} else {
				view.Finish(exchange, reply)
			}
			if len(underWay) > 0 && random.IntN(3) == 0 {
				i := random.IntN(len(underWay))
				n.views[underWay[i].to].Answer(underWay[i].request)
			}
		}
	}
	for address, view := range n.views {
		assert.Assert(t, view.Len() <= viewSize)
		seen := map[string]bool{address: true}
		for _, entry := range view.entries {
			assert.Assert(t, !seen[entry.Node.Address], "%s names %s twice or itself", address, entry.Node.Address)
			seen[entry.Node.Address] = true
		}
	}
	assert.Equal(t, n.reachable(n.order[0]), len(n.order))
}
