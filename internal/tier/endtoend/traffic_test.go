package endtoend

import (
	"fmt"
	"sync"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// draft returns a call of the route with resumable streams.
func draft(text string, tokens int) testbed.Call {
	return testbed.Call{Method: "POST", Path: testbed.DraftPrefix + "d", Body: []byte(text), TokensOut: tokens}
}

// talk returns a turn of the route that stores turns.
func talk(text string, tokens int) testbed.Call {
	return testbed.Call{Method: "POST", Path: testbed.TalkPrefix + "t", Body: []byte(text), TokensOut: tokens}
}

// turn is a turn that was answered completely.
type turn struct {
	id     string
	prompt []byte // whole prompt, with that of the turns before
	tokens int
}

// next returns the prompt of a turn that continues this one.
func (t *turn) next(input []byte) []byte {
	if t == nil {
		return input
	}
	prompt := append([]byte{}, t.prompt...)
	prompt = append(prompt, testbed.Output(testbed.EventData(t.prompt, testbed.EventCount(t.tokens)))...)
	return append(prompt, input...)
}

// runTurn runs one turn and checks that its response is complete, in order, and follows from all turns before. Rejections
// and interrupted responses are retried at the next edge, as clients do.
func (h *harness) runTurn(before *turn, call testbed.Call) (*turn, error) {
	return h.runTurnFrom(0, before, call)
}

// runTurnFrom is runTurn with the index of the edge for the first attempt.
func (h *harness) runTurnFrom(edge int, before *turn, call testbed.Call) (*turn, error) {
	if before != nil {
		call.PreviousTurn = before.id
	}
	prompt := before.next(call.Body)
	for attempt := 0; ; attempt++ {
		reply := h.client.Do(h.ctx, h.Fronts()[(edge+attempt)%len(h.Edges)], call)
		switch {
		case reply.Err == nil && reply.Status == 200:
			return &turn{id: reply.RequestID, prompt: prompt, tokens: call.TokensOut}, reply.CheckEvents(call, prompt)
		case h.ctx.Err() != nil:
			return nil, eris.Errorf("turn %s: not served: %d %v", reply.RequestID, reply.Status, reply.Err)
		case reply.Err == nil && reply.Status < 500 && !reply.NotExecuted():
			return nil, eris.Errorf("turn %s: status %d: %s", reply.RequestID, reply.Status, reply.Body)
		}
	}
}

// program runs consecutive turns, each of which continues the one before.
func (h *harness) program(name string, turns int) (*turn, error) {
	var last *turn
	for number := range turns {
		call := talk(fmt.Sprintf("%s turn %d\n", name, number), 12)
		call.Program, call.Session, call.Budget = name, name, 1000
		completed, err := h.runTurn(last, call)
		if err != nil {
			return nil, err
		}
		last = completed
	}
	return last, nil
}

// order sends a non-idempotent request. It is retried only after a response with the not-executed guarantee.
func (h *harness) order(text string) error {
	call := testbed.Call{Method: "POST", Path: testbed.OrderPrefix + "o", Body: []byte(text)}
	for attempt := 0; ; attempt++ {
		reply := h.client.Do(h.ctx, h.Fronts()[attempt%len(h.Edges)], call)
		if reply.NotExecuted() && h.ctx.Err() == nil {
			continue
		}
		return reply.CheckPlain(call)
	}
}

// fetch sends an idempotent request until it is served.
func (h *harness) fetch(path string) error {
	call := testbed.Call{Method: "GET", Path: testbed.FetchPrefix + path}
	for attempt := 0; ; attempt++ {
		reply := h.client.Do(h.ctx, h.Fronts()[attempt%len(h.Edges)], call)
		if reply.Err == nil && reply.Status == 200 || h.ctx.Err() != nil {
			return reply.CheckPlain(call)
		}
	}
}

// concurrently runs several clients and fails the test for each that returns an error.
func (h *harness) concurrently(count int, run func(number int) error) {
	h.t.Helper()
	var group sync.WaitGroup
	errors := make([]error, count)
	for number := range count {
		group.Go(func() { errors[number] = run(number) })
	}
	group.Wait()
	for number, err := range errors {
		if err != nil {
			h.t.Errorf("client %d: %v", number, err)
		}
	}
}

// requireAtMostOnce checks that no body of a non-idempotent request ran twice.
func (h *harness) requireAtMostOnce() {
	h.t.Helper()
	seen := make(map[string]string)
	for _, store := range h.plain {
		for _, run := range store.Runs() {
			if run.Method != "POST" {
				continue
			}
			if earlier, ran := seen[string(run.Body)]; ran {
				h.t.Errorf("%q ran twice, as %s and %s", run.Body, earlier, run.RequestID)
			}
			seen[string(run.Body)] = run.RequestID
		}
	}
}

func TestTrafficWithoutFaults(t *testing.T) {
	h := newHarness(t)
	h.concurrently(4, func(client int) error {
		for number := range 5 {
			if err := h.fetch(fmt.Sprintf("%d/%d?x=%%2F", client, number)); err != nil {
				return err
			}
			if err := h.order(fmt.Sprintf("order %d of %d", number, client)); err != nil {
				return err
			}
			call := draft(fmt.Sprintf("draft %d of %d", number, client), 9)
			if _, err := h.runTurn(nil, call); err != nil {
				return err
			}
		}
		_, err := h.program(fmt.Sprintf("program-%d", client), 4)
		return err
	})
	h.requireAtMostOnce()
	h.requireConfiguration(testbed.ExampleConfiguration(1).Body())
}

func TestTurnsBranch(t *testing.T) {
	h := newHarness(t)
	root, err := h.program("root", 2)
	assert.NilError(t, err)
	h.concurrently(3, func(number int) error {
		call := talk(fmt.Sprintf("branch %d\n", number), 6)
		call.Program, call.Session, call.Budget = "root", fmt.Sprint("line ", number), 1000
		branch, err := h.runTurn(root, call)
		if err != nil {
			return err
		}
		_, err = h.runTurn(branch, call)
		return err
	})
	unknown := talk("after nothing", 6)
	unknown.PreviousTurn = "0123456789abcdef"
	reply := h.client.Do(h.ctx, h.Fronts()[0], unknown)
	assert.Equal(t, reply.Status, 404, "%s %v", reply.Body, reply.Err)
}

func TestProgramStaysWithinBudget(t *testing.T) {
	const budget, maxTokens = 60, 12
	h := newHarness(t)
	received, spent := make([]int, 6), make([]bool, 6)
	h.concurrently(len(received), func(number int) error {
		for attempt := 0; h.ctx.Err() == nil; attempt++ {
			call := talk(fmt.Sprintf("line %d, %d\n", number, attempt), maxTokens)
			call.Program, call.Session, call.Budget = "looping", fmt.Sprint(number), budget
			reply := h.client.Do(h.ctx, h.Fronts()[attempt%len(h.Edges)], call)
			switch {
			case reply.Status == 402:
				spent[number] = true
				return nil
			case reply.Status == 200:
				if err := reply.CheckEvents(call, call.Body); err != nil {
					return err
				}
				received[number] += testbed.EventCount(maxTokens) * testbed.TokensPerEvent
			case !reply.NotExecuted():
				return eris.Errorf("status %d: %v", reply.Status, reply.Err)
			}
		}
		return h.ctx.Err()
	})
	total := 0
	for number, tokens := range received {
		total += tokens
		assert.Assert(t, spent[number], "session %d never exhausted the budget", number)
	}
	assert.Assert(t, total <= budget+maxTokens, "%d tokens were received", total)
	assert.Assert(t, total >= budget-maxTokens, "only %d of %d tokens were received", total, budget)
}
