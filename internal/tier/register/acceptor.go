package register

import (
	"context"
	"sync/atomic"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// maxPendingRequests bounds the requests that wait while the disk is slow or stalled; further ones are rejected.
const maxPendingRequests = 16

// AcceptorOptions configure an Acceptor.
type AcceptorOptions struct {
	// Disk and Folder are where the acceptor keeps its state. No other component may use the same series in this folder.
	Disk   storage.Disk
	Folder string
	// Address is the internal address of this coordinator.
	Address string
	// Bootstrap marks the first start of the cluster. It has no effect unless the disk is empty.
	Bootstrap bool
	// Seeds are the internal addresses of the first coordinators; used with Bootstrap only.
	Seeds []string
	// Failpoints stop the process at chosen points in tests; nil in production.
	Failpoints *failpoint.Points
}

// Acceptor stores the highest prepared proposal number and the accepted value of one identity. It is safe for concurrent
// use: one request at a time writes to disk, and queries never wait.
type Acceptor struct {
	identity       uint64
	hasNewIdentity bool
	failpoints     *failpoint.Points
	preparedSeries *storage.Series
	acceptedSeries *storage.Series

	pending        atomic.Int32  // requests that hold or wait for the semaphore
	semaphore      chan struct{} // holds one token while the acceptor is free; whoever takes it may write the state and the disk
	saveIncomplete bool          // a save began and has not succeeded: the disk may hold a value that was not acknowledged
	state          atomic.Pointer[acceptorState]
}

// acceptorState is what an acceptor has prepared and accepted, all of it on disk. It is immutable.
type acceptorState struct {
	prepared *tierpb.ProposalNumber
	accepted *tierpb.ProposalNumber
	value    *tierpb.ControlState
}

// Identity returns the identity under which the acceptor votes.
func (a *Acceptor) Identity() uint64 { return a.identity }

// HasNewIdentity reports whether the acceptor got a new identity at this start, because its disk was empty or its state was lost.
func (a *Acceptor) HasNewIdentity() bool { return a.hasNewIdentity }

// AcceptedValue returns the accepted value, nil if there is none. The value is not necessarily chosen. The caller must not
// modify it.
func (a *Acceptor) AcceptedValue() *tierpb.ControlState { return a.state.Load().value }

// HighestPrepared returns the highest prepared proposal number.
func (a *Acceptor) HighestPrepared() *tierpb.ProposalNumber { return a.state.Load().prepared }

// Serve registers the acceptor's RPC handlers.
func (a *Acceptor) Serve(server *rpc.Server) {
	rpc.Handle(server, rpc.MethodPrepare, func(_ context.Context, request *tierpb.PrepareRequest) (*tierpb.PrepareReply, error) {
		return a.Prepare(request), nil
	})
	rpc.Handle(server, rpc.MethodAccept, func(_ context.Context, request *tierpb.AcceptRequest) (*tierpb.AcceptReply, error) {
		return a.Accept(request), nil
	})
}

// Prepare promises to reject proposals with a lower number, and returns the accepted value. The promise is on disk when
// Prepare returns. Proposal number zero makes the request a query, which promises nothing and never waits. A reply that
// neither grants the prepare nor names a higher proposal number means that the acceptor is overloaded or cannot write to
// its disk.
func (a *Acceptor) Prepare(request *tierpb.PrepareRequest) *tierpb.PrepareReply {
	if request.GetIdentity() != a.identity {
		return &tierpb.PrepareReply{WrongIdentity: true}
	}
	if request.GetProposal().GetCounter() == 0 {
		state := a.state.Load()
		return state.preparedReply(request.GetKnownAccepted())
	}
	if !a.acquire() {
		return &tierpb.PrepareReply{}
	}
	defer a.release()
	state := a.state.Load()
	if isHigher(state.prepared, request.Proposal) {
		return &tierpb.PrepareReply{HighestPrepared: state.prepared}
	}
	if err := a.prepare(state, request.Proposal); err != nil {
		return &tierpb.PrepareReply{}
	}
	return state.preparedReply(request.GetKnownAccepted())
}

// preparedReply returns the reply to a granted prepare. It omits the value if the proposer already knows the accepted
// proposal number, because a proposal number has only one value.
func (s *acceptorState) preparedReply(known *tierpb.ProposalNumber) *tierpb.PrepareReply {
	reply := &tierpb.PrepareReply{Prepared: true, Accepted: s.accepted, Value: s.value}
	if known.GetCounter() > 0 && sameProposal(known, s.accepted) {
		reply.Value = nil
	}
	return reply
}

// prepare saves a proposal number as prepared, unless it is already on disk.
func (a *Acceptor) prepare(state *acceptorState, number *tierpb.ProposalNumber) error {
	if err := a.rewriteAfterFailedSave(state); err != nil {
		return err
	}
	if sameProposal(number, state.prepared) {
		return nil
	}
	if err := a.failpoints.At(failpoint.PrepareUnsaved); err != nil {
		return err
	}
	if err := a.savePrepared(number); err != nil {
		return err
	}
	a.publish(&acceptorState{prepared: number, accepted: state.accepted, value: state.value})
	return a.failpoints.At(failpoint.PrepareSaved)
}

// rewriteAfterFailedSave writes the known value again after a failed save. Otherwise the disk may hold an unacknowledged
// value that would reappear at the next start, although prepares granted since then did not report it.
func (a *Acceptor) rewriteAfterFailedSave(state *acceptorState) error {
	if !a.saveIncomplete {
		return nil
	}
	if err := a.saveAccepted(state.accepted, state.value); err != nil {
		return err
	}
	a.saveIncomplete = false
	return nil
}

// Accept accepts a value unless a higher proposal number has been prepared. The value is on disk when Accept returns. A
// duplicate request is acknowledged again. A reply that neither accepts the value nor names a higher proposal number means
// that the request is malformed, or that the acceptor is overloaded or cannot write to its disk.
func (a *Acceptor) Accept(request *tierpb.AcceptRequest) *tierpb.AcceptReply {
	if request.GetIdentity() != a.identity {
		return &tierpb.AcceptReply{WrongIdentity: true}
	}
	if request.GetProposal().GetCounter() == 0 || len(request.GetValue().GetVoters()) == 0 {
		return &tierpb.AcceptReply{}
	}
	if !a.acquire() {
		return &tierpb.AcceptReply{}
	}
	defer a.release()
	state := a.state.Load()
	if isHigher(state.prepared, request.Proposal) {
		return &tierpb.AcceptReply{HighestPrepared: state.prepared}
	}
	if sameProposal(request.Proposal, state.accepted) {
		return &tierpb.AcceptReply{Accepted: true}
	}
	if err := a.accept(request); err != nil {
		return &tierpb.AcceptReply{}
	}
	return &tierpb.AcceptReply{Accepted: true}
}

// accept saves a value, then publishes it. The value is not visible before it is on disk.
func (a *Acceptor) accept(request *tierpb.AcceptRequest) error {
	if err := a.failpoints.At(failpoint.AcceptUnsaved); err != nil {
		return err
	}
	a.saveIncomplete = true
	if err := a.saveAccepted(request.Proposal, request.Value); err != nil {
		return err
	}
	a.saveIncomplete = false
	a.publish(&acceptorState{prepared: request.Proposal, accepted: request.Proposal, value: request.Value})
	return a.failpoints.At(failpoint.AcceptSaved)
}

// publish makes a state visible to queries and local readers. The state must already be on disk.
func (a *Acceptor) publish(next *acceptorState) {
	known := a.state.Load()
	valid := !isHigher(known.prepared, next.prepared) && !isHigher(next.accepted, next.prepared)
	invariant.Check(valid, invariant.PreparedMonotonic, next.prepared, known.prepared)
	a.state.Store(next)
}

// acquire waits for the semaphore; false means that too many requests are already waiting.
func (a *Acceptor) acquire() bool {
	if a.pending.Add(1) > maxPendingRequests {
		a.pending.Add(-1)
		return false
	}
	<-a.semaphore
	return true
}

func (a *Acceptor) release() {
	a.semaphore <- struct{}{}
	a.pending.Add(-1)
}
