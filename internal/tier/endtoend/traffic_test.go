package endtoend

import (
	"fmt"
	"sync"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// draft is a call of the route whose streams may be resumed.
func draft(text string, tokens int) testbed.Call {
	return testbed.Call{Method: "POST", Path: testbed.DraftPrefix + "d", Body: []byte(text), TokensOut: tokens}
}

// talk is a turn of the route that keeps turns.
func talk(text string, tokens int) testbed.Call {
	return testbed.Call{Method: "POST", Path: testbed.TalkPrefix + "t", Body: []byte(text), TokensOut: tokens}
}

// turn is one turn of a program that was answered whole.
type turn struct {
	id     string
	prompt []byte // all that the store got
	tokens int
}

// next is the prompt of a turn that goes on from this one.
func (t *turn) next(input []byte) []byte {
	if t == nil {
		return input
	}
	prompt := append([]byte{}, t.prompt...)
	prompt = append(prompt, testbed.Output(testbed.EventData(t.prompt, testbed.EventCount(t.tokens)))...)
	return append(prompt, input...)
}

// take takes one turn and checks that its answer is whole, in order and follows from the whole chain. Refusals and
// broken-off answers are tried again, as clients do, at the next edge.
func (w *world) take(before *turn, call testbed.Call) (*turn, error) {
	return w.takeFrom(0, before, call)
}

// takeFrom is take with the edge that gets the first try.
func (w *world) takeFrom(edge int, before *turn, call testbed.Call) (*turn, error) {
	if before != nil {
		call.PreviousTurn = before.id
	}
	prompt := before.next(call.Body)
	for attempt := 0; ; attempt++ {
		reply := w.client.Do(w.ctx, w.Fronts()[(edge+attempt)%len(w.Edges)], call)
		switch {
		case reply.Err == nil && reply.Status == 200:
			return &turn{id: reply.RequestID, prompt: prompt, tokens: call.TokensOut}, reply.CheckEvents(call, prompt)
		case w.ctx.Err() != nil:
			return nil, eris.Errorf("turn %s: not served: %d %v", reply.RequestID, reply.Status, reply.Err)
		case reply.Err == nil && reply.Status < 500 && !reply.NotExecuted():
			return nil, eris.Errorf("turn %s: status %d: %s", reply.RequestID, reply.Status, reply.Body)
		}
	}
}

// program takes turns, one after the other, each going on from the one before.
func (w *world) program(name string, turns int) (*turn, error) {
	var last *turn
	for number := range turns {
		call := talk(fmt.Sprintf("%s turn %d\n", name, number), 12)
		call.Program, call.Session, call.Budget = name, name, 1000
		taken, err := w.take(last, call)
		if err != nil {
			return nil, err
		}
		last = taken
	}
	return last, nil
}

// order sends a request that may run once; it is sent again only after a promise.
func (w *world) order(text string) error {
	call := testbed.Call{Method: "POST", Path: testbed.OrderPrefix + "o", Body: []byte(text)}
	for attempt := 0; ; attempt++ {
		reply := w.client.Do(w.ctx, w.Fronts()[attempt%len(w.Edges)], call)
		if reply.NotExecuted() && w.ctx.Err() == nil {
			continue
		}
		return reply.CheckPlain(call)
	}
}

// fetch sends a request that may be repeated until it is served.
func (w *world) fetch(path string) error {
	call := testbed.Call{Method: "GET", Path: testbed.FetchPrefix + path}
	for attempt := 0; ; attempt++ {
		reply := w.client.Do(w.ctx, w.Fronts()[attempt%len(w.Edges)], call)
		if reply.Err == nil && reply.Status == 200 || w.ctx.Err() != nil {
			return reply.CheckPlain(call)
		}
	}
}

// inParallel runs several clients and fails the test for each that has an error.
func (w *world) inParallel(count int, run func(number int) error) {
	w.t.Helper()
	var group sync.WaitGroup
	errors := make([]error, count)
	for number := range count {
		group.Go(func() { errors[number] = run(number) })
	}
	group.Wait()
	for number, err := range errors {
		if err != nil {
			w.t.Errorf("client %d: %v", number, err)
		}
	}
}

// checkOnce wants no body of a request that may run once to have run more often.
func (w *world) checkOnce() {
	w.t.Helper()
	seen := make(map[string]string)
	for _, store := range w.plain {
		for _, run := range store.Runs() {
			if run.Method != "POST" {
				continue
			}
			if earlier, ran := seen[string(run.Body)]; ran {
				w.t.Errorf("%q ran twice, as %s and %s", run.Body, earlier, run.RequestID)
			}
			seen[string(run.Body)] = run.RequestID
		}
	}
}

func TestCalmTrafficIsAnsweredWholeInOrderAndOnce(t *testing.T) {
	w := newWorld(t)
	w.inParallel(4, func(client int) error {
		for number := range 5 {
			if err := w.fetch(fmt.Sprintf("%d/%d?x=%%2F", client, number)); err != nil {
				return err
			}
			if err := w.order(fmt.Sprintf("order %d of %d", number, client)); err != nil {
				return err
			}
			call := draft(fmt.Sprintf("draft %d of %d", number, client), 9)
			if _, err := w.take(nil, call); err != nil {
				return err
			}
		}
		_, err := w.program(fmt.Sprintf("program-%d", client), 4)
		return err
	})
	w.checkOnce()
	w.readBack(testbed.ExampleConfiguration(1).Body())
}

func TestSeveralTurnsGoOnFromOne(t *testing.T) {
	w := newWorld(t)
	root, err := w.program("root", 2)
	assert.NilError(t, err)
	w.inParallel(3, func(number int) error {
		call := talk(fmt.Sprintf("branch %d\n", number), 6)
		call.Program, call.Session, call.Budget = "root", fmt.Sprint("line ", number), 1000
		branch, err := w.take(root, call)
		if err != nil {
			return err
		}
		_, err = w.take(branch, call)
		return err
	})
	unknown := talk("after nothing", 6)
	unknown.PreviousTurn = "0123456789abcdef"
	reply := w.client.Do(w.ctx, w.Fronts()[0], unknown)
	assert.Equal(t, reply.Status, 404, "%s %v", reply.Body, reply.Err)
}

func TestAProgramGetsNoMoreThanItsBudget(t *testing.T) {
	const budget, most = 60, 12
	w := newWorld(t)
	handed, spent := make([]int, 6), make([]bool, 6)
	w.inParallel(len(handed), func(number int) error {
		for attempt := 0; w.ctx.Err() == nil; attempt++ {
			call := talk(fmt.Sprintf("line %d, %d\n", number, attempt), most)
			call.Program, call.Session, call.Budget = "looping", fmt.Sprint(number), budget
			reply := w.client.Do(w.ctx, w.Fronts()[attempt%len(w.Edges)], call)
			switch {
			case reply.Status == 402:
				spent[number] = true
				return nil
			case reply.Status == 200:
				if err := reply.CheckEvents(call, call.Body); err != nil {
					return err
				}
				handed[number] += testbed.EventCount(most) * testbed.TokensPerEvent
			case !reply.NotExecuted():
				return eris.Errorf("status %d: %v", reply.Status, reply.Err)
			}
		}
		return w.ctx.Err()
	})
	total := 0
	for number, tokens := range handed {
		total += tokens
		assert.Assert(t, spent[number], "line %d never met the end of the budget", number)
	}
	assert.Assert(t, total <= budget+most, "%d tokens were handed out", total)
	assert.Assert(t, total >= budget-most, "only %d of %d tokens were handed out", total, budget)
}
