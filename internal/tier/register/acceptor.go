package register

import (
	"bytes"
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Names of the series of an acceptor's folder.
const (
	identitySeries = "identity"
	promiseSeries  = "promise"
	acceptedSeries = "accepted"
	completeSeries = "complete" // the identity whose other two files have been written; builds before pass it over
)

// maxWaiting bounds the calls that wait for a stalled disk; further ones are refused.
const maxWaiting = 16

// AcceptorOptions say where an acceptor keeps its state and how it starts on an empty disk.
type AcceptorOptions struct {
	Disk       storage.Disk
	Folder     string
	Address    string   // inner address of this coordinator
	Bootstrap  bool     // first start of the whole system
	Seeds      []string // inner addresses of the first coordinators; used where Bootstrap is set
	Failpoints *failpoint.Points
}

// Acceptor keeps promises and the accepted value of one identity. It is safe for concurrent use.
type Acceptor struct {
	identity uint64
	fresh    bool
	faults   *failpoint.Points
	promises *storage.Series
	values   *storage.Series
	waiting  atomic.Int32
	turn     chan struct{} // holds one token; its owner may change what follows and the disk
	unclear  bool          // the disk may hold a value that was never acknowledged
	state    atomic.Pointer[acceptorState]
}

// acceptorState is what an acceptor has promised and accepted, all of it on disk; it is replaced, never changed.
type acceptorState struct {
	promised *tierpb.ProposalNumber
	accepted *tierpb.ProposalNumber
	value    *tierpb.ControlState
}

// OpenAcceptor reads the state of an acceptor. On an empty disk it gets a new identity: at the first start of the
// whole system one that follows from its address, with the initial value; at any other time a drawn one, without
// a value.
func OpenAcceptor(options AcceptorOptions) (*Acceptor, error) {
	if err := options.Disk.MkdirAll(options.Folder); err != nil {
		return nil, eris.Wrap(err, "acceptor")
	}
	acceptor := &Acceptor{faults: options.Failpoints, turn: make(chan struct{}, 1)}
	acceptor.turn <- struct{}{}
	var identity, complete *storage.Series
	for name, series := range map[string]**storage.Series{
		identitySeries: &identity, promiseSeries: &acceptor.promises, acceptedSeries: &acceptor.values, completeSeries: &complete,
	} {
		opened, err := storage.Open(options.Disk, options.Folder, name, options.Failpoints)
		if err != nil {
			return nil, err
		}
		*series = opened
	}
	payload, found := identity.Newest()
	lost := identity.Corrupted() || acceptor.promises.Corrupted() || acceptor.values.Corrupted() || acceptor.lacksFiles(payload, complete)
	if err := acceptor.loadOrBegin(options, identity, found, lost); err != nil {
		return nil, err
	}
	return acceptor, acceptor.completeFiles(complete)
}

// loadOrBegin takes over the state that was read, or begins under a new identity where there is none or some was lost.
func (a *Acceptor) loadOrBegin(options AcceptorOptions, identity *storage.Series, found, lost bool) error {
	if payload, _ := identity.Newest(); found && !lost {
		return a.load(payload)
	}
	return a.begin(options, identity, lost)
}

// lacksFiles says whether a file is gone that this identity has written.
func (a *Acceptor) lacksFiles(identity []byte, complete *storage.Series) bool {
	written, found := complete.Newest()
	if !found || !bytes.Equal(written, identity) {
		return false
	}
	_, promised := a.promises.Newest()
	_, accepted := a.values.Newest()
	return !promised || !accepted
}

// completeFiles writes both files where one of them was never needed yet, and then that they are there: from then on one
// that is gone was lost.
func (a *Acceptor) completeFiles(complete *storage.Series) error {
	identity := encodeIdentity(a.identity)
	if written, found := complete.Newest(); found && bytes.Equal(written, identity) {
		return nil
	}
	state := a.state.Load()
	if _, accepted := a.values.Newest(); !accepted {
		if err := a.saveValue(state.accepted, state.value); err != nil {
			return err
		}
	}
	if _, promised := a.promises.Newest(); !promised {
		if err := a.savePromise(state.promised); err != nil {
			return err
		}
	}
	return complete.Save(identity)
}

// load takes over the state that was read.
func (a *Acceptor) load(identity []byte) error {
	var err error
	if a.identity, err = decodeIdentity(identity); err != nil {
		return err
	}
	state := &acceptorState{promised: &tierpb.ProposalNumber{}, accepted: &tierpb.ProposalNumber{}}
	if payload, found := a.values.Newest(); found {
		stored := &tierpb.AcceptRequest{}
		if err := stored.UnmarshalVT(payload); err != nil {
			return eris.Wrap(err, "accepted value")
		}
		if stored.Proposal != nil {
			state.accepted = stored.Proposal
		}
		state.value = stored.Value
		state.promised = state.accepted
	}
	if payload, found := a.promises.Newest(); found {
		promised := &tierpb.ProposalNumber{}
		if err := promised.UnmarshalVT(payload); err != nil {
			return eris.Wrap(err, "promise")
		}
		if higher(promised, state.promised) {
			state.promised = promised
		}
	}
	a.state.Store(state)
	return nil
}

// begin gives the acceptor an identity of its own. The identity is saved last: without it nothing counts.
func (a *Acceptor) begin(options AcceptorOptions, identity *storage.Series, lost bool) error {
	a.fresh = true
	for _, series := range []*storage.Series{identity, a.promises, a.values} {
		if err := series.Clear(); err != nil {
			return eris.Wrap(err, "acceptor")
		}
	}
	state := &acceptorState{promised: &tierpb.ProposalNumber{}, accepted: &tierpb.ProposalNumber{}}
	a.identity = NewIdentity(options.Address)
	if options.Bootstrap && !lost {
		a.identity = InitialIdentity(options.Address)
		state.value = InitialState(options.Seeds)
		if err := a.saveValue(state.accepted, state.value); err != nil {
			return err
		}
	}
	if err := a.faults.At(failpoint.IdentityUnsaved); err != nil {
		return err
	}
	a.state.Store(state)
	return identity.Save(encodeIdentity(a.identity))
}

// Identity returns the identity under which the acceptor votes.
func (a *Acceptor) Identity() uint64 { return a.identity }

// Fresh says whether the disk was found empty.
func (a *Acceptor) Fresh() bool { return a.fresh }

// AcceptedValue returns the accepted value, which need not be chosen, and nil where there is none. It is not to be changed.
func (a *Acceptor) AcceptedValue() *tierpb.ControlState { return a.state.Load().value }

// HighestPrepared returns the highest ballot promised.
func (a *Acceptor) HighestPrepared() *tierpb.ProposalNumber { return a.state.Load().promised }

// Prepare promises to accept nothing below the ballot, which is on disk when it returns, and tells what was
// accepted. A ballot of zero asks for that alone.
func (a *Acceptor) Prepare(request *tierpb.PrepareRequest) *tierpb.PrepareReply {
	if request.GetIdentity() != a.identity {
		return &tierpb.PrepareReply{WrongIdentity: true}
	}
	if request.GetProposal().GetCounter() == 0 {
		state := a.state.Load()
		return state.tell(request.GetKnownAccepted())
	}
	if !a.take() {
		return &tierpb.PrepareReply{}
	}
	defer a.give()
	state := a.state.Load()
	if higher(state.promised, request.Proposal) {
		return &tierpb.PrepareReply{HighestPrepared: state.promised}
	}
	if err := a.promise(state, request.Proposal); err != nil {
		return &tierpb.PrepareReply{}
	}
	return state.tell(request.GetKnownAccepted())
}

// tell is the answer that goes with a promise. A value is left out where the caller has it: a ballot has one value.
func (s *acceptorState) tell(known *tierpb.ProposalNumber) *tierpb.PrepareReply {
	reply := &tierpb.PrepareReply{Prepared: true, Accepted: s.accepted, Value: s.value}
	if known.GetCounter() > 0 && sameBallot(known, s.accepted) {
		reply.Value = nil
	}
	return reply
}

// promise saves a promise, unless it is on disk already.
func (a *Acceptor) promise(state *acceptorState, ballot *tierpb.ProposalNumber) error {
	if err := a.settle(state); err != nil {
		return err
	}
	if sameBallot(ballot, state.promised) {
		return nil
	}
	if err := a.faults.At(failpoint.PrepareUnsaved); err != nil {
		return err
	}
	if err := a.savePromise(ballot); err != nil {
		return err
	}
	a.keep(&acceptorState{promised: ballot, accepted: state.accepted, value: state.value})
	return a.faults.At(failpoint.PrepareSaved)
}

// settle writes the known state again after a save that failed: until then the disk may hold a value that would
// come up at the next start, behind promises that were made without telling of it.
func (a *Acceptor) settle(state *acceptorState) error {
	if !a.unclear {
		return nil
	}
	if err := a.saveValue(state.accepted, state.value); err != nil {
		return err
	}
	a.unclear = false
	return nil
}

// Accept takes a value unless a higher ballot was promised; the value is on disk when it returns.
func (a *Acceptor) Accept(request *tierpb.AcceptRequest) *tierpb.AcceptReply {
	if request.GetIdentity() != a.identity {
		return &tierpb.AcceptReply{WrongIdentity: true}
	}
	if request.GetProposal().GetCounter() == 0 || len(request.GetValue().GetVoters()) == 0 {
		return &tierpb.AcceptReply{}
	}
	if !a.take() {
		return &tierpb.AcceptReply{}
	}
	defer a.give()
	state := a.state.Load()
	if higher(state.promised, request.Proposal) {
		return &tierpb.AcceptReply{HighestPrepared: state.promised}
	}
	if sameBallot(request.Proposal, state.accepted) {
		return &tierpb.AcceptReply{Accepted: true}
	}
	if err := a.accept(request); err != nil {
		return &tierpb.AcceptReply{}
	}
	return &tierpb.AcceptReply{Accepted: true}
}

// accept saves the value and takes it over. Nobody is told of it before it is on disk.
func (a *Acceptor) accept(request *tierpb.AcceptRequest) error {
	if err := a.faults.At(failpoint.AcceptUnsaved); err != nil {
		return err
	}
	a.unclear = true
	if err := a.saveValue(request.Proposal, request.Value); err != nil {
		return err
	}
	a.unclear = false
	a.keep(&acceptorState{promised: request.Proposal, accepted: request.Proposal, value: request.Value})
	return a.faults.At(failpoint.AcceptSaved)
}

// keep takes over what is on disk now.
func (a *Acceptor) keep(next *acceptorState) {
	known := a.state.Load()
	holds := !higher(known.promised, next.promised) && !higher(next.accepted, next.promised)
	invariant.Check(holds, invariant.PreparedMonotonic, next.promised, known.promised)
	a.state.Store(next)
}

func (a *Acceptor) savePromise(ballot *tierpb.ProposalNumber) error {
	return a.promises.SaveMessage(ballot)
}

func (a *Acceptor) saveValue(ballot *tierpb.ProposalNumber, value *tierpb.ControlState) error {
	return a.values.SaveMessage(&tierpb.AcceptRequest{Identity: a.identity, Proposal: ballot, Value: value})
}

// take waits for the acceptor's turn, unless too many wait already.
func (a *Acceptor) take() bool {
	if a.waiting.Add(1) > maxWaiting {
		a.waiting.Add(-1)
		return false
	}
	<-a.turn
	return true
}

func (a *Acceptor) give() {
	a.turn <- struct{}{}
	a.waiting.Add(-1)
}

// Serve registers the acceptor's calls.
func (a *Acceptor) Serve(server *rpc.Server) {
	rpc.Handle(server, rpc.MethodPrepare, func(_ context.Context, request *tierpb.PrepareRequest) (*tierpb.PrepareReply, error) {
		return a.Prepare(request), nil
	})
	rpc.Handle(server, rpc.MethodAccept, func(_ context.Context, request *tierpb.AcceptRequest) (*tierpb.AcceptReply, error) {
		return a.Accept(request), nil
	})
}
