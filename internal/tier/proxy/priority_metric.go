package proxy

import (
	"strconv"
	"time"

	"pulleygw.example/pulleygw/internal/tier/metrics"
)

// requestsByPriority shows whether a more urgent kind of requests is served less often than a less urgent one of the same
// service, which operators pay for.
var requestsByPriority = metrics.NewCounterVec("proxy_requests_by_priority_total",
	"Requests of clients by service, priority of the route (0 is the most urgent) and whether they were served within the latency target.",
	"service", "priority", "served")

// The values of the label "served".
const (
	servedInTime = "in_time"
	servedLate   = "late"
	notServed    = "no"
)

// recordByPriority counts how the request ended for its service and priority. Requests whose clients disconnected, or that no
// store could be expected to serve, say nothing of either.
func (x *exchange) recordByPriority(ended result) {
	if x.service == nil {
		return
	}
	served := notServed
	switch ended {
	case resultClientDisconnected, resultStoreClientError, resultUnknownTurn, resultBudgetSpent, resultBadRequest:
		return
	case resultServed:
		served = servedInTime
		if target := x.route.TargetLatency; target > 0 && x.timeToResponse() > target {
			served = servedLate
		}
	}
	requestsByPriority.Inc(x.service.Name, strconv.Itoa(x.route.Priority), served)
}

// timeToResponse is the time that the latency target is about: until the first event of a stream, or until the end of any other
// response.
func (x *exchange) timeToResponse() time.Duration {
	if !x.stream.firstEventAt.IsZero() {
		return x.stream.firstEventAt.Sub(x.arrival)
	}
	return time.Since(x.arrival)
}

// recordFirstEvent records when the first event of a stream was passed on.
func (x *exchange) recordFirstEvent() {
	if x.stream.firstEventAt.IsZero() {
		x.stream.firstEventAt = time.Now()
	}
}
