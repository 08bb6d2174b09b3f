package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Times of conversations. Turn stores keep a record for 93 s by itself.
const (
	conversationRetention = 30 * time.Second // retentionS of the route
	conversationProof     = 45 * time.Second // after a turn; its chain is kept for longer, so what cannot be continued by then is lost
	shortTurnInterval     = 3 * time.Second  // at the most
	// longTurnInterval is the shortest time of the long ones: two of them are longer than an extension lasts, so a replica that was
	// not told of one turn forgets the turns before it before it is told of the next one.
	longTurnInterval = 28 * time.Second
	longTurnSpread   = time.Second
	catchUpBound     = 4*time.Second + calmSlack // catchUpS
)

// Numbers of conversations and their attempts.
const (
	conversationsAtATime = 300
	shortConversations   = 10 // one of so many conversations has short intervals
	edgesOfAClient       = 3
	lostAfterAttempts    = 5 // that reached no store, at machines in touch
	conversationBudget   = 1 << 20
)

// playConversations runs conversations with faults, and then conversations alone.
func (h *harness) playConversations(ctx context.Context) {
	h.playClients(ctx, func(traffic context.Context, clients *sync.WaitGroup) {
		for worker := range conversationsAtATime {
			clients.Go(func() { h.runConversations(traffic, worker) })
		}
	})
}

// runConversations runs a conversation until ctx ends, or the next one if it cannot be continued. The client keeps one connection to
// each edge for as long as the edge keeps it open.
func (h *harness) runConversations(ctx context.Context, worker int) {
	random := rand.New(rand.NewPCG(h.plan.Seed, 9000+uint64(worker)))
	client := &conversationClient{harness: h, Client: testbed.NewSingleConnectionClient(), random: random, hasShortIntervals: worker%shortConversations == 0}
	defer client.Close()
	for i := range edgesOfAClient {
		client.edges = append(client.edges, h.Edges[(worker+i)%len(h.Edges)])
	}
	clock.Sleep(ctx, time.Duration(random.Int64N(int64(longTurnSpread))))
	for number := 0; ctx.Err() == nil; number++ {
		program := fmt.Sprintf("conversation%d-%d", worker, number)
		h.turns.beginProgram(program, conversationBudget)
		begun := time.Now()
		length := client.runConversation(ctx, program)
		if time.Since(begun) > conversationLifetime() {
			h.Count("conversation outlived its first turn's record")
		}
		if ctx.Err() == nil {
			h.Logf("%s ended after %d turns", program, length)
		}
	}
}

// conversationClient runs one conversation after the other.
type conversationClient struct {
	*testbed.Client
	harness           *harness
	random            *rand.Rand
	edges             []*testbed.Machine
	hasShortIntervals bool
}

// turnInterval returns the time until the next turn.
func (c *conversationClient) turnInterval() time.Duration {
	if c.hasShortIntervals {
		return time.Duration(c.random.Int64N(int64(shortTurnInterval)))
	}
	return longTurnInterval + time.Duration(c.random.Int64N(int64(longTurnSpread)))
}

// conversationLifetime returns how long turn stores keep a turn of a conversation that is not continued.
func conversationLifetime() time.Duration {
	return conversationRetention + conversationRetention/10 + time.Minute
}

// runConversation continues a conversation for as long as it can be continued, and returns its number of turns.
func (c *conversationClient) runConversation(ctx context.Context, program string) int {
	var last *turn
	for number := 0; ; number++ {
		next := c.continueConversation(ctx, program, last, fmt.Sprintf("%s turn %d\n", program, number))
		if next == nil {
			return number
		}
		last = next
		if !clock.Sleep(ctx, c.turnInterval()) {
			return number + 1
		}
	}
}

// continueConversation sends the next turn, each time to another edge, until it is answered. It returns nil if that takes too long.
func (c *conversationClient) continueConversation(ctx context.Context, program string, last *turn, text string) *turn {
	first := c.random.IntN(len(c.edges))
	began := time.Now()
	for number := 0; time.Since(began) < conversationProof-longTurnInterval-longTurnSpread; number++ {
		call := callOf(talkRoute, text)
		call.Program, call.Session, call.Budget = program, program, conversationBudget
		attempt := c.harness.send(ctx, c.Client, c.edges[(first+number)%len(c.edges)], talkRoute, call, last)
		if attempt.Status == 200 && attempt.isComplete() {
			return &turn{id: attempt.ID, prompt: attempt.Prompt, program: program}
		}
		if !clock.Sleep(ctx, time.Duration(50+c.random.IntN(150))*time.Millisecond) {
			return nil
		}
	}
	return nil
}

// checkConversations checks that each turn that was answered could be continued: its chain is kept for its retention, and a little
// longer.
func (h *harness) checkConversations(attempts map[string]*Attempt, runs map[string][]testbed.Run) {
	if !h.plan.Conversations {
		return
	}
	continued := make(map[string]bool)
	rejected := make(map[string][]*Attempt) // at machines in touch, by the turn that they continue
	for id, attempt := range attempts {
		if attempt.Previous == "" {
			continue
		}
		switch {
		case attempt.Status == 200 && attempt.isComplete(), len(runs[id]) > 0:
			continued[attempt.Previous] = true
		case attempt.isNotExecuted() && h.inTouch(attempt):
			rejected[attempt.Previous] = append(rejected[attempt.Previous], attempt)
		}
	}
	for previous, all := range rejected {
		late := h.countSentInRetention(attempts[previous], all) >= lostAfterAttempts
		switch {
		case continued[previous] && late:
			h.reportLate("LOST", "turn %s was continued, but not in %d attempts at machines in touch", previous, lostAfterAttempts)
		case !continued[previous] && len(all) >= lostAfterAttempts:
			h.ReportViolation("LOST", "turn %s of %s was answered completely at %s and could not be continued in %d attempts at machines in touch",
				previous, all[0].Program, attempts[previous].Ended.Format("15:04:05.000"), len(all))
		}
	}
}

func (h *harness) countSentInRetention(previous *Attempt, attempts []*Attempt) int {
	count := 0
	for _, attempt := range attempts {
		if attempt.Sent.Sub(previous.Ended) < conversationRetention {
			count++
		}
	}
	return count
}

// inTouch reports whether an attempt was made at a running edge while no machine with a disk was down or catching up.
func (h *harness) inTouch(attempt *Attempt) bool {
	return h.running(attempt.Front, contactBound+calmSlack, attempt.Sent, attempt.Ended) &&
		h.without(catchUpBound, attempt.Sent, attempt.Ended, func(scope faultScope) bool { return scope.disk })
}
