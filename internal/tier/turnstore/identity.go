package turnstore

import (
	"pulleygw.example/pulleygw/internal/tier/metrics"
	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// identitySeries is the name of the versioned file with the store's identity, a tierpb.Node.
const identitySeries = "identity"

var newIdentities = metrics.NewCounter("turn_store_new_identities_total",
	"Starts of this turn store under a new identity: its disk was empty or had lost synced data.")

// Identity returns the identity of this store's disk. Calls for another identity are rejected.
func (s *Store) Identity() uint64 { return s.identity }

// HasNewIdentity returns whether Open generated a new identity because the disk was empty or had lost synced data.
func (s *Store) HasNewIdentity() bool { return s.hasNewIdentity }

// PreviousIdentity returns the identity that a new one has replaced. It returns 0 if the identity is unchanged or the disk
// had none.
func (s *Store) PreviousIdentity() uint64 { return s.previousIdentity }

// loadIdentity reads the identity. If there is none, or if the disk is damaged, it generates a new one and saves it.
func (s *Store) loadIdentity(damaged bool) error {
	series, err := storage.Open(s.options.Disk, s.options.Folder, identitySeries, s.options.Failpoints)
	if err != nil {
		return err
	}
	if payload, found := series.Newest(); found {
		node := &tierpb.Node{}
		if err := node.UnmarshalVT(payload); err == nil {
			s.identity = node.Identity
		}
	}
	if s.identity != 0 && !damaged && !series.Corrupted() {
		return nil
	}
	s.previousIdentity, s.hasNewIdentity = s.identity, true
	s.identity = s.options.NewIdentity()
	newIdentities.Inc()
	payload, err := (&tierpb.Node{Identity: s.identity}).MarshalVT()
	if err != nil {
		return err
	}
	return series.Save(payload)
}
