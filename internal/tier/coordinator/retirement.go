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
// given again changes nothing. Whether the machine is empty is for the placement to say, never for the order.
func (r *retirement) change(current *tierpb.ControlState) (*tierpb.ControlState, error) {
	member := nodeNamed(current.GetStores().GetCurrent(), r.node)
	if member == nil {
		return r.changeOutside(current)
	}
	stores := current.Stores
	if left := len(stores.Current) - 1; left < r.least() {
		return nil, r.tooFew(left)
	}
	if len(stores.Previous) == 0 {
		stores.Previous = stores.Current
	}
	stores.Current = without(stores.Current, member.Identity)
	stores.Epoch++
	addRetirement(current, &tierpb.Retirement{Node: r.node, Identity: member.Identity})
	return current, nil
}

// changeOutside notes the order for a machine whose store is no member now: it waits to become one, or it was one
// until lately and may hold what still moves.
func (r *retirement) changeOutside(current *tierpb.ControlState) (*tierpb.ControlState, error) {
	stores := current.GetStores()
	node := r.waiting
	if node == nil {
		node = nodeNamed(stores.GetPrevious(), r.node)
	}
	last := findRetirement(current, r.node)
	switch {
	case last != nil && (node == nil || !last.Completed || last.Identity == node.Identity):
		return current, nil
	case node == nil:
		return nil, result.New(result.UnknownMachine, fmt.Sprintf("no turn store is named %q", r.node))
	case len(stores.GetCurrent()) < r.least(): // members wait for it
		return nil, r.tooFew(len(stores.GetCurrent()))
	}
	addRetirement(current, &tierpb.Retirement{Node: r.node, Identity: node.Identity})
	return current, nil
}

// least is the number of turn stores that bears the loss of as many as are tolerated.
func (r *retirement) least() int { return 2*r.tolerance + 1 }

func (r *retirement) tooFew(left int) error {
	return result.New(result.TooFewMachines, fmt.Sprintf("%d turn stores are members without it, want %d", left, r.least()))
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
