package admission

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// overload has so many requests miss their deadlines that nearly all new ones are refused.
func (b *bench) overload() {
	b.t.Helper()
	b.fill()
	for range 8 {
		b.hold(b.request())
	}
	b.clock.pass(testAim)
}

// LOST: a stream whose answer has begun waits for another store, however many new requests are refused.
func TestRequestWhoseAnswerHasBegunIsNotRefusedForLoad(t *testing.T) {
	b := newBench(t, stores(1, 1)...)
	b.overload()
	for range 20 {
		r := b.request()
		r.ResponseStarted = true
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, refusal := b.Acquire(ctx, r)
		assert.Equal(t, refusal.Reason, ClientGone, "refused before its client left")
	}
}

// DENIED, LOST: stores whose heartbeats are late are sent to as long as nothing better is there.
func TestStoresWithLateHeartbeatsServe(t *testing.T) {
	late := stores(2, 4)
	for i := range late {
		late[i].State = Suspect
	}
	b := newBench(t, late...)
	for range 200 {
		b.serve(b.request(), testAim/10)
	}
	var out []*Grant
	for range 8 {
		out = append(out, b.now(b.request()))
	}
	for _, g := range out {
		g.Finish(Success)
	}
}

// Duty, worth: a store with late heartbeats keeps a share of the requests beside others, and its whole share when it is
// heard again.
func TestStoreWithLateHeartbeatsKeepsAShare(t *testing.T) {
	list := stores(3, 8)
	list[0].State = Suspect
	b := newBench(t, list...)
	share := func() int {
		count := 0
		for range 300 {
			g := b.now(b.request())
			if g.Store().Instance == list[0].Instance {
				count++
			}
			g.Finish(Success)
		}
		return count
	}
	late := share()
	assert.Assert(t, late > 10 && late < 90, "%d of 300", late)
	list[0].State = Ready
	b.SetStores("s", false, 0, list)
	heard := share()
	assert.Assert(t, heard > 80, "%d of 300", heard)
}

// DRAIN, LOST: a store that says nothing but that it is gone serves on: what is out there ends as usual, it gets nothing
// more, and what was held for it goes to others or is refused with a time to come again.
func TestStoreThatIsGoneEndsWhatItHas(t *testing.T) {
	b := newBench(t, stores(1, 1)...)
	out := b.now(b.request())
	waiting := b.hold(b.request())
	b.SetStores("s", false, 0, []Store{{Instance: "i-0", State: Deregistered}, {Instance: "other", Slots: 1}})
	<-waiting.done
	assert.Equal(t, waiting.grant.Store().Instance, "other")
	waiting.grant.Finish(Success)
	for range 5 {
		g := b.now(b.request())
		assert.Equal(t, g.Store().Instance, "other")
		g.Finish(Success)
	}
	out.ReportFirstByte()
	out.Finish(Success)
	b.SetStores("s", false, 0, stores(0, 1))
	assert.Equal(t, len(b.core.services["s"].known), 0)
}

// LOST: a service that a configuration drops ends what it has, and refuses what is held with a time to come again.
func TestServiceThatIsDroppedEndsWhatItHas(t *testing.T) {
	b := newBench(t, stores(1, 1)...)
	out := b.now(b.request())
	waiting := b.hold(b.request())
	b.SetStores("s", false, 0, nil)
	<-waiting.done
	assert.Equal(t, waiting.refusal.Reason, NoStore)
	assert.Assert(t, waiting.refusal.RetryAfter > 0)
	out.Finish(Success)
	assert.Equal(t, b.core.services["s"].out, 0)
}

// GONE: a request whose client leaves in the moment in which it is let go gives its place back.
func TestClientThatLeavesAsItIsLetGoTakesNoPlace(t *testing.T) {
	b := newBench(t, stores(1, 1)...)
	for range 50 {
		out := b.now(b.request())
		waiting := b.hold(b.request())
		go waiting.cancel()
		out.Finish(Success)
		<-waiting.done
		if waiting.grant != nil {
			waiting.grant.Finish(Cancelled)
		}
		assert.Equal(t, b.core.services["s"].out, 0)
		assert.Equal(t, b.holding(), 0)
	}
}
