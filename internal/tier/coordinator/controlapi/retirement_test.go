package controlapi

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/result"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func storeNode(number int) *tierpb.Node {
	return &tierpb.Node{
		Name: fmt.Sprintf("store-%d", number), Address: fmt.Sprintf("10.5.0.%d:7001", number),
		Role: tierpb.Role_ROLE_TURN_STORE, Identity: uint64(1000 + number),
	}
}

func storeNodes(numbers ...int) []*tierpb.Node {
	var nodes []*tierpb.Node
	for _, number := range numbers {
		nodes = append(nodes, storeNode(number))
	}
	return nodes
}

func expectRetirement(t *testing.T, state *tierpb.ControlState, identity uint64, completed bool) {
	t.Helper()
	newest := state.Retirements[len(state.Retirements)-1]
	assert.Equal(t, newest.Identity, identity)
	assert.Equal(t, newest.Completed, completed)
}

// A previous member may hold the only copy of records that are still moving, even if it asks to join again.
func TestRetirementOfPreviousMemberStartsIncomplete(t *testing.T) {
	stores := &tierpb.StoreMembership{Epoch: 2, Current: storeNodes(1, 2, 3), Previous: storeNodes(1, 2, 3, 4)}
	for _, pending := range []*tierpb.Node{nil, storeNode(4)} {
		state := &tierpb.ControlState{Stores: stores.CloneVT()}
		request := &retirement{node: "store-4", tolerance: 1, pending: pending}
		state, err := request.apply(state)
		assert.NilError(t, err)
		expectRetirement(t, state, storeNode(4).Identity, false)
		state, err = request.apply(state)
		assert.NilError(t, err)
		assert.Equal(t, len(state.Retirements), 1, "a repeated request added a retirement")
	}
}

// A retired machine that joins again with a new identity receives records, so its retirement has to start anew.
func TestRetirementOfMachineThatJoinsAgainStartsAnew(t *testing.T) {
	rejoined := storeNode(4)
	rejoined.Identity = 40
	state := &tierpb.ControlState{
		Stores:      &tierpb.StoreMembership{Epoch: 3, Current: storeNodes(1, 2, 3)},
		Retirements: []*tierpb.Retirement{{Node: "store-4", Identity: storeNode(4).Identity, Completed: true}},
	}
	state, err := (&retirement{node: "store-4", tolerance: 1, pending: rejoined}).apply(state)
	assert.NilError(t, err)
	expectRetirement(t, state, rejoined.Identity, false)
	assert.Equal(t, len(state.Retirements), 2)
}

// A repeated request for a machine that was retired and did not get a new identity leaves the retirement completed.
func TestRetirementOfSameIdentityStaysCompleted(t *testing.T) {
	state := &tierpb.ControlState{
		Stores:      &tierpb.StoreMembership{Epoch: 3, Current: storeNodes(1, 2, 3)},
		Retirements: []*tierpb.Retirement{{Node: "store-4", Identity: storeNode(4).Identity, Completed: true}},
	}
	for _, pending := range []*tierpb.Node{nil, storeNode(4)} {
		next, err := (&retirement{node: "store-4", tolerance: 1, pending: pending}).apply(state)
		assert.NilError(t, err)
		assert.Equal(t, len(next.Retirements), 1)
		expectRetirement(t, next, storeNode(4).Identity, true)
	}
}

func TestRetirementKeepsEnoughMembersWhileRecordsMove(t *testing.T) {
	state := &tierpb.ControlState{Stores: &tierpb.StoreMembership{
		Epoch: 2, Current: storeNodes(1, 2, 3), Previous: storeNodes(1, 2, 3, 4),
	}}
	_, err := (&retirement{node: "store-3", tolerance: 1}).apply(state)
	var rejection *result.Error
	assert.Assert(t, errors.As(err, &rejection))
	state.Stores.Current = storeNodes(1, 2, 3, 5)
	state, err = (&retirement{node: "store-3", tolerance: 1}).apply(state)
	assert.NilError(t, err)
	assert.Equal(t, len(state.Stores.Previous), 4, "the previous members must stay until the records have moved")
	assert.Equal(t, len(state.Stores.Current), 3)
}
