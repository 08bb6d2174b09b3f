package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/configuration"
)

func TestRequestsAreCountedByServiceAndPriority(t *testing.T) {
	const target = 200 * time.Millisecond
	for name, test := range map[string]struct {
		ended    result
		arrival  time.Duration // before now
		event    time.Duration // before now; 0 if the response is not a stream
		expected string        // value of the label served; empty if not counted
	}{
		"served in time":             {resultServed, target / 2, 0, servedInTime},
		"served late":                {resultServed, 2 * target, 0, servedLate},
		"stream that begins in time": {resultServed, 5 * target, 5*target - target/2, servedInTime},
		"stream that begins late":    {resultServed, 5 * target, 2 * target, servedLate},
		"shed":                       {resultShed, 0, 0, notServed},
		"failed":                     {resultBadGateway, target, 0, notServed},
		"store's own error":          {resultStoreError, 0, 0, notServed},
		"client disconnected":        {resultClientDisconnected, 0, 0, ""},
		"store's client error":       {resultStoreClientError, 0, 0, ""},
		"budget exhausted":           {resultBudgetExhausted, 0, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			x, _ := newRecordedExchange("r")
			x.service = &configuration.Service{Name: "service of " + t.Name()}
			x.route = &configuration.Route{Priority: 3, TargetLatency: target}
			x.arrival = time.Now().Add(-test.arrival)
			if test.event > 0 {
				x.stream.firstEventAt = time.Now().Add(-test.event)
			}
			x.result = test.ended
			x.recordResult()
			for _, served := range []string{servedInTime, servedLate, notServed} {
				expected := uint64(0)
				if served == test.expected {
					expected = 1
				}
				assert.Equal(t, requestsByPriority.Value(x.service.Name, "3", served), expected, "%s", served)
			}
		})
	}
}
