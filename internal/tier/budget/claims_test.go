package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func randomEntries(random *rand.Rand) []*tierpb.BudgetEntry {
	entries := make([]*tierpb.BudgetEntry, 12)
	for i := range entries {
		entries[i] = &tierpb.BudgetEntry{
			Request:   fmt.Sprintf("turn%d", random.IntN(4)),
			Tokens:    random.Uint64N(50),
			Stage:     random.Uint32N(2),
			Confirmed: random.IntN(4) == 0,
		}
	}
	return entries
}

func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		entries := randomEntries(random)
		var want *tierpb.ProgramBudget
		for range 5 {
			got := &tierpb.ProgramBudget{Program: "p"}
			for _, at := range random.Perm(len(entries)) {
				Merge(got, entries[at:at+1])
				Merge(got, entries[at:at+1])
			}
			assert.Assert(t, Covers(got, entries))
			assert.Assert(t, !Merge(got, entries))
			if want == nil {
				want = got
			}
			assert.Assert(t, got.EqualVT(want), "%v is not %v", got, want)
		}
	}
}

func TestSettledClaimCountsUsedTokens(t *testing.T) {
	known := &tierpb.ProgramBudget{Program: "p"}
	Merge(known, []*tierpb.BudgetEntry{{Request: "a", Tokens: 100}, {Request: "b", Tokens: 30}})
	assert.Equal(t, Total(known), uint64(130))
	Merge(known, []*tierpb.BudgetEntry{{Request: "a", Tokens: 7, Stage: StageSettled}})
	Merge(known, []*tierpb.BudgetEntry{{Request: "a", Tokens: 100}})
	assert.Equal(t, Total(known), uint64(37))
}

func TestTotalSaturates(t *testing.T) {
	known := &tierpb.ProgramBudget{Program: "p"}
	Merge(known, []*tierpb.BudgetEntry{{Request: "a", Tokens: ^uint64(0)}, {Request: "b", Tokens: 30}})
	assert.Equal(t, Total(known), ^uint64(0))
}

func TestPriorityIsByRequestOrder(t *testing.T) {
	known := &tierpb.ProgramBudget{Program: "p"}
	first, second := &tierpb.BudgetEntry{Request: "a", Tokens: 10}, &tierpb.BudgetEntry{Request: "b", Tokens: 10}
	Merge(known, []*tierpb.BudgetEntry{first, second})
	assert.Assert(t, hasPriority(known, first, 15))
	assert.Assert(t, !hasPriority(known, second, 15))
	Merge(known, []*tierpb.BudgetEntry{{Request: "c", Tokens: 6, Stage: StageSettled}})
	assert.Assert(t, !hasPriority(known, first, 15))
}
