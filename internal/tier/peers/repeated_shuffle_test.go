package peers

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Some requests arrive a second time, several rounds late, and some replies are lost. Views must stay within their size,
// contain no process twice and not their own, and the graph must stay connected.
func TestViewsTolerateRepeatedLateAndLostShuffles(t *testing.T) {
	n := newNetwork(40)
	random := rand.New(rand.NewPCG(1, 1))
	type delayed struct {
		to      string
		request *tierpb.ShuffleRequest
	}
	var inFlight []delayed
	for range 60 {
		for _, address := range n.order {
			view := n.views[address]
			shuffle := view.StartShuffle(n.seeds)
			if shuffle == nil {
				continue
			}
			reply := n.views[shuffle.Address].HandleShuffle(shuffle.Request)
			if random.IntN(3) == 0 {
				inFlight = append(inFlight, delayed{shuffle.Address, shuffle.Request})
			}
			if random.IntN(5) == 0 {
				view.AbortShuffle(shuffle)
			} else {
				view.CompleteShuffle(shuffle, reply)
			}
			if len(inFlight) > 0 && random.IntN(3) == 0 {
				i := random.IntN(len(inFlight))
				n.views[inFlight[i].to].HandleShuffle(inFlight[i].request)
			}
		}
	}
	for address, view := range n.views {
		assert.Assert(t, view.Len() <= viewSize)
		seen := map[string]bool{address: true}
		for _, entry := range view.entries {
			assert.Assert(t, !seen[entry.Node.Address], "view of %s has %s twice, or itself", address, entry.Node.Address)
			seen[entry.Node.Address] = true
		}
	}
	assert.Equal(t, n.reachable(n.order[0]), len(n.order))
}
