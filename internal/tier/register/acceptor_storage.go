package register

import (
	"bytes"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Names of the series of an acceptor's folder.
const (
	identityFile = "identity"
	preparedFile = "promise" // the highest prepared proposal number, under the name that older builds gave it
	acceptedFile = "accepted"
	// completeFile holds the identity for which the files of the prepared proposal number and of the accepted value have
	// been written, so that their absence is a loss. Older builds do not write it and ignore it.
	completeFile = "complete"
)

// OpenAcceptor reads the state of an acceptor. On an empty disk it gets a new identity: with Bootstrap the one that
// follows from its address, and the initial value; otherwise a unique one, without a value. The same holds, without
// Bootstrap, where a file is damaged or missing. The error is that of the disk, or of a file that passes
// its checksum and cannot be decoded.
func OpenAcceptor(options AcceptorOptions) (*Acceptor, error) {
	if err := options.Disk.MkdirAll(options.Folder); err != nil {
		return nil, eris.Wrap(err, "acceptor")
	}
	acceptor := &Acceptor{failpoints: options.Failpoints, semaphore: make(chan struct{}, 1)}
	acceptor.semaphore <- struct{}{}
	var identity, complete *storage.Series
	for name, series := range map[string]**storage.Series{
		identityFile: &identity, preparedFile: &acceptor.preparedSeries,
		acceptedFile: &acceptor.acceptedSeries, completeFile: &complete,
	} {
		opened, err := storage.Open(options.Disk, options.Folder, name, options.Failpoints)
		if err != nil {
			return nil, err
		}
		*series = opened
	}
	payload, found := identity.Newest()
	lost := identity.Corrupted() || acceptor.preparedSeries.Corrupted() || acceptor.acceptedSeries.Corrupted() ||
		acceptor.isMissingFiles(payload, complete)
	if err := acceptor.loadOrInitialize(options, identity, found, lost); err != nil {
		return nil, err
	}
	return acceptor, acceptor.writeMissingFiles(complete)
}

// loadOrInitialize loads the state that was found, or initializes a new identity where there is none or some of it is
// lost.
func (a *Acceptor) loadOrInitialize(options AcceptorOptions, identity *storage.Series, found, lost bool) error {
	if payload, _ := identity.Newest(); found && !lost {
		return a.load(payload)
	}
	return a.initialize(options, identity, lost)
}

// isMissingFiles reports whether a file is missing that this identity has written.
func (a *Acceptor) isMissingFiles(identity []byte, complete *storage.Series) bool {
	written, found := complete.Newest()
	if !found || !bytes.Equal(written, identity) {
		return false
	}
	_, prepared := a.preparedSeries.Newest()
	_, accepted := a.acceptedSeries.Newest()
	return !prepared || !accepted
}

// writeMissingFiles writes those of both files that were never needed yet, then records that they exist: from then on a
// missing file is a lost one.
func (a *Acceptor) writeMissingFiles(complete *storage.Series) error {
	identity := encodeIdentity(a.identity)
	if written, found := complete.Newest(); found && bytes.Equal(written, identity) {
		return nil
	}
	state := a.state.Load()
	if _, accepted := a.acceptedSeries.Newest(); !accepted {
		if err := a.saveAccepted(state.accepted, state.value); err != nil {
			return err
		}
	}
	if _, prepared := a.preparedSeries.Newest(); !prepared {
		if err := a.savePrepared(state.prepared); err != nil {
			return err
		}
	}
	return complete.Save(identity)
}

// load decodes the state that was found.
func (a *Acceptor) load(identity []byte) error {
	var err error
	if a.identity, err = decodeIdentity(identity); err != nil {
		return err
	}
	state := &acceptorState{prepared: &tierpb.ProposalNumber{}, accepted: &tierpb.ProposalNumber{}}
	if payload, found := a.acceptedSeries.Newest(); found {
		stored := &tierpb.AcceptRequest{}
		if err := stored.UnmarshalVT(payload); err != nil {
			return eris.Wrap(err, "decode the accepted value")
		}
		if stored.Proposal != nil {
			state.accepted = stored.Proposal
		}
		state.value = stored.Value
		state.prepared = state.accepted // an accept is a prepare, too, and does not write the other file
	}
	if payload, found := a.preparedSeries.Newest(); found {
		prepared := &tierpb.ProposalNumber{}
		if err := prepared.UnmarshalVT(payload); err != nil {
			return eris.Wrap(err, "decode the prepared proposal number")
		}
		if isHigher(prepared, state.prepared) {
			state.prepared = prepared
		}
	}
	a.state.Store(state)
	return nil
}

// initialize gives the acceptor a new identity. The identity is saved last: without it nothing else on disk counts.
func (a *Acceptor) initialize(options AcceptorOptions, identity *storage.Series, lost bool) error {
	a.fresh = true
	for _, series := range []*storage.Series{identity, a.preparedSeries, a.acceptedSeries} {
		if err := series.Clear(); err != nil {
			return eris.Wrap(err, "acceptor")
		}
	}
	state := &acceptorState{prepared: &tierpb.ProposalNumber{}, accepted: &tierpb.ProposalNumber{}}
	a.identity = NewIdentity(options.Address)
	if options.Bootstrap && !lost {
		a.identity = InitialIdentity(options.Address)
		state.value = InitialState(options.Seeds)
		if err := a.saveAccepted(state.accepted, state.value); err != nil {
			return err
		}
	}
	if err := a.failpoints.At(failpoint.IdentityUnsaved); err != nil {
		return err
	}
	a.state.Store(state)
	return identity.Save(encodeIdentity(a.identity))
}

func (a *Acceptor) savePrepared(number *tierpb.ProposalNumber) error {
	return a.preparedSeries.SaveMessage(number)
}

func (a *Acceptor) saveAccepted(number *tierpb.ProposalNumber, value *tierpb.ControlState) error {
	return a.acceptedSeries.SaveMessage(&tierpb.AcceptRequest{Identity: a.identity, Proposal: number, Value: value})
}
