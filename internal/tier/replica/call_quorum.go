package replica

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Delays and limits of a quorum operation.
const (
	hedgeDelay     = 40 * time.Millisecond  // without a quorum after this delay, the remaining members are called too
	retryBackoff   = 60 * time.Millisecond  // before the next attempt, in which members that failed are called again
	callTimeout    = 700 * time.Millisecond // of one call to one member
	responseBuffer = 16                     // responses that calls can deliver without blocking
)

// Reply is the reply of a turn store to any operation.
type Reply interface {
	GetHeader() *tierpb.StoreReplyHeader
}

// Operation is a call to the members of a key's replica sets, of which a quorum must reply.
type Operation[R Reply] struct {
	Key    string
	Quorum Quorum
	// Call calls one member. The request must contain the header.
	Call func(ctx context.Context, address string, header *tierpb.StoreRequestHeader) (R, error)
	// OnReply is called with each reply that counts towards the quorum, from a single goroutine. If it returns true, the
	// operation succeeds at once, even without a quorum. May be nil.
	OnReply func(R) bool
	// Ranked prefers members by their rank for the key, which is the same for all callers, instead of by latency.
	Ranked bool
	// SingleMembership discards replies that were received under an older membership. A read needs it, because a read quorum
	// is valid only within one membership; a write does not, because a write that a member has synced remains there.
	SingleMembership bool
}

// Outcome describes the quorum that an operation has reached.
type Outcome struct {
	// TopRanked is true if the key had the same single replica set throughout, and the quorum contains the highest-ranked
	// members of that set. All callers that get true have the same quorum.
	TopRanked bool
}

// CallQuorum runs an operation until a quorum of the replica set has replied, or a quorum of both replica sets while the
// membership changes. It returns ErrUncertain if ctx ends first.
func CallQuorum[R Reply](ctx context.Context, client *Client, operation Operation[R]) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	call := &quorumCall[R]{
		client:    client,
		operation: operation,
		tracker:   quorumTracker{tolerance: client.options.Tolerance, quorum: operation.Quorum},
		responses: make(chan response[R], responseBuffer),
		acked:     make(identities),
	}
	err := call.run(ctx)
	return Outcome{TopRanked: err == nil && call.changes == 0 && call.tracker.topRankedAcked(call.acked)}, err
}

// response is the result of a call to one member.
type response[R Reply] struct {
	member  *tierpb.Node
	changes int // quorumCall.changes when the member was called
	reply   R
	err     error
	latency time.Duration
}

// quorumCall is one run of an operation. Only one goroutine uses it; the goroutines of the calls send to responses.
type quorumCall[R Reply] struct {
	client     *Client
	operation  Operation[R]
	membership *tierpb.StoreMembership
	changes    int // number of membership changes since the start
	tracker    quorumTracker
	candidates []*tierpb.Node // all members of the replica sets, preferred ones first
	responses  chan response[R]
	acked      identities // members that have acknowledged
	called     identities // members called in this attempt
	inFlight   int        // calls without a response, including those of earlier attempts
}

// run makes attempts until one succeeds or ctx ends.
func (q *quorumCall[R]) run(ctx context.Context) error {
	for {
		q.refreshMembership()
		if q.tracker.isReached(q.acked) {
			return nil
		}
		done, err := q.attempt(ctx)
		if done || err != nil {
			return err
		}
		if err := q.waitBackoff(ctx); err != nil {
			return err
		}
	}
}

// refreshMembership switches to the newest membership and begins a new attempt. It never goes back to an older one.
func (q *quorumCall[R]) refreshMembership() {
	newest := q.client.Membership()
	if newest.GetEpoch() < q.membership.GetEpoch() {
		newest = q.membership
	}
	if q.membership != nil && mayHaveDifferentSets(newest, q.membership) {
		q.changes++
		if q.operation.SingleMembership {
			clear(q.acked)
		}
	}
	q.membership = newest
	q.tracker.sets = Sets(newest, q.operation.Key, q.client.options.Tolerance)
	q.candidates = q.client.byPreference(Union(q.tracker.sets...), q.operation.Ranked)
	q.called = make(identities, len(q.candidates))
}

// mayHaveDifferentSets reports whether replica sets may differ between two memberships. It also compares the previous
// members, because they are dropped at the end of a migration without a new epoch, and current members that replied before
// that may have lacked records of the previous ones.
func mayHaveDifferentSets(a, b *tierpb.StoreMembership) bool {
	return a.GetEpoch() != b.GetEpoch() || len(a.GetPrevious()) != len(b.GetPrevious())
}

// attempt calls members under one membership. It returns true if the operation has succeeded, and false if a store knows a
// newer membership or all members have been called without success.
func (q *quorumCall[R]) attempt(ctx context.Context) (bool, error) {
	// Members that have acknowledged, or that were called and may still acknowledge.
	expected := make(identities, len(q.candidates))
	for identity := range q.acked {
		expected[identity] = true
	}
	q.callPreferred(ctx, expected)
	hedge := q.client.options.After(hedgeDelay)
	for q.inFlight > 0 {
		select {
		case got := <-q.responses:
			q.inFlight--
			switch q.handle(got) {
			case resultSucceeded:
				return true, nil
			case resultStaleMembership:
				return false, nil
			case resultFailed:
				delete(expected, got.member.Identity)
				q.callPreferred(ctx, expected)
			case resultAcked, resultDiscarded:
			}
		case <-hedge:
			q.client.recordSlow(q.called, q.acked)
			q.callRemaining(ctx)
		case <-ctx.Done():
			return false, ErrUncertain
		}
	}
	return false, nil
}

// callPreferred calls only as many candidates as the quorums need if all expected members acknowledge, preferred ones first.
func (q *quorumCall[R]) callPreferred(ctx context.Context, expected identities) {
	for _, member := range q.candidates {
		if q.tracker.allHaveQuorum(expected) {
			return
		}
		if expected[member.Identity] || q.called[member.Identity] || !q.tracker.isNeeded(member, expected) {
			continue
		}
		expected[member.Identity] = true
		q.start(ctx, member)
	}
}

// callRemaining calls the candidates that have not been called and could still contribute to a quorum.
func (q *quorumCall[R]) callRemaining(ctx context.Context) {
	for _, member := range q.candidates {
		if !q.called[member.Identity] && !q.acked[member.Identity] && q.tracker.isNeeded(member, q.acked) {
			q.start(ctx, member)
		}
	}
}

// start calls a member in a goroutine of its own.
func (q *quorumCall[R]) start(ctx context.Context, member *tierpb.Node) {
	q.called[member.Identity] = true
	q.inFlight++
	header := &tierpb.StoreRequestHeader{Identity: member.Identity, Epoch: q.membership.GetEpoch()}
	changes := q.changes
	go func() {
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		started := q.client.options.Now()
		reply, err := q.operation.Call(callContext, member.Address, header)
		latency := q.client.options.Now().Sub(started)
		select {
		case q.responses <- response[R]{member: member, changes: changes, reply: reply, err: err, latency: latency}:
		case <-ctx.Done():
		}
	}()
}

// result is the effect of a response on the operation.
type result int

const (
	resultAcked           result = iota // the response counts towards the quorum, which is not complete yet
	resultSucceeded                     // the operation has succeeded
	resultFailed                        // the response does not count; another member may be called instead
	resultStaleMembership               // the store knows a newer membership
	resultDiscarded                     // the call was made under an older membership
)

func (q *quorumCall[R]) handle(got response[R]) result {
	if got.changes != q.changes && q.operation.SingleMembership {
		return resultDiscarded
	}
	if failure := q.checkResponse(got); failure != resultAcked {
		return failure
	}
	if q.operation.OnReply != nil && q.operation.OnReply(got.reply) {
		return resultSucceeded
	}
	q.acked[got.member.Identity] = true
	if q.tracker.isReached(q.acked) {
		return resultSucceeded
	}
	return resultAcked
}

// checkResponse returns resultAcked if a response counts towards the quorum, otherwise resultFailed or
// resultStaleMembership. It updates what the client knows of the member and of the membership.
func (q *quorumCall[R]) checkResponse(got response[R]) result {
	if got.err != nil {
		q.client.recordFailure(got.member.Identity)
		return resultFailed
	}
	header := got.reply.GetHeader()
	switch header.GetStatus() {
	case tierpb.StoreStatus_STORE_OK:
		q.client.recordSuccess(got.member.Identity, got.latency)
		return resultAcked
	case tierpb.StoreStatus_STORE_STALE_EPOCH:
		q.client.learn(header.GetMembership())
		if header.GetMembership().GetEpoch() > q.membership.GetEpoch() {
			return resultStaleMembership
		}
		return resultFailed
	case tierpb.StoreStatus_STORE_BEHIND: // the store will learn of the membership soon, so it is not recorded as a failure
		return resultFailed
	}
	q.client.recordFailure(got.member.Identity)
	return resultFailed
}

// waitBackoff waits before the next attempt, unless a newer membership is already known.
func (q *quorumCall[R]) waitBackoff(ctx context.Context) error {
	newest := q.client.Membership()
	if newest.GetEpoch() >= q.membership.GetEpoch() && mayHaveDifferentSets(newest, q.membership) {
		return nil
	}
	select {
	case <-q.client.options.After(retryBackoff):
		return nil
	case <-ctx.Done():
		return ErrUncertain
	}
}
