package replica

import (
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestReadAndWriteQuorumsIntersect(t *testing.T) {
	for tolerance := range 4 {
		for size := 1; size <= Size(tolerance); size++ {
			write, read := WriteQuorum(tolerance, size), ReadQuorum(tolerance, size)
			assert.Assert(t, write+read > size && write <= size && read <= size)
		}
		assert.Equal(t, WriteQuorum(tolerance, Size(tolerance)), tolerance+1)
		assert.Equal(t, ReadQuorum(tolerance, Size(tolerance)), tolerance+1)
	}
}

func TestTrackerNeedsAQuorumOfEachSet(t *testing.T) {
	nodes := testNodes(6, 3)
	tracker := &quorumTracker{sets: [][]*tierpb.Node{nodes[:3], nodes[3:]}, tolerance: 1, quorum: WriteQuorum}
	acked := identities{nodes[0].Identity: true, nodes[1].Identity: true, nodes[3].Identity: true}
	assert.Assert(t, !tracker.isReached(acked))
	assert.Assert(t, !tracker.isNeeded(nodes[2], acked), "its set already has a quorum")
	assert.Assert(t, tracker.isNeeded(nodes[5], acked))
	acked[nodes[5].Identity] = true
	assert.Assert(t, tracker.isReached(acked))
	assert.Assert(t, !tracker.topRankedAcked(acked), "there are two sets")
}

func TestTrackerWithoutMembershipIsIncomplete(t *testing.T) {
	tracker := &quorumTracker{tolerance: 1, quorum: WriteQuorum}
	assert.Assert(t, !tracker.isReached(identities{}))
}

func TestQuorumIsTopRankedOnlyWithTheMembersOfTheHighestRank(t *testing.T) {
	nodes := testNodes(3, 3)
	tracker := &quorumTracker{sets: [][]*tierpb.Node{nodes}, tolerance: 1, quorum: WriteQuorum}
	assert.Assert(t, tracker.topRankedAcked(identities{nodes[0].Identity: true, nodes[1].Identity: true}))
	assert.Assert(t, !tracker.topRankedAcked(identities{nodes[0].Identity: true, nodes[2].Identity: true}))
}
