package turnstore

import (
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// membershipSeries is the name of the versioned file with the newest membership, a tierpb.StoreMembership.
const membershipSeries = "membership"

var errWrongIdentity = eris.New("request is for another store identity")

// Membership returns the newest known membership, nil if there is none, and a channel that is closed when it changes.
func (s *Store) Membership() (*tierpb.StoreMembership, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.membership, s.changed
}

// UpdateControl applies a control state. If its membership is newer, calls of older epochs are rejected from then on.
func (s *Store) UpdateControl(control *tierpb.ControlState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controlVersion = max(s.controlVersion, control.GetVersion())
	if !isNewer(control.GetStores(), s.membership) {
		return
	}
	s.membership = control.Stores
	close(s.changed)
	s.changed = make(chan struct{})
}

// isNewer returns whether a received membership is newer than the known one. The end of a rebalance drops the previous
// members without changing the epoch, so in the same epoch the membership without previous members is the newer one.
func isNewer(received, known *tierpb.StoreMembership) bool {
	if received.GetEpoch() != known.GetEpoch() {
		return received.GetEpoch() > known.GetEpoch()
	}
	return len(received.GetPrevious()) == 0 && len(known.GetPrevious()) > 0
}

// checkHeader checks the identity and the epoch of a call and returns the header of its reply. The call may be served only
// if that header has status STORE_OK. The only error is errWrongIdentity. The caller holds s.mu.
func (s *Store) checkHeader(request *tierpb.StoreRequestHeader) (*tierpb.StoreReplyHeader, error) {
	if request.GetIdentity() != s.identity {
		return nil, errWrongIdentity
	}
	epoch := s.membership.GetEpoch()
	switch {
	case request.GetEpoch() < epoch:
		return &tierpb.StoreReplyHeader{
			Status:         tierpb.StoreStatus_STORE_STALE_EPOCH,
			Membership:     s.membership,
			ControlVersion: s.controlVersion,
		}, nil
	case request.GetEpoch() > epoch:
		if s.options.OnNewerMembership != nil {
			s.options.OnNewerMembership()
		}
		return &tierpb.StoreReplyHeader{Status: tierpb.StoreStatus_STORE_BEHIND}, nil
	}
	return &tierpb.StoreReplyHeader{}, nil
}

// loadMembership reads the newest membership that was saved.
func (s *Store) loadMembership() error {
	series, err := storage.Open(s.options.Disk, s.options.Folder, membershipSeries, s.options.Failpoints)
	if err != nil {
		return err
	}
	s.membershipFile = series
	payload, found := series.Newest()
	if !found {
		return nil
	}
	membership := &tierpb.StoreMembership{}
	if err := membership.UnmarshalVT(payload); err != nil {
		return eris.Wrap(err, "decode the saved membership")
	}
	s.membership = membership
	return nil
}

// saveMembership makes a membership durable. This must precede the report of its rebalance: a store that has reported and
// then restarts with an older membership would accept calls of an older epoch.
func (s *Store) saveMembership(membership *tierpb.StoreMembership) error {
	payload, err := membership.MarshalVT()
	if err != nil {
		return err
	}
	if err := s.membershipFile.Save(payload); err != nil {
		s.options.Log.Warn("cannot save membership", "epoch", membership.Epoch, "error", err)
		return err
	}
	return s.options.Failpoints.At(pointMembershipSaved)
}
