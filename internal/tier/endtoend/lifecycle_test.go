package endtoend

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// waitUntilAvoided waits until consecutive requests to every edge no longer reach a store.
func (h *harness) waitUntilAvoided(departing *testbed.Store) {
	h.t.Helper()
	h.eventually("the store is avoided", func() error {
		before := len(departing.Runs())
		for number := range 8 {
			for _, front := range h.Fronts() {
				call := draft(fmt.Sprint("passes it by ", number), 6)
				if err := h.client.Do(h.ctx, front, call).CheckEvents(call, call.Body); err != nil {
					return err
				}
			}
		}
		if more := len(departing.Runs()) - before; more > 0 {
			return eris.Errorf("%d more ran there", more)
		}
		return nil
	})
}

// Rules DRAIN and LOST: a store that deregisters without draining, and continues to serve, finishes its requests and gets
// no more.
func TestDeregisteredStoreFinishesRequests(t *testing.T) {
	h := newHarness(t)
	releases := []func(){h.engines[0].BlockResponses(), h.engines[1].BlockResponses()}
	call := talk("in hand", 12) // of a kind that is not retried at another store when this one does not respond
	call.Program, call.Session, call.Budget = "in-hand", "s", 1000
	response := make(chan error, 1)
	go func() { response <- h.client.Do(h.ctx, h.Fronts()[0], call).CheckEvents(call, call.Body) }()
	departing := h.waitForRun(h.engines, call.Body)
	for number, store := range h.engines {
		if store != departing {
			releases[number]()
		}
	}
	assert.NilError(t, departing.Deregister(h.ctx))
	h.waitUntilAvoided(departing)
	assert.Equal(t, departing.Running(), 1)
	before := len(departing.Runs())
	for _, release := range releases {
		release()
	}
	assert.NilError(t, <-response)
	h.waitUntilAvoided(departing)
	assert.Equal(t, len(departing.Runs()), before)
}

// Rules LOST and UNASKED: each turn of a program comes in through another edge than the one before.
func TestProgramChangesEdgeEachTurn(t *testing.T) {
	h := newHarness(t)
	h.concurrently(4, func(line int) error {
		var last *turn
		for number := range 6 {
			call := talk(fmt.Sprintf("line %d turn %d\n", line, number), 12)
			call.Program, call.Session, call.Budget = fmt.Sprint("p", line), "s", 1000
			completed, err := h.runTurnFrom(line+number, last, call)
			if err != nil {
				return eris.Wrapf(err, "turn %d", number)
			}
			last = completed
		}
		return nil
	})
}

// Rules BUDGET and REFUSED: the spent budget of a program stays spent, at any edge and after all processes were killed at
// the same time, and its turns stay stored.
func TestSpentBudgetStaysSpent(t *testing.T) {
	const budget, maxTokens = 36, 12
	h := newHarness(t)
	var last *turn
	next := func(front int, text string) (*turn, testbed.Reply) {
		call := talk(text, maxTokens)
		call.Program, call.Session, call.Budget = "looping", "s", budget
		if last != nil {
			call.PreviousTurn = last.id
		}
		reply := h.client.Do(h.ctx, h.Fronts()[front%len(h.Edges)], call)
		return &turn{id: reply.RequestID, prompt: last.next(call.Body), tokens: maxTokens}, reply
	}
	received, reserved := 0, 0 // reserved: interrupted attempts count with their limit of tokens
	h.eventually("the budget is spent", func() error {
		completed, reply := next(received/maxTokens, "on and on\n")
		switch {
		case reply.Err == nil && reply.Status == 200:
			last = completed
			received += maxTokens
		case reply.Err != nil || reply.Status != 503 && reply.Status != 402:
			reserved += maxTokens
		}
		if reply.Status != 402 {
			return eris.Errorf("status %d: %v", reply.Status, reply.Err)
		}
		return nil
	})
	assert.Assert(t, received <= budget && received+reserved >= budget, "%d tokens received, %d reserved by interrupted attempts", received, reserved)
	requireRejected := func(when string) {
		for front := range h.Edges {
			h.eventually(when, func() error {
				if _, reply := next(front, "again\n"); reply.Status != 402 {
					return eris.Errorf("status %d: %v", reply.Status, reply.Err)
				}
				return nil
			})
		}
	}
	requireRejected("stopped")
	h.Kill()
	assert.NilError(t, h.Start())
	requireRejected("stopped after the restart")
	for _, store := range h.engines {
		for _, run := range store.Runs() {
			assert.Assert(t, !bytes.HasSuffix(run.Body, []byte("again\n")), "a turn that got 402 ran")
		}
	}
	call := talk("another program\n", maxTokens)
	call.Program, call.Session, call.Budget = "other", "s", budget
	_, err := h.runTurn(last, call)
	assert.NilError(t, err)
}
