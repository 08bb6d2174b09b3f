package controlapi

import (
	"fmt"

	"pulleygw.example/pulleygw/internal/tier/result"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// maxRetirements is how many retirements the control state remembers. Older ones are dropped.
const maxRetirements = 256

// retirement is an operator's request to retire a turn store's machine: to move its records to other machines.
type retirement struct {
	node      string       // name of the machine
	tolerance int          // how many turn stores may be lost at once
	pending   *tierpb.Node // turn store with this name that asks to join; may be nil
}

// apply is a register.ChangeFunc. It removes the machine from the turn store members. While its records move, the previous
// members are still queried. A repeated request changes nothing. Only the placement controller marks a retirement as completed.
func (r *retirement) apply(current *tierpb.ControlState) (*tierpb.ControlState, error) {
	member := findNode(current.GetStores().GetCurrent(), r.node)
	if member == nil {
		return r.applyToNonMember(current)
	}
	stores := current.Stores
	if left := len(stores.Current) - 1; left < r.minMembers() {
		return nil, r.tooFewMembers(left)
	}
	if len(stores.Previous) == 0 {
		stores.Previous = stores.Current
	}
	stores.Current = withoutNode(stores.Current, member.Identity)
	stores.Epoch++
	addRetirement(current, &tierpb.Retirement{Node: r.node, Identity: member.Identity})
	return current, nil
}

// applyToNonMember records the request for a machine whose turn store is not a current member: the store is asking to join, or it
// is a previous member that may hold records that still have to move.
func (r *retirement) applyToNonMember(current *tierpb.ControlState) (*tierpb.ControlState, error) {
	stores := current.GetStores()
	node := r.pending
	if node == nil {
		node = findNode(stores.GetPrevious(), r.node)
	}
	last := findRetirement(current, r.node)
	switch {
	case last != nil && (node == nil || !last.Completed || last.Identity == node.Identity):
		return current, nil
	case node == nil:
		return nil, result.New(result.UnknownMachine, fmt.Sprintf("no turn store is named %q", r.node))
	case len(stores.GetCurrent()) < r.minMembers(): // the store is needed as a member
		return nil, r.tooFewMembers(len(stores.GetCurrent()))
	}
	addRetirement(current, &tierpb.Retirement{Node: r.node, Identity: node.Identity})
	return current, nil
}

// minMembers returns the number of turn stores that is needed to tolerate the loss of r.tolerance of them.
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

// findRetirement returns the newest retirement of a machine, or nil.
func findRetirement(current *tierpb.ControlState, node string) *tierpb.Retirement {
	list := current.GetRetirements()
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Node == node {
			return list[i]
		}
	}
	return nil
}

func findNode(nodes []*tierpb.Node, name string) *tierpb.Node {
	for _, node := range nodes {
		if node.Name == name {
			return node
		}
	}
	return nil
}

func withoutNode(nodes []*tierpb.Node, identity uint64) []*tierpb.Node {
	var kept []*tierpb.Node
	for _, node := range nodes {
		if node.Identity != identity {
			kept = append(kept, node)
		}
	}
	return kept
}
