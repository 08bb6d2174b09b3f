//go:build review

package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

var (
	kills  = flag.Int("kills", 2, "")
	killAt = flag.Duration("kill-at", 300*time.Millisecond, "")
	down   = flag.Duration("down", 900*time.Millisecond, "")
	gap    = flag.Duration("gap", 2700*time.Millisecond, "")
	storm  = flag.Int("storm", 0, "")
	routes = flag.Int("routes", 300, "")
	turns  = flag.Int("turns", 120, "")
)

var catchUpS = 4.1

func playCatchUp(ctx context.Context, b *bench) error {
	layout := testbed.Layout{Zones: []string{"cheonan-yard", "nonsan-yard", "cheongju-dc", "gongju-dc"}, Edges: 4, Coordinators: 3, TurnStores: 4}
	configuration := testbed.ExampleConfiguration(1)
	err := b.startTier(ctx, layout, func(m *testbed.Machine) { m.Settings.Bounds.CatchUpS = catchUpS }, configuration)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var done []string
	for i := range *turns {
		call := testbed.Call{
			Method: "POST", Path: testbed.TalkPrefix + "x", Body: []byte(fmt.Sprint("first ", i)), Program: fmt.Sprint("p", i),
			Session: fmt.Sprint("s", i), TokensOut: 9,
		}
		reply := b.client.Do(ctx, b.tier.Fronts()[i%4], call)
		if err := reply.CheckEvents(call, call.Body); err != nil {
			b.say("first turn %d: %v", i, err)
			continue
		}
		done = append(done, reply.RequestID)
	}
	b.say("first turns answered whole: %d", len(done))
	stormCtx, stopStorm := context.WithCancel(ctx)
	defer stopStorm()
	var acked, refused atomic.Int64
	var group sync.WaitGroup
	var generation atomic.Uint64
	generation.Store(1)
	if *storm > 0 && *trouble {
		for range *storm {
			group.Go(func() {
				operator := testbed.NewOperator(b.tier.Controls())
				for stormCtx.Err() == nil {
					base := generation.Load()
					next := testbed.ExampleConfiguration(base + 1 + rand.Uint64N(3))
					for i := range *routes {
						r := next.Routes[0]
						r.Name, r.PathPrefix = fmt.Sprint("r", i), fmt.Sprintf("/extra%d/", i)
						next.Routes = append(next.Routes, r)
					}
					response, err := operator.PutConfiguration(stormCtx, base, next.Body())
					switch {
					case err != nil:
					case response.Status == 200:
						acked.Add(1)
						for {
							known := generation.Load()
							if next.Generation <= known || generation.CompareAndSwap(known, next.Generation) {
								break
							}
						}
					default:
						refused.Add(1)
						time.Sleep(2 * time.Millisecond)
					}
				}
			})
		}
	}
	if err := b.loseDisk(b.tier.TurnStores[0], 100*time.Millisecond); err != nil {
		return err
	}
	back := time.Now()
	if *trouble {
		for k := range *kills {
			time.Sleep(time.Until(back.Add(*killAt + time.Duration(k)**gap)))
			killAtOnce(b.tier.Coordinators)
			b.say("all core processes are killed")
			time.Sleep(*down)
			if err := startAll(b.tier.Coordinators); err != nil {
				return err
			}
			b.say("all core processes are back")
		}
	}
	time.Sleep(time.Until(back.Add(time.Duration((catchUpS + 0.05) * float64(time.Second)))))
	if err := b.loseDisk(b.tier.TurnStores[1], 100*time.Millisecond); err != nil {
		return err
	}
	stopStorm()
	group.Wait()
	if *storm > 0 {
		b.say("storm: %d acknowledged, %d refused", acked.Load(), refused.Load())
	}
	time.Sleep(11 * time.Second)
	statuses := make(map[int]int)
	for i, previous := range done {
		call := testbed.Call{
			Method: "POST", Path: testbed.TalkPrefix + "x", Body: []byte("next"), Program: fmt.Sprint("q", i), Session: fmt.Sprint("s", i),
			TokensOut: 9, PreviousTurn: previous,
		}
		reply := b.client.Do(ctx, b.tier.Fronts()[(i+1)%4], call)
		statuses[reply.Status]++
	}
	b.say("answers to the next turns: %v", statuses)
	if statuses[404] > 0 {
		return errBroken
	}
	return nil
}
