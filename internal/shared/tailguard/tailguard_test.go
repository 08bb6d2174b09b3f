package tailguard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStampSubtractsTheTailFromTheTarget(t *testing.T) {
	deadline, noBudget := QueueingDeadline(0, 300*time.Millisecond, 0.1, 1)
	assert.Equal(t, deadline, 200*time.Millisecond)
	assert.Assert(t, !noBudget)
	_, noBudget = QueueingDeadline(0, 300*time.Millisecond, 0.4, 1)
	assert.Assert(t, noBudget)
	deadline, _ = QueueingDeadline(0, 300*time.Millisecond, 0.4, 0.5)
	assert.Equal(t, deadline, 150*time.Millisecond)
}

func TestNoBudgetFirstThenEarliestDeadline(t *testing.T) {
	assert.Assert(t, QueueKey{Deadline: 9, NoBudget: true}.Before(QueueKey{Deadline: 1}))
	assert.Assert(t, QueueKey{Deadline: 1, Seq: 9}.Before(QueueKey{Deadline: 2, Seq: 1}))
	assert.Assert(t, QueueKey{Deadline: 1, Seq: 1}.Before(QueueKey{Deadline: 1, Seq: 2}))
}

func TestLimitGrowsNearTheBaselineAndFallsOncePerResponseTime(t *testing.T) {
	rule := LimitRule{Min: 2, Max: 8, RiseBelow: 1.3, FallAbove: 2, FallFactor: 0.5}
	limit, fell := rule.Next(4, 0, time.Second, 0.1, 0.1)
	assert.Equal(t, limit, 4.25)
	limit, fell = rule.Next(4, fell, time.Second, 0.3, 0.1)
	assert.Equal(t, limit, 2.0)
	again, _ := rule.Next(4, fell, time.Second+time.Millisecond, 0.3, 0.1)
	assert.Equal(t, again, 4.0)
}

func TestSheddingFollowsTheMissRateAndFallsSlowly(t *testing.T) {
	rule := SheddingRule{MissRateThreshold: 0.017, MinMisses: 4, Gain: 3, FallPerSecond: 0.15}
	assert.Equal(t, rule.Next(0, 0, 3, 3), 0.0)
	assert.Equal(t, rule.Next(0, 0, 10, 10), 1.0)
	assert.Equal(t, rule.Next(1, time.Second, 0, 100), 0.85)
}
