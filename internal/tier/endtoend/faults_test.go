package endtoend

import (
	"fmt"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/standin"
)

// withFetchRemoved is the example configuration without its first route.
func withFetchRemoved(generation uint64) *standin.Configuration {
	changed := standin.ExampleConfiguration(generation)
	changed.Routes = changed.Routes[1:]
	return changed
}

// untilRouteIs waits until every edge handles the fetch route as told.
func (w *world) untilRouteIs(status int) {
	w.t.Helper()
	for _, edge := range w.Edges {
		w.until("the change is in force", func() error {
			call := standin.Call{Method: "GET", Path: standin.FetchPrefix + "x"}
			reply := w.client.Try(w.ctx, edge.Settings.Listen.Front, call)
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
			back := standin.ExampleConfiguration(9).Body()
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
	bodies := [][]byte{withFetchRemoved(7).Body(), standin.ExampleConfiguration(8).Body()}
	answers := make([]standin.OrderAnswer, len(bodies))
	w.inParallel(len(bodies), func(number int) error {
		operator := standin.NewOperator(w.Controls()[number:])
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
	unknown := standin.ExampleConfiguration(4)
	unknown.Routes[0].Backend = "nobody"
	same := standin.ExampleConfiguration(4)
	same.Routes[1].PathPrefix = same.Routes[0].PathPrefix
	noTimeout := standin.ExampleConfiguration(4)
	noTimeout.Routes[2].TimeoutMs = 0
	whole := standin.ExampleConfiguration(4).Body()
	bodies := map[string][]byte{
		"unknown service": unknown.Body(), "two routes at one place": same.Body(), "no time-out": noTimeout.Body(),
		"cut short": whole[:len(whole)/2], "not above the current one": standin.ExampleConfiguration(1).Body()[:10],
	}
	for name, body := range bodies {
		answer, err := w.operator.PutConfiguration(w.ctx, 1, body)
		assert.NilError(t, err, name)
		assert.Equal(t, answer.Status/100, 4, "%s: %d %s", name, answer.Status, answer.Body)
	}
	w.readBack(standin.ExampleConfiguration(1).Body())
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
	replacement := w.addStore(standin.EngineService)
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
	assert.NilError(t, leaving.Leave(w.ctx))
	w.inParallel(4, func(number int) error {
		_, err := w.program(fmt.Sprint("after the drain ", number), 2)
		return err
	})
	assert.Equal(t, len(leaving.Runs()), before)
}

func TestAProxyThatIsToldToStopFinishesWhatItHas(t *testing.T) {
	w := newWorld(t)
	edge := w.Edges[0]
	release := w.plain[0].Hold()
	releaseOther := w.plain[1].Hold()
	answered := make(chan error, 1)
	call := standin.Call{Method: "POST", Path: standin.OrderPrefix + "o", Body: []byte("held")}
	go func() { answered <- w.client.Try(w.ctx, edge.Settings.Listen.Front, call).CheckPlain(call) }()
	w.until("the order runs", func() error {
		if w.plain[0].Running()+w.plain[1].Running() == 0 {
			return eris.New("not yet")
		}
		return nil
	})
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
