package modelcheck

import (
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"
)

// outcome is what a client was told.
type outcome struct {
	generation uint64
	conflict   bool
	unknown    bool
	untaken    bool
}

// chain is the generations in the order in which they were put.
type chain []uint64

func (c chain) current() uint64 {
	if len(c) == 0 {
		return 0
	}
	return c[len(c)-1]
}

func (c chain) put(generation uint64) chain { return append(slices.Clone(c), generation) }

// registerModel is a compare-and-swap register of generations in which an order that was taken is acknowledged again.
// A change whose end is not known may have been made at any time until the end of the history.
var registerModel = porcupine.Model{
	Init: func() any { return chain(nil) },
	Step: func(state, input, output any) (bool, any) {
		current, asked, told := state.(chain), input.(Operation), output.(outcome)
		fits := current.current() == asked.From
		taken := slices.Contains(current, asked.To)
		switch {
		case told.untaken:
			return true, current
		case asked.Kind == Read:
			return told.unknown || told.generation == current.current(), current
		case told.unknown && (taken || !fits):
			return true, current
		case told.conflict:
			return !taken && !fits, current
		case taken:
			return true, current
		}
		return fits, current.put(asked.To)
	},
	Equal:             func(one, other any) bool { return slices.Equal(one.(chain), other.(chain)) },
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%v -> %+v", input, output) },
}
