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

// incomingCall is a call as a store receives it.
type incomingCall struct {
	method      rpc.Method
	request     rpc.Message
	afterRecord bool // it must arrive after its record, because a store ignores extensions of unknown records
}

// incomingCalls returns calls of every kind that a store may receive twice: from a proxy that retries after a timeout,
// from two stores that transfer the same record, or from a network that delayed a call.
func incomingCalls(c *cluster, header *tierpb.StoreRequestHeader) []incomingCall {
	var all []incomingCall
	add := func(method rpc.Method, request rpc.Message) {
		all = append(all, incomingCall{method: method, request: request})
	}
	claim := func(program, request string, stage uint32, tokens uint64, confirmed bool) *tierpb.ProgramBudget {
		entry := &tierpb.BudgetEntry{Request: request, Stage: stage, Tokens: tokens, Confirmed: confirmed}
		return &tierpb.ProgramBudget{
			Program: program, Entries: []*tierpb.BudgetEntry{entry}, LastUsedUnixMs: c.clock.time().UnixMilli(),
		}
	}
	for i := range 4 {
		id, previous := fmt.Sprintf("turn-%d", i), ""
		if i > 0 {
			previous = fmt.Sprintf("turn-%d", i-1)
		}
		record := c.newRecord(id, previous)
		record.RetentionMs += uint32(i) * 1000
		program := fmt.Sprintf("program-%d", i%2)
		reserve := func(stage uint32, tokens uint64, confirmed bool) {
			add(rpc.MethodReserveBudget, &tierpb.ReserveBudgetRequest{Header: header, Budget: claim(program, id, stage, tokens, confirmed)})
		}
		reserve(budget.StageReserved, 10, false)
		reserve(budget.StageReserved, 10, true) // the confirming write
		add(rpc.MethodPutTurns, &tierpb.PutTurnsRequest{Header: header, Records: []*tierpb.TurnRecord{record}})
		add(rpc.MethodReadBudget, &tierpb.ReadBudgetRequest{Header: header, Program: program})
		if i%2 == 0 {
			reserve(budget.StageSettled, 7, false)
		} else {
			reserve(budget.StageSettled, 0, false) // withdrawn
		}
		add(rpc.MethodOfferRecords, &tierpb.OfferRecordsRequest{Header: header, Ids: []string{id, "unknown"}})
		add(rpc.MethodTransferRecords, &tierpb.TransferRecordsRequest{
			Header: header, Records: []*tierpb.TurnRecord{record},
			Budgets: []*tierpb.ProgramBudget{claim(program, "transferred-"+id, budget.StageReserved, 5, i == 1)},
		})
		add(rpc.MethodGetChain, &tierpb.GetChainRequest{Header: header, Id: id})
		until := c.clock.time().Add(time.Duration(i+1) * time.Hour).UnixMilli()
		extensions := []*tierpb.RetentionExtension{{Id: id, UntilUnixMs: until}}
		all = append(all, incomingCall{rpc.MethodPutTurns, &tierpb.PutTurnsRequest{Header: header, Extensions: extensions}, true})
	}
	return all
}

// deliverAll delivers calls to a new store, in the order that arrange gives them, and returns what is durable on its disk
// afterwards. It checks that late calls, of an older epoch, do not change that.
func deliverAll(t *testing.T, seed uint64, arrange func(*rand.Rand, []incomingCall) []incomingCall) string {
	t.Helper()
	c := newCluster(t, 1, "a", "b", "c")
	defer c.close()
	m := c.machines["10.0.0.1:1"]
	header := &tierpb.StoreRequestHeader{Identity: m.store.Identity(), Epoch: c.currentMembership().Epoch}
	random := rand.New(rand.NewPCG(seed, 5))
	for _, call := range arrange(random, incomingCalls(c, header)) {
		_, err := dispatch(context.Background(), m.store, call.method, encode(call.request))
		assert.NilError(t, err)
	}
	before := diskContents(m)
	c.setMembers(nil) // the next epoch; the store rejects calls of the old one from here on
	c.sendControl(m.store)
	for _, call := range incomingCalls(c, header) {
		_, err := dispatch(context.Background(), m.store, call.method, encode(call.request))
		assert.NilError(t, err)
	}
	assert.Equal(t, diskContents(m), before, "calls of an older epoch have changed the disk")
	return before
}

func inOrder(_ *rand.Rand, calls []incomingCall) []incomingCall { return calls }

// duplicated repeats each call once, at a random position after the first.
func duplicated(random *rand.Rand, calls []incomingCall) []incomingCall {
	all := slices.Clone(calls)
	for _, call := range calls {
		first := slices.IndexFunc(all, func(other incomingCall) bool { return other.request == call.request })
		position := first + 1 + random.IntN(len(all)-first)
		all = slices.Insert(all, position, call)
	}
	return all
}

// reordered repeats each call once and shuffles all, except that extensions come after all other calls.
func reordered(random *rand.Rand, calls []incomingCall) []incomingCall {
	all := append(slices.Clone(calls), calls...)
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b incomingCall) int {
		switch {
		case a.afterRecord == b.afterRecord:
			return 0
		case b.afterRecord:
			return -1
		}
		return 1
	})
	return all
}

func TestDuplicateLateAndReorderedCallsChangeNothing(t *testing.T) {
	expected := deliverAll(t, 0, inOrder)
	for seed := range uint64(30) {
		assert.Equal(t, deliverAll(t, seed, duplicated), expected, "duplicated, seed %d", seed)
		assert.Equal(t, deliverAll(t, seed, reordered), expected, "reordered, seed %d", seed)
	}
}
