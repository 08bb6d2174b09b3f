package register

import (
	"fmt"

	"github.com/anishathalye/porcupine"
)

// operation is the request of a client.
type operation struct {
	read     bool
	from, to uint64
}

// outcome is the result of an operation as the client sees it.
type outcome struct {
	generation  uint64
	conflict    bool
	unknown     bool
	notExecuted bool
}

// registerModel is a compare-and-swap register whose values are generations. A change with an unknown outcome may take
// effect at any time until the end of the history; a change that failed before a value was sent never does.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, request, result := state.(uint64), input.(operation), output.(outcome)
		switch {
		case result.notExecuted:
			return true, current
		case request.read:
			return result.unknown || result.generation == current, current
		case result.unknown:
			if current == request.from {
				return true, request.to
			}
			return true, current
		case result.conflict:
			return current != request.from, current
		}
		return current == request.from, request.to
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}
