//go:build review

package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

var coreKills = flag.Int("kills", 2, "how often the case catchup kills all processes of the core")

// Figures of the case. The bounds are those of the site file.
const (
	firstTurns    = 600
	firstWorkers  = 8
	catchUpS      = 4100 * time.Millisecond
	margin        = 500 * time.Millisecond // the second disk is lost this long after the first machine no longer counts as lost
	firstKillAt   = 300 * time.Millisecond // after the first machine is back
	killsApart    = 2700 * time.Millisecond
	coreDown      = 900 * time.Millisecond // the processes of the core come back within a second
	programs      = 40
	budgetTokens  = 30
	tokensPerTurn = 9
	turnsInBudget = 3
)

// playCatchUp loses the disk of one store machine, and that of another one after the first has caught up by the pages' reckoning.
// Meanwhile all processes of the core are killed and come back, twice.
func playCatchUp(ctx context.Context, b *bench) error {
	layout := testbed.Layout{
		Zones: []string{"cheonan-yard", "nonsan-yard", "cheongju-dc", "gongju-dc"}, Edges: 4, Coordinators: 3, TurnStores: 4,
	}
	err := b.startTier(ctx, layout, func(m *testbed.Machine) { m.Settings.Bounds.CatchUpS = catchUpS.Seconds() }, testbed.ExampleConfiguration(1))
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	answered := b.takeFirstTurns(ctx)
	if len(answered) < firstTurns {
		return fmt.Errorf("only %d first turns were answered whole", len(answered))
	}
	spent := make([]int, programs)
	for p := range programs {
		spent[p] = b.spend(ctx, p, "before", turnsInBudget+1)
	}
	if *trouble {
		if err := b.loseTwoDisks(); err != nil {
			return err
		}
		time.Sleep(recoverS)
	}
	statuses := make(map[int]int)
	for i, previous := range answered {
		call := testbed.Call{
			Method: "POST", Path: testbed.TalkPrefix + "x", Body: []byte("next"), Program: fmt.Sprint("q", i), Session: fmt.Sprint("s", i),
			TokensOut: tokensPerTurn, PreviousTurn: previous,
		}
		statuses[b.do(ctx, fmt.Sprint("next turn ", i), i+1, call).Status]++
	}
	over := 0
	for p := range programs {
		total := spent[p] + b.spend(ctx, p, "after", turnsInBudget+1)
		if total > budgetTokens+tokensPerTurn {
			over++
		}
	}
	b.say("statuses of the next turns of %d turns that were answered whole: %v", len(answered), statuses)
	b.say("programs that were handed more tokens than their budget and one turn: %d of %d", over, programs)
	if statuses[404]+statuses[410] > 0 {
		return errBroken
	}
	return nil
}

// takeFirstTurns returns the ids of the turns that were answered whole. It takes several at a time, so that edges spread their
// records over all pairs of store machines.
func (b *bench) takeFirstTurns(ctx context.Context) []string {
	var next atomic.Int64
	var mu sync.Mutex
	var answered []string
	var group sync.WaitGroup
	for range firstWorkers {
		group.Go(func() {
			for {
				i := int(next.Add(1))
				if i > firstTurns {
					return
				}
				call := testbed.Call{
					Method: "POST", Path: testbed.TalkPrefix + "x", Body: []byte(fmt.Sprint("first ", i)), Program: fmt.Sprint("p", i),
					Session: fmt.Sprint("s", i), TokensOut: tokensPerTurn,
				}
				reply := b.do(ctx, fmt.Sprint("first turn ", i), i, call)
				if reply.CheckEvents(call, call.Body) == nil {
					mu.Lock()
					answered = append(answered, reply.RequestID)
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return answered
}

// spend takes turns of a program with a budget and returns how many tokens it was handed.
func (b *bench) spend(ctx context.Context, program int, when string, turns int) int {
	tokens := 0
	for n := range turns {
		call := testbed.Call{
			Method: "POST", Path: testbed.TalkPrefix + "x", Body: []byte("spend"), Program: fmt.Sprint("budget", program),
			Session: fmt.Sprint("b", program), TokensOut: tokensPerTurn, Budget: budgetTokens,
		}
		reply := b.do(ctx, fmt.Sprintf("budget of program %d, %s, turn %d", program, when, n), program+n, call)
		if reply.Status == 200 && reply.Err == nil {
			tokens += tokensPerTurn
		}
	}
	return tokens
}

// loseTwoDisks takes the disks of the two store machines that have written most, one after the other.
func (b *bench) loseTwoDisks() error {
	sizes := b.diskSizes()
	order := []int{0, 1, 2, 3}
	slices.SortFunc(order, func(one, other int) int { return cmp.Compare(sizes[other], sizes[one]) })
	first, second := b.tier.TurnStores[order[0]], b.tier.TurnStores[order[1]]
	if err := b.loseDisk(first, 100*time.Millisecond); err != nil {
		return err
	}
	back := time.Now()
	for k := range *coreKills {
		time.Sleep(time.Until(back.Add(firstKillAt + time.Duration(k)*killsApart)))
		killAtOnce(b.tier.Coordinators)
		b.say("all processes of the core are killed")
		time.Sleep(coreDown)
		if err := startAll(b.tier.Coordinators); err != nil {
			return err
		}
		b.say("all processes of the core are back")
	}
	time.Sleep(time.Until(back.Add(catchUpS + margin)))
	b.say("%s has been back for %.2f s", first.Settings.NodeName, time.Since(back).Seconds())
	return b.loseDisk(second, 100*time.Millisecond)
}
