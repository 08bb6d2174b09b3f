package controlapi

import (
	"fmt"

	"pulleygw.example/pulleygw/internal/tier/result"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// maxRetirements is how many retirements the register remembers, the newest.
const maxRetirements = 256

// retirement is an operator's request to empty a turn store's machine.
type retirement struct {
	node      string       // name of the machine
	tolerance int          // how many turn stores may be lost at once
	pending   *tierpb.Node // a turn store of that name that is no member yet; may be nil
}

// apply is a register.ChangeFunc. It takes the machine out of the members; its records move while the members before keep
// being asked. A request sent again changes nothing. Whether the machine is empty is for the placement to say, never for
// the request.
func (r *retirement) apply(current *tierpb.ControlState) (*tierpb.ControlState, error) {
	member := nodeNamed(current.GetStores().GetCurrent(), r.node)
	if member == nil {
		return r.applyOutside(current)
	}
	stores := current.Stores
	if left := len(stores.Current) - 1; left < r.minMembers() {
		return nil, r.tooFewMembers(left)
	}
	if len(stores.Previous) == 0 {
		stores.Previous = stores.Current
	}
	stores.Current = without(stores.Current, member.Identity)
	stores.Epoch++
	addRetirement(current, &tierpb.Retirement{Node: r.node, Identity: member.Identity})
	return current, nil
}

// applyOutside records the request for a machine whose store is no member now: it asks to become one, or it was one
// until lately and may hold what still moves.
func (r *retirement) applyOutside(current *tierpb.ControlState) (*tierpb.ControlState, error) {
	stores := current.GetStores()
	node := r.pending
	if node == nil {
		node = nodeNamed(stores.GetPrevious(), r.node)
	}
	last := findRetirement(current, r.node)
	switch {
	case last != nil && (node == nil || !last.Completed || last.Identity == node.Identity):
		return current, nil
	case node == nil:
		return nil, result.New(result.UnknownMachine, fmt.Sprintf("no turn store is named %q", r.node))
	case len(stores.GetCurrent()) < r.minMembers(): // members wait for it
		return nil, r.tooFewMembers(len(stores.GetCurrent()))
	}
	addRetirement(current, &tierpb.Retirement{Node: r.node, Identity: node.Identity})
	return current, nil
}

// minMembers is the number of turn stores that bears the loss of as many as are tolerated.
func (r *retirement) minMembers() int { return 2*r.tolerance + 1 }

func (r *retirement) tooFewMembers(left int) error {
	return result.New(result.TooFewMachines, fmt.Sprintf("%d turn stores are members without it, want %d", left, r.minMembers()))
}

func addRetirement(current *tierpb.ControlState, added *tierpb.Retirement) {
	current.Retirements = append(current.Retirements, added)
	if excess := len(current.Retirements) - maxRetirements; excess > 0 {
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
