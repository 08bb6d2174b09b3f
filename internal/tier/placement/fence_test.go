package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestFenceAcceptsOnlyTheNewestTerm(t *testing.T) {
	term := Term{Number: 3, Holder: 7}
	credentials := Credentials{Term: term, LeaseOwned: true}
	for current, expected := range map[Term]error{
		term:                   nil,
		{Number: 4, Holder: 8}: ErrFenced,
		{Number: 4, Holder: 7}: ErrFenced, // acquired again by the same process
		{Number: 3, Holder: 8}: ErrFenced,
		{Number: 2, Holder: 7}: ErrFenced,
		{}:                     ErrFenced,
	} {
		assert.Equal(t, CheckFence(current, credentials), expected, "%v", current)
	}
	credentials.ViewAge = MaxViewAge
	assert.NilError(t, CheckFence(term, credentials))
	credentials.ViewAge++
	assert.Equal(t, CheckFence(term, credentials), ErrStaleView)
	assert.Equal(t, CheckFence(term, Credentials{Term: term}), ErrLeaseLost)
}

func TestNextTermIsSetInTheState(t *testing.T) {
	state := &tierpb.ControlState{}
	assert.Equal(t, TermOf(state), Term{})
	assert.Equal(t, TermOf(nil), Term{})
	TermOf(state).Next(8).SetIn(state)
	assert.Equal(t, TermOf(state), Term{Number: 1, Holder: 8})
	assert.Equal(t, TermOf(state).Next(8), Term{Number: 2, Holder: 8}, "acquired again by the same process")
}
