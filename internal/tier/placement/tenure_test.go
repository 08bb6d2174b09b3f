package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestOvertakenTenureStaysOvertaken(t *testing.T) {
	own := Term{Number: 3, Holder: 7}
	tenure := NewTenure(2, own)
	tenure.Observe(Term{Number: 2, Holder: 8})
	assert.Assert(t, !tenure.Overtaken(), "an old value was seen")
	assert.NilError(t, tenure.Check(own, true, 0))
	assert.Equal(t, tenure.Check(own, false, 0), ErrLeaseLost)
	assert.Equal(t, tenure.Check(own, true, MaxViewAge+1), ErrStaleView)
	assert.Assert(t, !tenure.Overtaken(), "the lease or the view was at fault")
	assert.Equal(t, tenure.Check(Term{Number: 4, Holder: 8}, true, 0), ErrFenced)
	assert.Assert(t, tenure.Overtaken())
	assert.Equal(t, tenure.Check(own, true, 0), ErrFenced, "its term is presented no more")
}

func TestTenureIsOvertakenByWhatIsObserved(t *testing.T) {
	for newest, overtaken := range map[Term]bool{
		{Number: 3, Holder: 7}: false,
		{Number: 2, Holder: 9}: false,
		{Number: 3, Holder: 8}: true,
		{Number: 4, Holder: 7}: true, // by another acquisition of the same process
	} {
		tenure := NewTenure(1, Term{Number: 3, Holder: 7})
		tenure.Observe(newest)
		assert.Equal(t, tenure.Overtaken(), overtaken, "%v", newest)
	}
}
