package turnstore

import (
	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// identitySeries is the name of the versioned file of the store's identity, a tierpb.Node.
const identitySeries = "identity"

// Identity returns the identity of this store's disk. Calls for another identity are rejected.
func (s *Store) Identity() uint64 { return s.identity }

// loadIdentity reads the identity. If there is none, or if the disk is damaged, it draws a new one and saves it.
func (s *Store) loadIdentity(damaged bool) error {
	series, err := storage.Open(s.options.Disk, s.options.Folder, identitySeries, s.options.Failpoints)
	if err != nil {
		return err
	}
	if payload, found := series.Newest(); found && !damaged && !series.Corrupted() {
		node := &tierpb.Node{}
		if err := node.UnmarshalVT(payload); err == nil && node.Identity != 0 {
			s.identity = node.Identity
			return nil
		}
	}
	s.identity = s.options.NewIdentity()
	payload, err := (&tierpb.Node{Identity: s.identity}).MarshalVT()
	if err != nil {
		return err
	}
	return series.Save(payload)
}
