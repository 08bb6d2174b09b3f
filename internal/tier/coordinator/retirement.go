package coordinator

import (
	"fmt"

	"pulleygw.example/pulleygw/internal/tier/result"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// retirementsKept is how many retirements the register remembers.
const retirementsKept = 256

// retirement is an operator's order to empty a turn store's machine.
type retirement struct {
	node      string
	tolerance int
	waiting   *tierpb.Node // a turn store of that name that is no member yet; may be nil
}

// change takes the machine out of the members; its records move while the members before keep being asked. An order
// given again changes nothing.
func (r *retirement) change(current *tierpb.ControlState) (*tierpb.ControlState, error) {
	stores := current.GetStores()
	member := nodeNamed(stores.GetCurrent(), r.node)
	least := 2*r.tolerance + 1
	switch {
	case member == nil && findRetirement(current, r.node) != nil:
		return current, nil
	case member == nil && r.waiting != nil && len(stores.GetCurrent()) < least: // members wait for it
		return nil, result.New(result.TooFewMachines,
			fmt.Sprintf("%d turn stores are members without it, want %d", len(stores.GetCurrent()), least))
	case member == nil && r.waiting != nil:
		addRetirement(current, &tierpb.Retirement{Node: r.node, Identity: r.waiting.Identity, Completed: true})
		return current, nil
	case member == nil:
		return nil, result.New(result.UnknownMachine, fmt.Sprintf("no turn store is named %q", r.node))
	}
	if len(stores.Current)-1 < least {
		return nil, result.New(result.TooFewMachines,
			fmt.Sprintf("%d turn stores would be left, want %d", len(stores.Current)-1, least))
	}
	if len(stores.Previous) == 0 {
		stores.Previous = stores.Current
	}
	stores.Current = without(stores.Current, member.Identity)
	stores.Epoch++
	addRetirement(current, &tierpb.Retirement{Node: r.node, Identity: member.Identity})
	return current, nil
}

func addRetirement(current *tierpb.ControlState, added *tierpb.Retirement) {
	current.Retirements = append(current.Retirements, added)
	if excess := len(current.Retirements) - retirementsKept; excess > 0 {
		current.Retirements = current.Retirements[excess:]
	}
}

// findRetirement returns the newest retirement of a machine, nil where there is none.
func findRetirement(current *tierpb.ControlState, node string) *tierpb.Retirement {
	list := current.GetRetirements()
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Node == node {
			return list[i]
		}
	}
	return nil
}

func nodeNamed(nodes []*tierpb.Node, name string) *tierpb.Node {
	for _, node := range nodes {
		if node.Name == name {
			return node
		}
	}
	return nil
}

func without(nodes []*tierpb.Node, identity uint64) []*tierpb.Node {
	var kept []*tierpb.Node
	for _, node := range nodes {
		if node.Identity != identity {
			kept = append(kept, node)
		}
	}
	return kept
}
