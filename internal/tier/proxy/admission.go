package proxy

import (
	"net/http"
	"strconv"
	"strings"

	"pulleygw.example/pulleygw/internal/tier/admission"
	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/upstream"
)

// admissionRequest builds the admission request for the next attempt.
func (x *exchange) admissionRequest() admission.Request {
	request := admission.Request{
		Service: x.service.Name, Arrival: x.arrival, LatencyTarget: x.route.TargetLatency,
		Deadline: x.deadline, Priority: x.route.Priority, AttemptedInstances: x.attemptedInstances, ExecutedAttempts: x.executions,
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

// affinityKey returns a hash by which related requests prefer the same store, or 0 for no affinity. Turns are related by
// their program or session, whose prompt prefix is in that store's KV cache, other requests by X-Affinity-Key.
func (x *exchange) affinityKey() uint64 {
	names := [...]string{headerAffinityKey, headerProgram, headerSession}
	if x.route.Kind == configuration.Streaming {
		names = [...]string{headerProgram, headerSession, headerAffinityKey}
	}
	for _, name := range names {
		if key := x.r.Header.Get(name); key != "" {
			return hashKey(key)
		}
	}
	return 0
}

// grantedStore returns the store that admission chose.
func grantedStore(grant *admission.Grant) upstream.Store {
	store := grant.Store()
	return upstream.Store{Instance: store.Instance, Address: store.Address}
}

// reportLoad reports the load from a store's X-Server-Load header to admission. The header holds the numbers of running
// requests, of waiting requests and of slots; a malformed header is ignored.
func reportLoad(grant *admission.Grant, header http.Header) {
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
	grant.ReportLoad(numbers[0], numbers[1], numbers[2])
}

// parseTokenUsage parses X-Token-Usage: the number of prompt tokens and the maximum number of tokens to generate. A
// missing or malformed number is 0.
func parseTokenUsage(header http.Header) (prompt, maxTokens uint64) {
	first, second, _ := strings.Cut(header.Get(headerTokenUsage), ",")
	prompt, _ = strconv.ParseUint(strings.TrimSpace(first), 10, 32)
	maxTokens, _ = strconv.ParseUint(strings.TrimSpace(second), 10, 32)
	return prompt, maxTokens
}
