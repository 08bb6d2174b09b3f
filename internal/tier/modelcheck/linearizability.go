package modelcheck

import (
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"
)

// outcome is the result that a client got.
type outcome struct {
	generation  uint64
	conflict    bool
	unknown     bool
	notExecuted bool
}

// chain is the committed generations in their order.
type chain []uint64

func (c chain) current() uint64 {
	if len(c) == 0 {
		return 0
	}
	return c[len(c)-1]
}

func (c chain) put(generation uint64) chain { return append(slices.Clone(c), generation) }

// registerModel is the sequential specification: a compare-and-swap register of generations that acknowledges a committed
// change again (idempotent retry). A change of unknown outcome may take effect at any time until the end of the history.
var registerModel = porcupine.Model{
	Init: func() any { return chain(nil) },
	Step: func(state, input, output any) (bool, any) {
		current, asked, got := state.(chain), input.(Operation), output.(outcome)
		fits := current.current() == asked.From
		committed := slices.Contains(current, asked.To)
		switch {
		case got.notExecuted:
			return true, current
		case asked.Kind == Read:
			return got.unknown || got.generation == current.current(), current
		case got.unknown && (committed || !fits):
			return true, current
		case got.conflict:
			return !committed && !fits, current
		case committed:
			return true, current
		}
		return fits, current.put(asked.To)
	},
	Equal:             func(one, other any) bool { return slices.Equal(one.(chain), other.(chain)) },
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%v -> %+v", input, output) },
}
