package proxy

import (
	"net/http"
	"strconv"
	"strings"

	"pulleygw.example/pulleygw/internal/tier/admission"
	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/upstream"
)

// ask describes the request for admission.
func (x *exchange) ask() admission.Request {
	asked := admission.Request{
		Service: x.service.Name, Arrival: x.arrival, LatencyTarget: x.route.TargetLatency,
		Deadline: x.deadline, Priority: x.route.Priority, AttemptedInstances: x.avoid, ExecutedAttempts: x.ran,
		Streaming: x.route.Kind == configuration.Streaming, Idempotent: x.repeatable(),
		ResponseStarted: x.stream.headSent,
	}
	if x.route.SessionAffinity {
		asked.Affinity = x.affinity()
	}
	if x.r.Header.Get(headerProgram) != "" {
		asked.FirstTurn = x.route.Kind == configuration.Streaming && x.r.Header.Get(headerPrevious) == ""
	}
	return asked
}

// affinity is what requests share that are served faster by the same store: turns find parts of their prompts kept there,
// other requests the object that they are about.
func (x *exchange) affinity() uint64 {
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

// storeOf is the store that a grant names.
func storeOf(granted *admission.Grant) upstream.Store {
	store := granted.Store()
	return upstream.Store{Instance: store.Instance, Address: store.Address}
}

// tellLoad hands on what a store says of its load in X-Server-Load: requests running and waiting, and its slots.
func tellLoad(granted *admission.Grant, header http.Header) {
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

// tokenUsage reads X-Token-Usage: tokens of the prompt, and the most to come out.
func tokenUsage(header http.Header) (prompt, most uint64) {
	first, second, _ := strings.Cut(header.Get(headerTokenUsage), ",")
	prompt, _ = strconv.ParseUint(strings.TrimSpace(first), 10, 32)
	most, _ = strconv.ParseUint(strings.TrimSpace(second), 10, 32)
	return prompt, most
}
