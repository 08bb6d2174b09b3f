//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Times of the case, in seconds since the traffic began.
const (
	plannedConversations = 200
	successorAt          = 1.0  // the successor starts, empty, at another address
	removeAt             = 10.0 // SIGTERM of the machine that it replaces
	secondAfter          = 1.0  // from the end of that machine to the loss of another disk
	secondFor            = 1.0
	goOnAt               = 30.0 // the conversations go on
)

// planned: a store machine is replaced by an empty one at another address, the new one first, then SIGTERM. When the old one has
// ended, another store machine loses its disk.
func planned(ctx context.Context, r *run) (int, error) {
	if err := r.start(ctx, func(*testbed.Configuration) {}); err != nil {
		return couldNot, err
	}
	return r.playAround(ctx, r.replaceAndWipe)
}

// playAround plays conversations with one turn before a trouble and one after it.
func (r *run) playAround(ctx context.Context, trouble func() error) (int, error) {
	var running sync.WaitGroup
	all := make([]*conversation, plannedConversations)
	for i := range all {
		all[i] = &conversation{number: i}
		running.Go(func() { all[i].playPlanned(ctx, r) })
	}
	var failure error
	if r.trouble {
		running.Go(func() { failure = trouble() })
	}
	var fresh firstTurns
	running.Go(func() { fresh = r.firstTurns(ctx, goOnAt) })
	running.Wait()
	if failure != nil {
		return couldNot, failure
	}
	return r.judge(all, fresh, true)
}

// replaceAndWipe replaces the first store machine in a planned way and then takes the disk of the second.
func (r *run) replaceAndWipe() error {
	old, other := r.tier.TurnStores[0], r.tier.TurnStores[1]
	r.at(successorAt)
	successor, err := r.tier.AddTurnStore()
	if err != nil {
		return err
	}
	r.note("%s: started, empty, at %s, as the successor of %s", successor.Settings.NodeName, successor.Settings.IP, old.Settings.NodeName)
	r.at(removeAt)
	r.note("%s: SIGTERM", old.Settings.NodeName)
	err = old.TerminateWithin(8 * time.Second)
	r.note("%s: ended (%v), removed with its disk", old.Settings.NodeName, err)
	_ = os.RemoveAll(old.Settings.DataDir)
	time.Sleep(time.Duration(secondAfter * float64(time.Second)))
	return r.loseDisk(other, time.Duration(secondFor*float64(time.Second)))
}

// loseDisk kills a machine, empties its disk and starts it again.
func (r *run) loseDisk(machine *testbed.Machine, pause time.Duration) error {
	machine.Kill()
	err := machine.Wipe()
	r.note("%s: SIGKILL, disk lost (%v)", machine.Settings.NodeName, err)
	time.Sleep(pause)
	if err == nil {
		err = machine.Start()
	}
	r.note("%s: started again, with an empty disk (%v)", machine.Settings.NodeName, err)
	return err
}

// playPlanned plays two turns of a conversation, the second within the retention of the first.
func (c *conversation) playPlanned(ctx context.Context, r *run) {
	c.edges = []int{c.number % 6, 0, 0, 0, 4 + c.number%2}
	part := float64(c.number) / plannedConversations
	for turn, when := range []float64{6.5 + 2.5*part, goOnAt + 4*part} {
		r.at(when)
		try := call{
			method: "POST", path: testbed.TalkPrefix + "x", body: fmt.Sprintf("turn %d of conversation %d", turn, c.number),
			program: fmt.Sprintf("p%d", c.number), session: "s", previous: c.last, budget: 100000, tokensOut: 33,
			deadline: 5 * time.Second, finish: 60 * time.Second,
		}
		if turn == 1 {
			if c.edges[0] >= 4 { // the other of the two edges, which has not served the first turn
				c.edges[4] = 9 - c.edges[0]
			}
			c.playLast(ctx, r, try)
			return
		}
		if !c.playTurn(ctx, r, 0, try) {
			c.failed = true
			return
		}
	}
}
