package turnstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// delivery is a call as it comes to a store.
type delivery struct {
	method  rpc.Method
	request rpc.Message
	ordered bool // an extension is dropped where its record has not come
}

// deliveries are calls of every kind that a store may get twice: from a proxy that tries again after a time-out, from
// two stores that hand on the same record, or from a network that held a call up.
func deliveries(c *cluster, header *tierpb.StoreRequestHeader) []delivery {
	var all []delivery
	add := func(method rpc.Method, request rpc.Message) {
		all = append(all, delivery{method: method, request: request})
	}
	claim := func(program, request string, stage uint32, tokens uint64, marked bool) *tierpb.ProgramBudget {
		entry := &tierpb.BudgetEntry{Request: request, Stage: stage, Tokens: tokens, Confirmed: marked}
		return &tierpb.ProgramBudget{
			Program: program, Entries: []*tierpb.BudgetEntry{entry}, LastUsedUnixMs: c.clock.time().UnixMilli(),
		}
	}
	for i := range 4 {
		id, previous := fmt.Sprintf("turn-%d", i), ""
		if i > 0 {
			previous = fmt.Sprintf("turn-%d", i-1)
		}
		record := c.record(id, previous)
		record.RetentionMs += uint32(i) * 1000
		program := fmt.Sprintf("program-%d", i%2)
		reserve := func(stage uint32, tokens uint64, marked bool) {
			add(rpc.MethodReserveBudget, &tierpb.ReserveBudgetRequest{Header: header, Budget: claim(program, id, stage, tokens, marked)})
		}
		reserve(budget.StageReserved, 10, false)
		reserve(budget.StageReserved, 10, true) // the second round
		add(rpc.MethodPutTurns, &tierpb.PutTurnsRequest{Header: header, Records: []*tierpb.TurnRecord{record}})
		add(rpc.MethodReadBudget, &tierpb.ReadBudgetRequest{Header: header, Program: program})
		if i%2 == 0 {
			reserve(budget.StageSettled, 7, false)
		} else {
			reserve(budget.StageSettled, 0, false) // withdrawn
		}
		add(rpc.MethodOfferRecords, &tierpb.OfferRecordsRequest{Header: header, Ids: []string{id, "unknown"}})
		add(rpc.MethodMoveRecords, &tierpb.MoveRecordsRequest{
			Header: header, Records: []*tierpb.TurnRecord{record},
			Budgets: []*tierpb.ProgramBudget{claim(program, "moved-"+id, budget.StageReserved, 5, i == 1)},
		})
		add(rpc.MethodGetChain, &tierpb.GetChainRequest{Header: header, Id: id})
		until := c.clock.time().Add(time.Duration(i+1) * time.Hour).UnixMilli()
		extensions := []*tierpb.RetentionExtension{{Id: id, UntilUnixMs: until}}
		all = append(all, delivery{rpc.MethodPutTurns, &tierpb.PutTurnsRequest{Header: header, Extensions: extensions}, true})
	}
	return all
}

// deliver has calls come to a new store and returns what is on its disk afterwards.
func deliver(t *testing.T, seed uint64, arrange func(*rand.Rand, []delivery) []delivery) string {
	t.Helper()
	c := newCluster(t, 1, "a", "b", "c")
	defer c.close()
	m := c.machines["10.0.0.1:1"]
	header := &tierpb.StoreRequestHeader{Identity: m.store.Identity(), Epoch: c.known().Epoch}
	random := rand.New(rand.NewPCG(seed, 5))
	for _, call := range arrange(random, deliveries(c, header)) {
		_, err := dispatch(context.Background(), m.store, call.method, encode(call.request))
		assert.NilError(t, err)
	}
	before := contentsOf(m)
	c.setMembers(nil) // another epoch: what comes now comes too late
	c.teach(m.store)
	for _, call := range deliveries(c, header) {
		_, err := dispatch(context.Background(), m.store, call.method, encode(call.request))
		assert.NilError(t, err)
	}
	assert.Equal(t, contentsOf(m), before, "calls of an older epoch")
	return before
}

// contentsOf lists what a store has on its disk.
func contentsOf(m *machine) string {
	var lines []string
	found := held(m.disk)
	for id, record := range found.records {
		lines = append(lines, fmt.Sprintf("%s until %d %s", id, record.expiresUnixMs, record.turn))
	}
	for name, program := range found.programs {
		lines = append(lines, fmt.Sprintf("%s %s", name, program.budget))
	}
	slices.Sort(lines)
	return fmt.Sprint(lines)
}

func once(_ *rand.Rand, calls []delivery) []delivery { return calls }

// twice has each call come once more, at any time after it came first.
func twice(random *rand.Rand, calls []delivery) []delivery {
	all := slices.Clone(calls)
	for _, call := range calls {
		first := slices.IndexFunc(all, func(other delivery) bool { return other.request == call.request })
		at := first + 1 + random.IntN(len(all)-first)
		all = slices.Insert(all, at, call)
	}
	return all
}

// shuffled has calls come twice each and in any order, but extensions behind what they extend.
func shuffled(random *rand.Rand, calls []delivery) []delivery {
	all := append(slices.Clone(calls), calls...)
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b delivery) int {
		switch {
		case a.ordered == b.ordered:
			return 0
		case b.ordered:
			return -1
		}
		return 1
	})
	return all
}

func TestCallsTwiceLateAndInAnotherOrderChangeNothing(t *testing.T) {
	expected := deliver(t, 0, once)
	for seed := range uint64(30) {
		assert.Equal(t, deliver(t, seed, twice), expected, "seed %d", seed)
		assert.Equal(t, deliver(t, seed, shuffled), expected, "seed %d", seed)
	}
}
