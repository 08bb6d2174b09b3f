package endtoend

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// untilPassedBy waits until requests sent to every edge, one after the other, no longer come to a store.
func (w *world) untilPassedBy(leaving *testbed.Store) {
	w.t.Helper()
	w.until("the store is passed by", func() error {
		before := len(leaving.Runs())
		for number := range 8 {
			for _, front := range w.Fronts() {
				call := draft(fmt.Sprint("passes it by ", number), 6)
				if err := w.client.Do(w.ctx, front, call).CheckEvents(call, call.Body); err != nil {
					return err
				}
			}
		}
		if more := len(leaving.Runs()) - before; more > 0 {
			return eris.Errorf("%d more ran there", more)
		}
		return nil
	})
}

// DRAIN, LOST: a store that says nothing but DELETE, and serves on, finishes what it has and gets nothing more.
func TestAStoreThatOnlyDeletesItselfFinishesWhatItHas(t *testing.T) {
	w := newWorld(t)
	releases := []func(){w.engines[0].BlockResponses(), w.engines[1].BlockResponses()}
	call := talk("in hand", 12) // of a kind that is not sent to another store for this one's silence
	call.Program, call.Session, call.Budget = "in-hand", "s", 1000
	answered := make(chan error, 1)
	go func() { answered <- w.client.Do(w.ctx, w.Fronts()[0], call).CheckEvents(call, call.Body) }()
	leaving := w.untilRunning(w.engines, call.Body)
	for number, store := range w.engines {
		if store != leaving {
			releases[number]()
		}
	}
	assert.NilError(t, leaving.Deregister(w.ctx))
	w.untilPassedBy(leaving)
	assert.Equal(t, leaving.Running(), 1)
	before := len(leaving.Runs())
	for _, release := range releases {
		release()
	}
	assert.NilError(t, <-answered)
	w.untilPassedBy(leaving)
	assert.Equal(t, len(leaving.Runs()), before)
}

// LOST, UNASKED: a line of turns comes in through another edge from turn to turn.
func TestALineOfTurnsChangesItsEdgeFromTurnToTurn(t *testing.T) {
	w := newWorld(t)
	w.inParallel(4, func(line int) error {
		var last *turn
		for number := range 6 {
			call := talk(fmt.Sprintf("line %d turn %d\n", line, number), 12)
			call.Program, call.Session, call.Budget = fmt.Sprint("p", line), "s", 1000
			taken, err := w.takeFrom(line+number, last, call)
			if err != nil {
				return eris.Wrapf(err, "turn %d", number)
			}
			last = taken
		}
		return nil
	})
}

// BUDGET, REFUSED: a program that was stopped comes again, through any edge, also after all processes were killed at
// once: its budget stays spent, and its turns stay known.
func TestAProgramThatWasStoppedStaysStopped(t *testing.T) {
	const budget, most = 36, 12
	w := newWorld(t)
	var last *turn
	next := func(front int, text string) (*turn, testbed.Reply) {
		call := talk(text, most)
		call.Program, call.Session, call.Budget = "looping", "s", budget
		if last != nil {
			call.PreviousTurn = last.id
		}
		reply := w.client.Do(w.ctx, w.Fronts()[front%len(w.Edges)], call)
		return &turn{id: reply.RequestID, prompt: last.next(call.Body), tokens: most}, reply
	}
	handed, counted := 0, 0 // counted: tries that broke off count at their most
	w.until("the budget is spent", func() error {
		taken, reply := next(handed/most, "on and on\n")
		switch {
		case reply.Err == nil && reply.Status == 200:
			last = taken
			handed += most
		case reply.Err != nil || reply.Status != 503 && reply.Status != 402:
			counted += most
		}
		if reply.Status != 402 {
			return eris.Errorf("status %d: %v", reply.Status, reply.Err)
		}
		return nil
	})
	assert.Assert(t, handed <= budget && handed+counted >= budget, "%d tokens handed, %d of tries that broke off", handed, counted)
	comesAgain := func(when string) {
		for front := range w.Edges {
			w.until(when, func() error {
				if _, reply := next(front, "again\n"); reply.Status != 402 {
					return eris.Errorf("status %d: %v", reply.Status, reply.Err)
				}
				return nil
			})
		}
	}
	comesAgain("stopped")
	w.Kill()
	assert.NilError(t, w.Start())
	comesAgain("stopped after the restart")
	for _, store := range w.engines {
		for _, run := range store.Runs() {
			assert.Assert(t, !bytes.HasSuffix(run.Body, []byte("again\n")), "a turn that got 402 ran")
		}
	}
	call := talk("another program\n", most)
	call.Program, call.Session, call.Budget = "other", "s", budget
	_, err := w.take(last, call)
	assert.NilError(t, err)
}
