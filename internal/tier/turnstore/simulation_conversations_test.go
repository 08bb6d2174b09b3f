package turnstore

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// Parameters of the conversations. A record expires 82 s after its turn unless its retention is extended.
const (
	conversationCount     = 10
	conversationRetention = 20 * time.Second
	conversationsFor      = 4 * time.Minute
	minTurnInterval       = 4 * time.Second
	maxTurnInterval       = 16 * time.Second
	conversationStep      = 500 * time.Millisecond
	longestFailure        = 100 * time.Second // longer than a record is kept without an extension
)

// Guards against conversations that forget their beginning (review/4): they go on for longer than their first turns are kept by
// themselves, while machines fail one after the other, some for longer than that, and come back or lose their disks.
func TestConversationsOutliveTheRetentionOfTheirFirstTurns(t *testing.T) {
	for seed := range uint64(simulationSeeds()) {
		for _, size := range []tierSize{{1, 3}, {1, 4}, {1, 6}, {2, 5}} {
			synctest.Test(t, func(t *testing.T) { runConversations(t, seed, size) })
		}
	}
}

// conversation is a chain of turns of one program, each saved by another proxy. The simulation's mutex guards it.
type conversation struct {
	number  int
	turns   []string
	endedAt time.Time // of the last turn
	nextAt  time.Time // of the next turn
	busy    bool      // the next turn is being saved
}

func (c *conversation) last() string {
	if len(c.turns) == 0 {
		return ""
	}
	return c.turns[len(c.turns)-1]
}

// isRetained returns whether the last turn can still be continued.
func (c *conversation) isRetained() bool {
	return len(c.turns) > 0 && time.Since(c.endedAt) < conversationRetention
}

func runConversations(t *testing.T, seed uint64, size tierSize) {
	t.Helper()
	t.Logf("seed %d, %d members of which %d may fail", seed, size.members, size.tolerance)
	s := newSimulation(t, seed, size)
	defer s.end()
	conversations := make([]*conversation, conversationCount)
	for number := range conversations {
		conversations[number] = &conversation{number: number, nextAt: time.Now().Add(s.randomDuration(0, maxTurnInterval))}
	}
	calmSince, longest := time.Now(), 0
	for end := time.Now().Add(conversationsFor); time.Now().Before(end); s.advanceTime(conversationStep) {
		if !s.isCalm() {
			calmSince = time.Now()
		}
		if time.Since(calmSince) > catchUpTimeout {
			s.checkConversations(conversations)
			s.disruptConversations()
		}
		longest = max(longest, s.continueConversations(conversations))
		if t.Failed() {
			return
		}
	}
	t.Logf("%d failures, the longest conversation has %d turns, epoch %d", s.failures, longest, s.control.Stores.Epoch)
}

// isCalm returns whether no machine has failed and no records migrate.
func (s *simulation) isCalm() bool { return len(s.failed) == 0 && len(s.control.Stores.Previous) == 0 }

func (s *simulation) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(s.random.Int64N(int64(maximum-minimum)))
}

// disruptConversations starts a random event, or none.
func (s *simulation) disruptConversations() {
	switch number := s.random.IntN(100); {
	case number < 12:
		s.failMachine(failureKind(s.random.IntN(failureKinds)))
		for m := range s.failed {
			if s.random.IntN(4) == 0 {
				s.failed[m] = time.Now().Add(s.randomDuration(0, longestFailure))
			}
		}
	case number < 13 && len(s.machines) < s.maxMachines:
		s.addMachine()
	case number < 14:
		s.retire()
	case number < 15:
		s.losePowerEverywhere()
	case number < 17:
		s.compactRandomMachines()
	}
}

// continueConversations begins the next turn of each conversation when it is time, and returns the longest length so far.
func (s *simulation) continueConversations(conversations []*conversation) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := 0
	for _, c := range conversations {
		longest = max(longest, len(c.turns))
		if c.busy || time.Now().Before(c.nextAt) {
			continue
		}
		if !c.isRetained() { // it could not be continued in time, so it begins anew
			c.turns = nil
		}
		s.nextName++
		record := s.newRecord(fmt.Sprintf("conversation-%d-turn-%d", c.number, s.nextName), c.last())
		record.RetentionMs = uint32(conversationRetention.Milliseconds())
		c.busy = true
		c.nextAt = time.Now().Add(s.randomDuration(minTurnInterval, maxTurnInterval))
		s.saveTurn(c, record)
	}
	return longest
}

// saveTurn saves a turn of a conversation through another proxy, which reads the chain first.
func (s *simulation) saveTurn(c *conversation, record *tierpb.TurnRecord) {
	seed, cached := s.random.Uint64(), s.random.IntN(4) > 0
	s.clients.Go(func() {
		ctx, cancel, options := s.clientOptions(seed)
		defer cancel()
		if cached {
			options.CacheBytes = 0 // the default; otherwise the proxy extends nothing, as it has not cached the chain
		}
		client := turns.NewClient(options)
		var err error
		if record.Previous != "" {
			_, err = client.Chain(ctx, record.Previous)
		}
		if err == nil {
			record.EndedUnixMs = s.clock.time().UnixMilli()
			err = client.Save(ctx, record)
		}
		s.mu.Lock()
		c.busy = false
		if err == nil {
			c.turns, c.endedAt = append(c.turns, record.Id), time.Now()
		} else {
			c.nextAt = time.Now()
		}
		s.mu.Unlock()
		client.Wait()
	})
}

// checkConversations checks that the chains of all conversations that can be continued are complete.
func (s *simulation) checkConversations(conversations []*conversation) {
	s.mu.Lock()
	wanted := make(map[string]int) // number of turns, by the id of the last one
	for _, c := range conversations {
		if c.isRetained() {
			wanted[c.last()] = len(c.turns)
		}
	}
	s.mu.Unlock()
	for last, count := range wanted {
		ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
		chain, err := turns.NewClient(s.currentOptions()).Chain(ctx, last)
		cancel()
		assert.NilError(s.t, err, "%s, %d turns\n%s", last, count, s.describe())
		assert.Equal(s.t, len(chain), count, "%s\n%s", last, s.describe())
	}
}
