package endtoend

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// withoutFetchRoute returns the example configuration without its first route.
func withoutFetchRoute(generation uint64) *testbed.Configuration {
	changed := testbed.ExampleConfiguration(generation)
	changed.Routes = changed.Routes[1:]
	return changed
}

// waitForRouteStatus waits until every edge answers the fetch route with a status.
func (h *harness) waitForRouteStatus(status int) {
	h.t.Helper()
	for _, edge := range h.Edges {
		h.eventually("the change is in force", func() error {
			call := testbed.Call{Method: "GET", Path: testbed.FetchPrefix + "x"}
			reply := h.client.Do(h.ctx, edge.Settings.Listen.Front, call)
			if reply.Status != status {
				return eris.Errorf("status %d, want %d", reply.Status, status)
			}
			return nil
		})
	}
}

func TestChangeSurvivesCoordinatorKill(t *testing.T) {
	for victim := range 3 {
		t.Run(fmt.Sprint("coordinator ", victim), func(t *testing.T) {
			h := newHarness(t)
			changed := withoutFetchRoute(5).Body()
			h.concurrently(2, func(number int) error {
				if number == 0 {
					h.Coordinators[victim].Kill()
					return nil
				}
				answer, err := h.operator.PutConfiguration(h.ctx, 1, changed)
				if err == nil && answer.Status != 200 {
					return eris.Errorf("status %d: %s", answer.Status, answer.Body)
				}
				return err
			})
			h.waitForRouteStatus(404)
			h.requireConfiguration(changed)
			h.configure(1, changed) // a retry is acknowledged again

			assert.NilError(t, h.Coordinators[victim].Start())
			back := testbed.ExampleConfiguration(9).Body()
			h.configure(5, back)
			h.waitForRouteStatus(200)
			h.requireConfiguration(back)
			_, err := h.program("after the kill", 2)
			assert.NilError(t, err)
		})
	}
}

func TestOneOfTwoConcurrentChangesCommits(t *testing.T) {
	h := newHarness(t)
	bodies := [][]byte{withoutFetchRoute(7).Body(), testbed.ExampleConfiguration(8).Body()}
	answers := make([]testbed.ControlResponse, len(bodies))
	h.concurrently(len(bodies), func(number int) error {
		operator := testbed.NewOperator(h.Controls()[number:])
		answer, err := operator.PutConfiguration(h.ctx, 1, bodies[number])
		answers[number] = answer
		return err
	})
	winner := 0
	if answers[0].Status != 200 {
		winner = 1
	}
	assert.Equal(t, answers[winner].Status, 200, "%s", answers[winner].Body)
	assert.Equal(t, answers[1-winner].Status, 412, "%s", answers[1-winner].Body)
	h.requireConfiguration(bodies[winner])
}

func TestInvalidConfigurationsAreRejected(t *testing.T) {
	h := newHarness(t)
	unknown := testbed.ExampleConfiguration(4)
	unknown.Routes[0].Backend = "nobody"
	same := testbed.ExampleConfiguration(4)
	same.Routes[1].PathPrefix = same.Routes[0].PathPrefix
	noTimeout := testbed.ExampleConfiguration(4)
	noTimeout.Routes[2].TimeoutMs = 0
	complete := testbed.ExampleConfiguration(4).Body()
	bodies := map[string][]byte{
		"unknown service": unknown.Body(), "two routes with one prefix": same.Body(), "no time-out": noTimeout.Body(),
		"truncated": complete[:len(complete)/2], "not above the current one": withoutFetchRoute(1).Body(),
	}
	for name, body := range bodies {
		answer, err := h.operator.PutConfiguration(h.ctx, 1, body)
		assert.NilError(t, err, name)
		assert.Equal(t, answer.Status/100, 4, "%s: %d %s", name, answer.Status, answer.Body)
	}
	h.requireConfiguration(testbed.ExampleConfiguration(1).Body())
}

func TestWipedTurnStoreLosesNoTurn(t *testing.T) {
	for victim := range 3 {
		t.Run(fmt.Sprint("turn store ", victim), func(t *testing.T) {
			h := newHarness(t)
			stored := make([]*turn, 4)
			h.concurrently(len(stored), func(number int) error {
				last, err := h.program(fmt.Sprint("before the wipe ", number), 2)
				stored[number] = last
				return err
			})
			h.TurnStores[victim].Kill()
			assert.NilError(t, h.TurnStores[victim].Wipe())
			assert.NilError(t, h.TurnStores[victim].Start())
			h.concurrently(len(stored), func(number int) error {
				call := talk("after the wipe\n", 6)
				call.Program, call.Session, call.Budget = fmt.Sprint("later ", number), "s", 1000
				_, err := h.runTurn(stored[number], call)
				return err
			})
		})
	}
}

func TestKillOfAllProcessesLosesNothingAcknowledged(t *testing.T) {
	h := newHarness(t)
	stored, err := h.program("before", 3)
	assert.NilError(t, err)
	changed := withoutFetchRoute(6).Body()
	h.configure(1, changed)
	h.Kill()
	assert.NilError(t, h.Start())
	h.requireConfiguration(changed)
	_, err = h.runTurn(stored, talk("after\n", 6))
	assert.NilError(t, err)
	h.waitForRouteStatus(404)
}

func TestDrainedStoreGetsNoRequests(t *testing.T) {
	h := newHarness(t)
	replacement := h.addStore(testbed.EngineService)
	departing := h.engines[0]
	h.engines = append(h.engines, replacement)
	assert.NilError(t, departing.Drain(h.ctx))
	// The drain is in force at both edges once consecutive requests avoid the store.
	h.eventually("the drained store is avoided", func() error {
		before := len(departing.Runs())
		for number := range 8 {
			if _, err := h.runTurn(nil, draft(fmt.Sprint("drain ", number), 6)); err != nil {
				return err
			}
		}
		if more := len(departing.Runs()) - before; more > 0 {
			return eris.Errorf("%d more ran there", more)
		}
		return nil
	})
	before := len(departing.Runs())
	assert.NilError(t, departing.Shutdown(h.ctx))
	h.concurrently(4, func(number int) error {
		_, err := h.program(fmt.Sprint("after the drain ", number), 2)
		return err
	})
	assert.Equal(t, len(departing.Runs()), before)
}

func TestGracefulShutdownOfProxyFinishesRequests(t *testing.T) {
	h := newHarness(t)
	edge := h.Edges[0]
	release := h.plain[0].BlockResponses()
	releaseOther := h.plain[1].BlockResponses()
	response := make(chan error, 1)
	call := testbed.Call{Method: "POST", Path: testbed.OrderPrefix + "o", Body: []byte("held")}
	go func() { response <- h.client.Do(h.ctx, edge.Settings.Listen.Front, call).CheckPlain(call) }()
	h.waitForRun(h.plain, call.Body)
	stopped := make(chan error, 1)
	go func() { stopped <- edge.Terminate() }()
	h.eventually("the edge is not ready", func() error {
		if h.Ready(h.ctx, edge) == nil {
			return eris.New("still ready")
		}
		return nil
	})
	release()
	releaseOther()
	assert.NilError(t, <-response)
	assert.NilError(t, <-stopped)
	h.requireAtMostOnce()
}

// waitForRun waits until one of the stores runs a request with this body and returns the store.
func (h *harness) waitForRun(stores []*testbed.Store, body []byte) *testbed.Store {
	h.t.Helper()
	var found *testbed.Store
	h.eventually("a store runs the request", func() error {
		for _, store := range stores {
			for _, run := range store.Runs() {
				if bytes.Equal(run.Body, body) {
					found = store
					return nil
				}
			}
		}
		return eris.New("none does")
	})
	return found
}

func TestResumableStreamContinuesAtAnotherStore(t *testing.T) {
	h := newHarness(t)
	releases := []func(){h.engines[0].BlockResponses(), h.engines[1].BlockResponses()}
	call := draft("to be resumed", 12)
	response := make(chan error, 1)
	go func() { response <- h.client.Do(h.ctx, h.Fronts()[0], call).CheckEvents(call, call.Body) }()
	h.waitForRun(h.engines, call.Body).Kill()
	for _, release := range releases {
		release()
	}
	assert.NilError(t, <-response)
}

func TestTurnOfKilledStoreIsIncomplete(t *testing.T) {
	h := newHarness(t)
	releases := []func(){h.engines[0].BlockResponses(), h.engines[1].BlockResponses()}
	call := talk("to break off", 12)
	call.Program, call.Session, call.Budget = "p", "s", 100
	response := make(chan testbed.Reply, 1)
	go func() { response <- h.client.Do(h.ctx, h.Fronts()[0], call) }()
	h.waitForRun(h.engines, call.Body).Kill()
	for _, release := range releases {
		release()
	}
	interrupted := <-response
	assert.Assert(t, interrupted.Err != nil || interrupted.Status == 502 || interrupted.Status == 504, "%d %q", interrupted.Status, interrupted.Body)
	next := talk("after it", 6)
	next.PreviousTurn = interrupted.RequestID
	reply := h.client.Do(h.ctx, h.Fronts()[1], next)
	assert.Equal(t, reply.Status, 404, "%s %v", reply.Body, reply.Err)
}

func TestRetiredTurnStoreIsEmptiedFirst(t *testing.T) {
	h := newHarness(t)
	stored, err := h.program("before", 3)
	assert.NilError(t, err)
	answer, err := h.operator.Retire(h.ctx, h.TurnStores[0].Settings.NodeName, testTimeout)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, 409, "three are needed: %s", answer.Body)
	answer, err = h.operator.Retire(h.ctx, "app_server-nowhere-1", testTimeout)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, 404, "%s", answer.Body)
	_, err = h.AddTurnStore()
	assert.NilError(t, err)
	departing := h.TurnStores[0]
	h.eventually("the retirement is accepted", func() error {
		answer, err := h.operator.Retire(h.ctx, departing.Settings.NodeName, testTimeout)
		if err == nil && answer.Status != 200 {
			err = eris.Errorf("status %d: %s", answer.Status, answer.Body)
		}
		return err
	})
	h.eventually("the machine is empty", func() error {
		state, err := h.operator.Retirement(h.ctx, departing.Settings.NodeName)
		if err == nil && state != "completed" {
			err = eris.New(state)
		}
		return err
	})
	departing.Kill()
	assert.NilError(t, departing.Wipe())
	h.TurnStores[1].Kill() // one more machine may be lost
	assert.NilError(t, h.TurnStores[1].Wipe())
	_, err = h.runTurn(stored, talk("after\n", 6))
	assert.NilError(t, err)
}

func TestEdgesRecoverStateAfterRestart(t *testing.T) {
	h := newHarness(t)
	changed := withoutFetchRoute(3).Body()
	h.configure(1, changed)
	stored, err := h.program("before", 2)
	assert.NilError(t, err)
	for _, edge := range h.Edges {
		assert.NilError(t, edge.Terminate())
		assert.NilError(t, edge.Start())
		h.eventually("the edge is ready again", func() error { return h.Ready(h.ctx, edge) })
	}
	h.waitForRouteStatus(404)
	_, err = h.runTurn(stored, talk("after\n", 6))
	assert.NilError(t, err)
}
