package register

import (
	"bytes"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Names of the series in an acceptor's folder.
const (
	identityFile = "identity"
	preparedFile = "promise" // the highest prepared proposal number, under the name that older builds gave it
	acceptedFile = "accepted"
	// completeFile holds the identity for which both preparedFile and acceptedFile have been written: if one of them is
	// missing, it was lost. Older builds neither write nor read this file.
	completeFile = "complete"
)

// OpenAcceptor reads the state of an acceptor from disk. If the disk is empty, the acceptor gets a new identity: with
// Bootstrap the one derived from its address, and the initial value; otherwise a unique one, and no value. If a file is
// corrupted, or one that this identity has written is missing, it gets a unique identity and no value even with Bootstrap.
// OpenAcceptor fails if the disk fails, or if a file passes its checksum but cannot be decoded.
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
		acceptor.hasMissingFiles(payload, complete)
	if err := acceptor.loadOrInitialize(options, identity, found, lost); err != nil {
		return nil, err
	}
	return acceptor, acceptor.writeMissingFiles(complete)
}

// loadOrInitialize loads the state from disk, or initializes the acceptor with a new identity if there is no state or some
// of it is lost.
func (a *Acceptor) loadOrInitialize(options AcceptorOptions, identity *storage.Series, found, lost bool) error {
	if payload, _ := identity.Newest(); found && !lost {
		return a.load(payload)
	}
	return a.initialize(options, identity, lost)
}

// hasMissingFiles reports whether a file that this identity has written is missing.
func (a *Acceptor) hasMissingFiles(identity []byte, complete *storage.Series) bool {
	written, found := complete.Newest()
	if !found || !bytes.Equal(written, identity) {
		return false
	}
	_, prepared := a.preparedSeries.Newest()
	_, accepted := a.acceptedSeries.Newest()
	return !prepared || !accepted
}

// writeMissingFiles writes preparedFile and acceptedFile if they do not exist yet, then saves the identity to completeFile to
// mark that both exist. From then on, preparedFile or acceptedFile was lost if it is missing.
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

// load decodes the state on disk.
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
		state.prepared = state.accepted // an accept implies a prepare and does not write preparedFile
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

// initialize clears the stored state and saves an identity. With Bootstrap, unless state was lost, it is the initial identity,
// which is derived from the address, and the acceptor accepts the initial value; otherwise it is a new unique identity, with no
// value. The identity is saved last, because the other files are ignored without it: an interrupted initialization starts
// over.
func (a *Acceptor) initialize(options AcceptorOptions, identity *storage.Series, lost bool) error {
	a.hasNewIdentity = true
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
