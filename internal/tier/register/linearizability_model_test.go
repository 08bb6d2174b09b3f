package register

import (
	"fmt"

	"github.com/anishathalye/porcupine"
)

// operation is what a client asked and was told.
type operation struct {
	read     bool
	from, to uint64
}

type outcome struct {
	generation uint64
	conflict   bool
	unknown    bool
	untaken    bool
}

// registerModel is a compare-and-swap register of generations. A change whose end is not known may have been made
// at any time until the end of the history; one that was given up before anything left has not been made.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, asked, told := state.(uint64), input.(operation), output.(outcome)
		switch {
		case told.untaken:
			return true, current
		case asked.read:
			return told.unknown || told.generation == current, current
		case told.unknown:
			if current == asked.from {
				return true, asked.to
			}
			return true, current
		case told.conflict:
			return current != asked.from, current
		}
		return current == asked.from, asked.to
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}
