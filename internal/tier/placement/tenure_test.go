package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSupersededTenureStaysSuperseded(t *testing.T) {
	own := Term{Number: 3, Holder: 7}
	tenure := NewTenure(2, own)
	tenure.Observe(Term{Number: 2, Holder: 8})
	assert.Assert(t, !tenure.Superseded(), "an older term must be ignored")
	assert.NilError(t, tenure.Check(own, true, 0))
	assert.Equal(t, tenure.Check(own, false, 0), ErrLeaseLost)
	assert.Equal(t, tenure.Check(own, true, MaxViewAge+1), ErrStaleView)
	assert.Assert(t, !tenure.Superseded(), "a lost lease or a stale view must not end the tenure")
	assert.Equal(t, tenure.Check(Term{Number: 4, Holder: 8}, true, 0), ErrFenced)
	assert.Assert(t, tenure.Superseded())
	assert.Equal(t, tenure.Check(own, true, 0), ErrFenced, "a superseded tenure must not present its term again")
}

func TestTenureIsSupersededByANewerTerm(t *testing.T) {
	for newest, superseded := range map[Term]bool{
		{Number: 3, Holder: 7}: false,
		{Number: 2, Holder: 9}: false,
		{Number: 3, Holder: 8}: true,
		{Number: 4, Holder: 7}: true, // by another acquisition of the same process
	} {
		tenure := NewTenure(1, Term{Number: 3, Holder: 7})
		tenure.Observe(newest)
		assert.Equal(t, tenure.Superseded(), superseded, "%v", newest)
	}
}
