package lease

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestLessorReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lessor := NewLessor(7, 0)
		sequence := uint64(0)
		request := func(holder uint64, release bool) *tierpb.LeaseReply {
			sequence++
			return lessor.Handle(&tierpb.LeaseRequest{
				Role: role, Holder: holder, TtlMs: 1000, Identity: 7, Release: release, Sequence: sequence,
			})
		}
		assert.Assert(t, request(1, false).Granted)
		rejected := request(2, false)
		assert.Assert(t, !rejected.Granted && rejected.Holder == 1 && rejected.RemainingMs == 1000)
		assert.Assert(t, !request(2, true).Granted)
		assert.Assert(t, !request(2, false).Granted, "a release by another holder must be ignored")
		late := &tierpb.LeaseRequest{Role: role, Holder: 1, Identity: 7, Release: true}
		assert.Assert(t, !lessor.Handle(late).Granted)
		assert.Assert(t, !request(2, false).Granted, "a release sent before the grant must be ignored")
		assert.Assert(t, !request(1, true).Granted)
		assert.Assert(t, request(2, false).Granted)
		<-time.After(time.Second)
		assert.Assert(t, request(1, false).Granted, "an expired lease must be available")
		other := &tierpb.LeaseRequest{Role: "other", Holder: 2, TtlMs: 1000, Identity: 7}
		assert.Assert(t, lessor.Handle(other).Granted, "roles must be independent")
		other.Identity = 8
		assert.Assert(t, !lessor.Handle(other).Granted, "the request is for another lessor")
		long := lessor.Handle(&tierpb.LeaseRequest{Role: "long", Holder: 2, TtlMs: 1 << 30, Identity: 7})
		assert.Equal(t, long.RemainingMs, uint32(MaxTTL/time.Millisecond))
	})
}

// TestWipedLessorAtTheSameAddressGrantsNothing: a request for the old identity of a lessor whose disk was wiped is denied,
// because the lessor no longer knows what it granted.
func TestWipedLessorAtTheSameAddressGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wiped := NewLessor(20, 0)
		request := &tierpb.LeaseRequest{Role: role, Holder: 2, TtlMs: 1000, Identity: 2, Sequence: 1}
		assert.Assert(t, !wiped.Handle(request).Granted)
	})
}
