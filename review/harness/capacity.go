//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

var second = flag.Bool("second", true, "play the second burst of the case capacity")

// Figures of the case. The sizes are those of a turn store with 284 MB of memory and 300 MB of disk, which takes 90 MiB of
// records by its own reckoning.
const (
	retention     = 30 * time.Second
	conversations = 24
	turnEvery     = 4 * time.Second  // of a conversation
	lastTurnAt    = 47 * time.Second // after the start of traffic
	burstInput    = 1 << 20          // bytes; maxBodyBytes is 4 MiB
	burstTurns    = 144              // at most: 9 s, twice the longest burst of the site file
	burstEvery    = time.Second / 16 // beside the usual 6 turns a second: 3.7 times the usual rate; twice the site file's largest is 4.2
	burstWorkers  = 4
	secondBurstAt = 48 * time.Second
	firstBurst    = 74 << 20 // until one store machine has this much on its disk
	secondBurst   = 95 << 20 // until each has
	recoverS      = 12 * time.Second
)

func playCapacity(ctx context.Context, b *bench) error {
	configuration := testbed.ExampleConfiguration(1)
	for i := range configuration.Routes {
		configuration.Routes[i].RetentionS = retention.Seconds()
	}
	layout := testbed.Layout{Zones: []string{"cheonan-yard", "nonsan-yard", "cheongju-dc", "gongju-dc"}, Edges: 4, Coordinators: 3, TurnStores: 4}
	err := b.startTier(ctx, layout, func(m *testbed.Machine) {
		switch m.Settings.MachineClass {
		case "app_server":
			m.Settings.Limits.MemoryMb, m.Settings.Limits.DiskMb = 284, 300
		case "edge":
			m.Settings.Limits.MemoryMb = 284
		}
	}, configuration)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(began.Add(at))) }

	var group sync.WaitGroup
	last := make([]string, conversations)
	ended := make([]time.Time, conversations)
	for c := range conversations {
		group.Go(func() {
			for n := 0; ; n++ {
				at := time.Duration(c)*turnEvery/conversations + time.Duration(n)*turnEvery
				if at > lastTurnAt {
					return
				}
				until(at)
				call := testbed.Call{
					Method: "POST", Path: testbed.TalkPrefix + "x", Body: []byte(fmt.Sprintf("conversation %d turn %d", c, n)),
					Program: fmt.Sprint("conversation", c), Session: fmt.Sprint("line", c), TokensOut: 9, PreviousTurn: last[c],
				}
				reply := b.do(ctx, fmt.Sprintf("conversation %d turn %d", c, n), c+n, call)
				if reply.Err != nil || reply.Status != 200 {
					continue
				}
				last[c], ended[c] = reply.RequestID, time.Now()
			}
		})
	}
	if *trouble {
		b.burst(ctx, "first burst", func(sizes []int64) bool { return slices.Max(sizes) >= firstBurst })
	}
	until(secondBurstAt)
	if *trouble && *second {
		b.burst(ctx, "second burst", func(sizes []int64) bool { return slices.Min(sizes) >= secondBurst })
	}
	group.Wait()
	if slices.Contains(last, "") {
		return errors.New("a conversation did not begin")
	}
	until(secondBurstAt + 14*time.Second)
	if *trouble {
		killAtOnce(b.tier.Machines())
		b.say("final fault: all processes are killed")
		time.Sleep(800 * time.Millisecond)
		if err := startAll(b.tier.Machines()); err != nil {
			return err
		}
		b.say("all processes are back")
	}
	return b.continueAll(ctx, last, ended)
}

// burst sends turns with large inputs until the disks of the store machines are as full as wanted.
func (b *bench) burst(ctx context.Context, name string, enough func(sizes []int64) bool) {
	began := time.Now()
	var next, served, refused atomic.Int64
	var group sync.WaitGroup
	for range burstWorkers {
		group.Go(func() {
			for {
				sizes := b.diskSizes()
				n := int(next.Add(1))
				if n > burstTurns || enough(sizes) {
					return
				}
				emptiest := slices.Index(sizes, slices.Min(sizes)) // its zone's clients send this turn, so that all fill alike
				time.Sleep(time.Until(began.Add(time.Duration(n) * burstEvery)))
				call := testbed.Call{
					Method: "POST", Path: testbed.TalkPrefix + "x", Body: bytes.Repeat([]byte{'a' + byte(n%26)}, burstInput),
					Program: fmt.Sprint(name, n), Session: fmt.Sprint(name, n), TokensOut: 9,
				}
				reply := b.do(ctx, name, emptiest, call)
				if reply.Status == 200 && reply.Err == nil {
					served.Add(1)
				} else {
					refused.Add(1)
				}
			}
		})
	}
	group.Wait()
	b.say("%s: %d turns of %d bytes answered whole in %.1f s, %d not; on the disks of the store machines: %v MiB",
		name, served.Load(), burstInput, time.Since(began).Seconds(), refused.Load(), inMiB(b.diskSizes()))
}

// diskSizes returns how many bytes each store machine has on its disk.
func (b *bench) diskSizes() []int64 {
	var sizes []int64
	for _, machine := range b.tier.TurnStores {
		size := int64(0)
		entries, _ := os.ReadDir(machine.Settings.DataDir)
		for _, entry := range entries {
			if info, err := entry.Info(); err == nil {
				size += info.Size()
			}
		}
		sizes = append(sizes, size)
	}
	return sizes
}

func inMiB(sizes []int64) []int64 {
	var rounded []int64
	for _, size := range sizes {
		rounded = append(rounded, size>>20)
	}
	return rounded
}

// continueAll asks for the next turn of each conversation until recoverS is over, beside new programs.
func (b *bench) continueAll(ctx context.Context, last []string, ended []time.Time) error {
	from := time.Now()
	reached := make([]atomic.Bool, len(last))
	statuses := make([]map[int]int, len(last))
	var firstServed, firstAsked, lateServed, lateAsked atomic.Int64
	var group sync.WaitGroup
	for c := range last {
		statuses[c] = make(map[int]int)
		group.Go(func() {
			for n := 0; time.Since(from) < recoverS && !reached[c].Load(); n++ {
				call := testbed.Call{
					Method: "POST", Path: testbed.TalkPrefix + "x", Body: []byte("next"), Program: fmt.Sprintf("after%d-%d", c, n),
					Session: fmt.Sprint("line", c), TokensOut: 9, PreviousTurn: last[c],
				}
				reply := b.do(ctx, fmt.Sprintf("conversation %d next turn", c), c+n, call)
				statuses[c][reply.Status]++
				if b.ran(reply.RequestID) {
					reached[c].Store(true)
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	for n := 0; time.Since(from) < recoverS; n++ {
		call := testbed.Call{
			Method: "POST", Path: testbed.TalkPrefix + "x", Body: []byte("first"), Program: fmt.Sprint("new", n), Session: fmt.Sprint("new", n), TokensOut: 9,
		}
		reply := b.do(ctx, "new program", n, call)
		late := time.Since(from) > recoverS-4*time.Second
		firstAsked.Add(1)
		if late {
			lateAsked.Add(1)
		}
		if reply.Status == 200 && reply.Err == nil {
			firstServed.Add(1)
			if late {
				lateServed.Add(1)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	lost := 0
	for c := range last {
		b.say("conversation %d: its last turn %s ended whole %.1f s before the first try; tries %v; reached a server: %v",
			c, last[c], from.Sub(ended[c]).Seconds(), statuses[c], reached[c].Load())
		if !reached[c].Load() {
			lost++
		}
	}
	b.say("new programs: %d of %d first turns served, %d of %d in the last 4 s", firstServed.Load(), firstAsked.Load(), lateServed.Load(), lateAsked.Load())
	b.say("conversations whose next turn reached no server within recoverS: %d of %d", lost, len(last))
	switch {
	case lateServed.Load()*5 < lateAsked.Load()*4:
		return errors.New("less than four fifths of other turns were served in the last 4 s")
	case lost > 0:
		return errBroken
	}
	return nil
}
