package proxy

import (
	"strconv"
	"time"

	"pulleygw.example/pulleygw/internal/tier/metrics"
)

// requestsByPriority shows whether requests of a more urgent priority are served less often than less urgent ones of the
// same service, which is costly for operators.
var requestsByPriority = metrics.NewCounterVec("proxy_requests_by_priority_total",
	"Requests of clients by service, priority of the route (0 is the most urgent) and whether they were served within the latency target.",
	"service", "priority", "served")

// Values of the label "served".
const (
	servedInTime = "in_time"
	servedLate   = "late"
	notServed    = "no"
)

// recordByPriority counts the request by service, priority and whether it was served in time. It does not count requests
// that ended for a reason on the client's side: a disconnect, a request that is invalid, or an exhausted budget.
func (x *exchange) recordByPriority(ended result) {
	if x.service == nil {
		return
	}
	served := notServed
	switch ended {
	case resultClientDisconnected, resultStoreClientError, resultUnknownTurn, resultBudgetExhausted, resultBadRequest:
		return
	case resultServed:
		served = servedInTime
		if target := x.route.TargetLatency; target > 0 && x.timeToResponse() > target {
			served = servedLate
		}
	}
	requestsByPriority.Inc(x.service.Name, strconv.Itoa(x.route.Priority), served)
}

// timeToResponse returns the latency to compare with the latency target: the time until the first event of a stream, or
// until the end of any other response.
func (x *exchange) timeToResponse() time.Duration {
	if !x.stream.firstEventAt.IsZero() {
		return x.stream.firstEventAt.Sub(x.arrival)
	}
	return time.Since(x.arrival)
}

// recordFirstEvent records when the first event of a stream is forwarded.
func (x *exchange) recordFirstEvent() {
	if x.stream.firstEventAt.IsZero() {
		x.stream.firstEventAt = time.Now()
	}
}
