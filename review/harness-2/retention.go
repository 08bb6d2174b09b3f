//go:build review

package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// The conversations of the case. Times are in seconds since the traffic began.
const (
	conversations = 300
	spread        = 1.3  // over which the conversations begin
	retentionS    = 34.0 // of the route
	killAt        = 71.9 // the first store machine is killed
	killFor       = 1.7
	wipeAt        = 86.0 // another store machine loses its disk
	wipeFor       = 1.0
	lastTurnAt    = 103.0
	wantedTries   = 6
)

// turnTimes are the times of the turns of a conversation, less its own start. Each follows the one before within the retention.
var turnTimes = []float64{0, 20, 40, 72, lastTurnAt}

// conversation is one session of a program: each turn names the one before.
type conversation struct {
	number  int
	starts  float64
	edges   []int // edge of each turn
	last    string
	lastEnd time.Time
	failed  bool // an earlier turn was not answered whole, so nothing is owed

	tries   int      // of the last turn, while the turn that it names was kept
	ids     []string // of these tries
	answers []string
}

// retention: a conversation goes on within the retention of its last turn, after one store machine was killed and, later and not
// at the same time, another one lost its disk.
func retention(ctx context.Context, r *run) (int, error) {
	err := r.start(ctx, func(c *testbed.Configuration) {
		for i := range c.Routes {
			if c.Routes[i].Retained {
				c.Routes[i].RetentionS, c.Routes[i].TimeoutMs = retentionS, 5000
			}
		}
	})
	if err != nil {
		return couldNot, err
	}
	r.note("%d conversations, retentionS %v, trouble %v", conversations, retentionS, r.trouble)
	var running sync.WaitGroup
	all := make([]*conversation, conversations)
	for i := range all {
		// Lines of turns come in through another zone from turn to turn. The last turn comes in through an edge that has served
		// none of the earlier ones.
		all[i] = &conversation{number: i, starts: spread * float64(i) / conversations, edges: []int{i % 2, 2 + i/2%2, 2 + i/4%2, i % 4, 4 + i%2}}
		running.Go(func() { all[i].play(ctx, r) })
	}
	if r.trouble {
		running.Go(func() { r.killAndWipe() })
	}
	var fresh firstTurns
	running.Go(func() { fresh = r.firstTurns(ctx, lastTurnAt) })
	running.Wait()
	return r.judge(all, fresh, false)
}

// killAndWipe kills the first store machine while conversations go on, and, after it is back for longer than catchUpS, takes
// the disk of the second.
func (r *run) killAndWipe() {
	first, second := r.tier.TurnStores[0], r.tier.TurnStores[1]
	r.at(killAt)
	first.Kill()
	r.note("%s: SIGKILL", first.Settings.NodeName)
	r.at(killAt + killFor)
	err := first.Start()
	r.note("%s: started again, with its disk (%v)", first.Settings.NodeName, err)
	r.at(wipeAt)
	second.Kill()
	err = second.Wipe()
	r.note("%s: SIGKILL, disk lost (%v)", second.Settings.NodeName, err)
	r.at(wipeAt + wipeFor)
	err = second.Start()
	r.note("%s: started again, with an empty disk (%v)", second.Settings.NodeName, err)
}

// play plays one conversation.
func (c *conversation) play(ctx context.Context, r *run) {
	program := fmt.Sprintf("p%d", c.number)
	for turn, when := range turnTimes {
		r.at(c.starts + when)
		try := call{
			method: "POST", path: testbed.TalkPrefix + "x", body: fmt.Sprintf("turn %d of conversation %d", turn, c.number),
			program: program, session: "s", previous: c.last, budget: 100000, tokensOut: 33, deadline: 5 * time.Second,
			finish: r.began.Add(time.Duration((lastTurnAt + 20) * float64(time.Second))).Sub(time.Now()),
		}
		if turn == len(turnTimes)-1 {
			c.playLast(ctx, r, try)
			return
		}
		if !c.playTurn(ctx, r, turn, try) {
			c.failed = true
			r.note("conversation %d: turn %d was not answered whole", c.number, turn)
			return
		}
	}
}

// playTurn sends a turn, again after a failure, until it is answered whole.
func (c *conversation) playTurn(ctx context.Context, r *run, turn int, try call) bool {
	for range 8 {
		try.id = testbed.NewRequestID()
		try.front = r.tier.Fronts()[c.edges[turn]]
		got := send(ctx, try)
		r.note("conversation %d turn %d: %s names %q, at edge %d: %s", c.number, turn, try.id, try.previous, c.edges[turn], got)
		if got.whole() {
			c.last, c.lastEnd = try.id, got.ended
			return true
		}
		time.Sleep(max(got.retryAfter, 100*time.Millisecond))
	}
	return false
}

// playLast sends the last turn until it is answered whole or has been tried often enough.
func (c *conversation) playLast(ctx context.Context, r *run, try call) {
	if c.failed {
		return
	}
	for attempt := 0; attempt < wantedTries; attempt++ {
		if time.Since(c.lastEnd).Seconds() >= retentionS {
			return
		}
		try.id = testbed.NewRequestID()
		edge := c.edges[4]
		if attempt%2 == 1 {
			edge = 9 - edge // the other of edges 4 and 5
		}
		try.front = r.tier.Fronts()[edge]
		c.tries++
		c.ids = append(c.ids, try.id)
		got := send(ctx, try)
		r.note("conversation %d last turn: %s names %q (answered whole %.1f s ago), at edge %d: %s", c.number, try.id, try.previous,
			time.Since(c.lastEnd).Seconds(), edge, got)
		c.answers = append(c.answers, got.String())
		if got.whole() {
			return
		}
		time.Sleep(max(got.retryAfter, 200*time.Millisecond))
	}
}

// firstTurns starts new programs while the last turns are sent, and returns how many of their first turns reached a store and how
// many were answered whole.
func (r *run) firstTurns(ctx context.Context, when float64) (result firstTurns) {
	r.at(when)
	const programs = 30
	ids, answers := make([]string, programs), make([]answer, programs)
	var running sync.WaitGroup
	for i := range programs {
		ids[i] = testbed.NewRequestID()
		running.Go(func() {
			answers[i] = send(ctx, call{
				method: "POST", path: testbed.TalkPrefix + "x", body: "a first turn", id: ids[i], program: fmt.Sprintf("new%d", i), session: "s",
				budget: 1000, tokensOut: 33, finish: 10 * time.Second, deadline: 5 * time.Second, front: r.tier.Fronts()[i%6],
			})
			r.note("new program %d: %s: %s", i, ids[i], answers[i])
		})
	}
	running.Wait()
	for _, got := range answers {
		if got.whole() {
			result.whole++
		}
	}
	ran := r.ran()
	for _, id := range ids {
		if ran[id] {
			result.reached++
		}
	}
	result.sent = len(ids)
	return result
}

// firstTurns counts the first turns of new programs.
type firstTurns struct{ sent, reached, whole int }

// judge applies the rule LOST to the last turns. After a closing fault it is enough that the model stores are under half full; else
// nine tenths of the first turns must reach one as well.
func (r *run) judge(all []*conversation, fresh firstTurns, closing bool) (int, error) {
	ran := r.ran()
	unserved, gone, owed := 0, 0, 0
	for _, c := range all {
		if c.failed || c.tries == 0 {
			continue
		}
		owed++
		answers := strings.Join(c.answers, "; ")
		if strings.Contains(answers, "404") || strings.Contains(answers, "410") {
			gone++
			r.note("conversation %d: a kept turn was answered %s", c.number, answers)
		}
		reached := slices.ContainsFunc(c.ids, func(id string) bool { return ran[id] })
		if !reached && c.tries >= 5 {
			unserved++
			r.note("conversation %d: a kept turn reached no store in %d tries: %s", c.number, c.tries, answers)
		}
	}
	r.say("%d conversations were to go on within the retention; the next turn of %d of them reached no store in five tries or more, %d got "+
		"a 404 or 410; of %d first turns of new programs %d reached a store meanwhile, %d were answered whole",
		owed, unserved, gone, fresh.sent, fresh.reached, fresh.whole)
	full := float64(r.busiest.Load()) / modelSlots
	r.note("at most %.2f of the places of the model stores were taken", full)
	if owed < len(all)/2 || full >= 0.5 || !closing && fresh.reached*10 < fresh.sent*9 {
		return couldNot, fmt.Errorf("too few conversations went on, or the model stores were too full, or new programs reached none")
	}
	if unserved > 0 || gone > 0 {
		return broken, nil
	}
	return held, nil
}
