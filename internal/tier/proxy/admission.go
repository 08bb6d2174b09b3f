package proxy

import (
	"net/http"
	"strconv"
	"strings"

	"pulleygw.example/pulleygw/internal/tier/admission"
	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/upstream"
)

// admissionRequest describes the request for admission.
func (x *exchange) admissionRequest() admission.Request {
	request := admission.Request{
		Service: x.service.Name, Arrival: x.arrival, LatencyTarget: x.route.TargetLatency,
		Deadline: x.deadline, Priority: x.route.Priority, AttemptedInstances: x.triedInstances, ExecutedAttempts: x.executions,
		Streaming: x.route.Kind == configuration.Streaming, Idempotent: x.idempotent(),
		ResponseStarted: x.stream.headWritten,
	}
	if x.route.SessionAffinity {
		request.Affinity = x.affinityKey()
	}
	if x.r.Header.Get(headerProgram) != "" {
		request.FirstTurn = x.route.Kind == configuration.Streaming && x.r.Header.Get(headerPrevious) == ""
	}
	return request
}

// affinityKey is what requests share that are served faster by the same store: turns find parts of their prompts kept there,
// other requests the object that they are about.
func (x *exchange) affinityKey() uint64 {
	names := [...]string{headerAffinityKey, headerProgram, headerSession}
	if x.route.Kind == configuration.Streaming {
		names = [...]string{headerProgram, headerSession, headerAffinityKey}
	}
	for _, name := range names {
		if key := x.r.Header.Get(name); key != "" {
			return hashOf(key)
		}
	}
	return 0
}

// grantedStore is the store that a grant names.
func grantedStore(granted *admission.Grant) upstream.Store {
	store := granted.Store()
	return upstream.Store{Instance: store.Instance, Address: store.Address}
}

// reportLoad hands on what a store says of its load in X-Server-Load: requests running and waiting, and its slots.
func reportLoad(granted *admission.Grant, header http.Header) {
	values := header[headerServerLoad]
	if len(values) == 0 {
		return
	}
	fields := strings.Split(values[0], ",")
	if len(fields) != 3 {
		return
	}
	var numbers [3]int
	for i, field := range fields {
		number, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || number < 0 {
			return
		}
		numbers[i] = number
	}
	granted.ReportLoad(numbers[0], numbers[1], numbers[2])
}

// parseTokenUsage reads X-Token-Usage: tokens of the prompt, and the most to come out.
func parseTokenUsage(header http.Header) (prompt, most uint64) {
	first, second, _ := strings.Cut(header.Get(headerTokenUsage), ",")
	prompt, _ = strconv.ParseUint(strings.TrimSpace(first), 10, 32)
	most, _ = strconv.ParseUint(strings.TrimSpace(second), 10, 32)
	return prompt, most
}
