package membership

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/coordinator/controlapi"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// newTestMembership returns a Membership for identity 1 that makes no calls and reads the time from now.
func newTestMembership(now *time.Time, accepted func() *tierpb.ControlState) *Membership {
	return New(Options{
		Self: &tierpb.Node{Identity: 1}, State: watch.NewState(), Accepted: accepted, Seeds: func() []string { return nil },
		Log: hclog.NewNullLogger(), Now: func() time.Time { return *now },
	})
}

func nothingAccepted() *tierpb.ControlState { return nil }

// A reply counts as contact for exactly ContactTimeout after its poll was sent, and not a nanosecond longer.
func TestReplyCountsAsContactForContactTimeout(t *testing.T) {
	for _, test := range []struct {
		age    time.Duration
		status int
	}{{0, http.StatusOK}, {ContactTimeout, http.StatusOK}, {ContactTimeout + 1, http.StatusServiceUnavailable}} {
		now := time.Unix(1_000_000, 0)
		m := newTestMembership(&now, nothingAccepted)
		voters := &tierpb.VoterSet{Nodes: []*tierpb.Node{{Identity: 1}, {Identity: 2}, {Identity: 3}}}
		m.options.State.SetControl(&tierpb.ControlState{Version: 1, Voters: []*tierpb.VoterSet{voters}})
		m.recordReply("10.0.2.1:7000", &tierpb.WatchReply{Incarnation: 9, Responder: &tierpb.Responder{Identity: 2}}, now)
		m.directory.setReachable("10.0.2.1:7000", true)
		now = now.Add(test.age)
		recorder := httptest.NewRecorder()
		api := controlapi.New(controlapi.Options{Membership: m})
		api.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/readyz", nil))
		assert.Equal(t, recorder.Code, test.status, "after %v", test.age)
	}
}

// A reply that names later voters neither renews existing contact nor ends it, even if it repeats the responder's identity.
// Another process at the same address replaces the previous one.
func TestContactIsTrackedPerIncarnation(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := newTestMembership(&now, nothingAccepted)
	const address = "10.0.2.1:7000"
	m.directory.setReachable(address, true)
	reply := func(incarnation, identity, epoch uint64) *tierpb.WatchReply {
		return &tierpb.WatchReply{Incarnation: incarnation, Responder: &tierpb.Responder{Identity: identity, Epoch: epoch}}
	}
	m.recordReply(address, reply(5, 2, 0), now)
	assert.Assert(t, m.hasContact(2))
	now = now.Add(ContactTimeout)
	m.recordReply(address, reply(5, 2, 7), now)
	assert.Assert(t, m.hasContact(2), "contact ended before ContactTimeout")
	now = now.Add(1)
	assert.Assert(t, !m.hasContact(2), "contact was renewed by a reply that names later voters")
	m.recordReply(address, reply(5, 0, 0), now)
	assert.Assert(t, m.hasContact(2))
	m.recordReply(address, reply(6, 0, 0), now)
	assert.Assert(t, m.hasContact(2), "the new incarnation has no identity yet, so the previous one still counts")
	m.recordReply(address, reply(6, 3, 0), now)
	assert.Assert(t, m.hasContact(3) && !m.hasContact(2))
}

// Voters that were accepted locally but lost to another value are dropped once the chosen value of their version is known.
func TestAcceptedVotersThatWereNotChosenAreDropped(t *testing.T) {
	state := func(version, epoch uint64) *tierpb.ControlState {
		return &tierpb.ControlState{Version: version, Epoch: epoch, Voters: []*tierpb.VoterSet{{}}}
	}
	accepted := state(3, 2)
	now := time.Unix(1_000_000, 0)
	m := newTestMembership(&now, func() *tierpb.ControlState { return accepted })
	assert.Equal(t, m.NewestVoters().Epoch, uint64(2))
	m.options.State.SetControl(state(2, 1))
	assert.Equal(t, m.NewestVoters().Epoch, uint64(2), "the accepted voters may have been chosen")
	m.options.State.SetControl(state(3, 1))
	assert.Equal(t, m.NewestVoters().Epoch, uint64(1))
	assert.Equal(t, m.responder(&tierpb.WatchRequest{Incarnation: 1}, &tierpb.WatchReply{Incarnation: 1}).GetEpoch(), uint64(0))
}
