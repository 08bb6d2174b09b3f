package endtoend

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// withFetchRemoved is the example configuration without its first route.
func withFetchRemoved(generation uint64) *testbed.Configuration {
	changed := testbed.ExampleConfiguration(generation)
	changed.Routes = changed.Routes[1:]
	return changed
}

// untilRouteIs waits until every edge handles the fetch route as told.
func (w *world) untilRouteIs(status int) {
	w.t.Helper()
	for _, edge := range w.Edges {
		w.until("the change is in force", func() error {
			call := testbed.Call{Method: "GET", Path: testbed.FetchPrefix + "x"}
			reply := w.client.Do(w.ctx, edge.Settings.Listen.Front, call)
			if reply.Status != status {
				return eris.Errorf("status %d, want %d", reply.Status, status)
			}
			return nil
		})
	}
}

func TestACoordinatorIsKilledWhileAChangeIsUnderWay(t *testing.T) {
	for victim := range 3 {
		t.Run(fmt.Sprint("coordinator ", victim), func(t *testing.T) {
			w := newWorld(t)
			changed := withFetchRemoved(5).Body()
			w.inParallel(2, func(number int) error {
				if number == 0 {
					w.Coordinators[victim].Kill()
					return nil
				}
				answer, err := w.operator.PutConfiguration(w.ctx, 1, changed)
				if err == nil && answer.Status != 200 {
					return eris.Errorf("status %d: %s", answer.Status, answer.Body)
				}
				return err
			})
			w.untilRouteIs(404)
			w.readBack(changed)
			w.configure(1, changed) // the same order again is acknowledged again

			assert.NilError(t, w.Coordinators[victim].Start())
			back := testbed.ExampleConfiguration(9).Body()
			w.configure(5, back)
			w.untilRouteIs(200)
			w.readBack(back)
			_, err := w.program("after the kill", 2)
			assert.NilError(t, err)
		})
	}
}

func TestOneOfTwoOperatorsWins(t *testing.T) {
	w := newWorld(t)
	bodies := [][]byte{withFetchRemoved(7).Body(), testbed.ExampleConfiguration(8).Body()}
	answers := make([]testbed.ControlResponse, len(bodies))
	w.inParallel(len(bodies), func(number int) error {
		operator := testbed.NewOperator(w.Controls()[number:])
		answer, err := operator.PutConfiguration(w.ctx, 1, bodies[number])
		answers[number] = answer
		return err
	})
	won := 0
	if answers[0].Status != 200 {
		won = 1
	}
	assert.Equal(t, answers[won].Status, 200, "%s", answers[won].Body)
	assert.Equal(t, answers[1-won].Status, 412, "%s", answers[1-won].Body)
	w.readBack(bodies[won])
}

func TestInvalidConfigurationsAreRefusedAndNeverInForce(t *testing.T) {
	w := newWorld(t)
	unknown := testbed.ExampleConfiguration(4)
	unknown.Routes[0].Backend = "nobody"
	same := testbed.ExampleConfiguration(4)
	same.Routes[1].PathPrefix = same.Routes[0].PathPrefix
	noTimeout := testbed.ExampleConfiguration(4)
	noTimeout.Routes[2].TimeoutMs = 0
	whole := testbed.ExampleConfiguration(4).Body()
	bodies := map[string][]byte{
		"unknown service": unknown.Body(), "two routes at one place": same.Body(), "no time-out": noTimeout.Body(),
		"cut short": whole[:len(whole)/2], "not above the current one": withFetchRemoved(1).Body(),
	}
	for name, body := range bodies {
		answer, err := w.operator.PutConfiguration(w.ctx, 1, body)
		assert.NilError(t, err, name)
		assert.Equal(t, answer.Status/100, 4, "%s: %d %s", name, answer.Status, answer.Body)
	}
	w.readBack(testbed.ExampleConfiguration(1).Body())
}

func TestAWipedTurnStoreLosesNoTurn(t *testing.T) {
	for victim := range 3 {
		t.Run(fmt.Sprint("turn store ", victim), func(t *testing.T) {
			w := newWorld(t)
			kept := make([]*turn, 4)
			w.inParallel(len(kept), func(number int) error {
				last, err := w.program(fmt.Sprint("before the wipe ", number), 2)
				kept[number] = last
				return err
			})
			w.TurnStores[victim].Kill()
			assert.NilError(t, w.TurnStores[victim].Wipe())
			assert.NilError(t, w.TurnStores[victim].Start())
			w.inParallel(len(kept), func(number int) error {
				call := talk("after the wipe\n", 6)
				call.Program, call.Session, call.Budget = fmt.Sprint("later ", number), "s", 1000
				_, err := w.take(kept[number], call)
				return err
			})
		})
	}
}

func TestAllProcessesAreKilledAndNothingAcknowledgedIsLost(t *testing.T) {
	w := newWorld(t)
	kept, err := w.program("before", 3)
	assert.NilError(t, err)
	changed := withFetchRemoved(6).Body()
	w.configure(1, changed)
	w.Kill()
	assert.NilError(t, w.Start())
	w.readBack(changed)
	_, err = w.take(kept, talk("after\n", 6))
	assert.NilError(t, err)
	w.untilRouteIs(404)
}

func TestADrainedStoreGetsNothingMore(t *testing.T) {
	w := newWorld(t)
	replacement := w.addStore(testbed.EngineService)
	leaving := w.engines[0]
	w.engines = append(w.engines, replacement)
	assert.NilError(t, leaving.Drain(w.ctx))
	// In force at both edges once requests sent to them one after the other have passed the store by.
	w.until("the drained store is passed by", func() error {
		before := len(leaving.Runs())
		for number := range 8 {
			if _, err := w.take(nil, draft(fmt.Sprint("drain ", number), 6)); err != nil {
				return err
			}
		}
		if more := len(leaving.Runs()) - before; more > 0 {
			return eris.Errorf("%d more ran there", more)
		}
		return nil
	})
	before := len(leaving.Runs())
	assert.NilError(t, leaving.Shutdown(w.ctx))
	w.inParallel(4, func(number int) error {
		_, err := w.program(fmt.Sprint("after the drain ", number), 2)
		return err
	})
	assert.Equal(t, len(leaving.Runs()), before)
}

func TestAProxyThatIsToldToStopFinishesWhatItHas(t *testing.T) {
	w := newWorld(t)
	edge := w.Edges[0]
	release := w.plain[0].BlockResponses()
	releaseOther := w.plain[1].BlockResponses()
	answered := make(chan error, 1)
	call := testbed.Call{Method: "POST", Path: testbed.OrderPrefix + "o", Body: []byte("held")}
	go func() { answered <- w.client.Do(w.ctx, edge.Settings.Listen.Front, call).CheckPlain(call) }()
	w.untilRunning(w.plain, call.Body)
	stopped := make(chan error, 1)
	go func() { stopped <- edge.Terminate() }()
	w.until("the edge is not ready", func() error {
		if w.Ready(w.ctx, edge) == nil {
			return eris.New("still ready")
		}
		return nil
	})
	release()
	releaseOther()
	assert.NilError(t, <-answered)
	assert.NilError(t, <-stopped)
	w.checkOnce()
}

// untilRunning waits until one of the stores works on a request with this body and returns it.
func (w *world) untilRunning(stores []*testbed.Store, body []byte) *testbed.Store {
	w.t.Helper()
	var busy *testbed.Store
	w.until("a store works on the request", func() error {
		for _, store := range stores {
			for _, run := range store.Runs() {
				if bytes.Equal(run.Body, body) {
					busy = store
					return nil
				}
			}
		}
		return eris.New("none does")
	})
	return busy
}

func TestAStreamThatMayBeResumedGoesOnAtAnotherStore(t *testing.T) {
	w := newWorld(t)
	releases := []func(){w.engines[0].BlockResponses(), w.engines[1].BlockResponses()}
	call := draft("to be resumed", 12)
	answered := make(chan error, 1)
	go func() { answered <- w.client.Do(w.ctx, w.Fronts()[0], call).CheckEvents(call, call.Body) }()
	w.untilRunning(w.engines, call.Body).Kill()
	for _, release := range releases {
		release()
	}
	assert.NilError(t, <-answered)
}

func TestATurnWhoseStoreDiesDoesNotLookWhole(t *testing.T) {
	w := newWorld(t)
	releases := []func(){w.engines[0].BlockResponses(), w.engines[1].BlockResponses()}
	call := talk("to break off", 12)
	call.Program, call.Session, call.Budget = "p", "s", 100
	answered := make(chan testbed.Reply, 1)
	go func() { answered <- w.client.Do(w.ctx, w.Fronts()[0], call) }()
	w.untilRunning(w.engines, call.Body).Kill()
	for _, release := range releases {
		release()
	}
	broken := <-answered
	assert.Assert(t, broken.Err != nil || broken.Status == 502 || broken.Status == 504, "%d %q", broken.Status, broken.Body)
	next := talk("after it", 6)
	next.PreviousTurn = broken.RequestID
	reply := w.client.Do(w.ctx, w.Fronts()[1], next)
	assert.Equal(t, reply.Status, 404, "%s %v", reply.Body, reply.Err)
}

func TestARetiredTurnStoreIsEmptiedBeforeItLeaves(t *testing.T) {
	w := newWorld(t)
	kept, err := w.program("before", 3)
	assert.NilError(t, err)
	answer, err := w.operator.Retire(w.ctx, w.TurnStores[0].Settings.NodeName, patience)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, 409, "three are needed: %s", answer.Body)
	answer, err = w.operator.Retire(w.ctx, "app_server-nowhere-1", patience)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, 404, "%s", answer.Body)
	_, err = w.AddTurnStore()
	assert.NilError(t, err)
	leaving := w.TurnStores[0]
	w.until("the order to retire is taken", func() error {
		answer, err := w.operator.Retire(w.ctx, leaving.Settings.NodeName, patience)
		if err == nil && answer.Status != 200 {
			err = eris.Errorf("status %d: %s", answer.Status, answer.Body)
		}
		return err
	})
	w.until("the machine is empty", func() error {
		state, err := w.operator.Retirement(w.ctx, leaving.Settings.NodeName)
		if err == nil && state != "completed" {
			err = eris.New(state)
		}
		return err
	})
	leaving.Kill()
	assert.NilError(t, leaving.Wipe())
	w.TurnStores[1].Kill() // and one more may be lost
	assert.NilError(t, w.TurnStores[1].Wipe())
	_, err = w.take(kept, talk("after\n", 6))
	assert.NilError(t, err)
}

func TestEveryEdgeRestartsAndKnowsItAllAgain(t *testing.T) {
	w := newWorld(t)
	changed := withFetchRemoved(3).Body()
	w.configure(1, changed)
	kept, err := w.program("before", 2)
	assert.NilError(t, err)
	for _, edge := range w.Edges {
		assert.NilError(t, edge.Terminate())
		assert.NilError(t, edge.Start())
		w.until("the edge is ready again", func() error { return w.Ready(w.ctx, edge) })
	}
	w.untilRouteIs(404)
	_, err = w.take(kept, talk("after\n", 6))
	assert.NilError(t, err)
}
