package register

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// drawnIdentity is set in identities that were drawn and not in those that follow from an address.
const drawnIdentity = 1 << 63

// InitialIdentity is the identity of the coordinator with this inner address at the first start of the whole system.
func InitialIdentity(address string) uint64 {
	digest := sha256.Sum256([]byte(address))
	return binary.BigEndian.Uint64(digest[:])&^drawnIdentity | 1
}

// DrawIdentity draws an identity for a node whose disk was found empty.
func DrawIdentity() uint64 {
	var drawn [8]byte
	_, _ = rand.Read(drawn[:]) // never fails
	return binary.BigEndian.Uint64(drawn[:]) | drawnIdentity
}

// InitialState is the value that the register has at the first start, known to all without talk: version 0, and
// the coordinators that the seeds name as voters.
func InitialState(seeds []string) *tierpb.ControlState {
	addresses := slices.Clone(seeds)
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	set := &tierpb.VoterSet{}
	for _, address := range addresses {
		set.Nodes = append(set.Nodes, &tierpb.Node{
			Address:  address,
			Role:     tierpb.Role_ROLE_COORDINATOR,
			Identity: InitialIdentity(address),
		})
	}
	return &tierpb.ControlState{Epoch: 1, Voters: []*tierpb.VoterSet{set}}
}

func encodeIdentity(identity uint64) []byte { return binary.BigEndian.AppendUint64(nil, identity) }

func decodeIdentity(payload []byte) (uint64, error) {
	if len(payload) != 8 {
		return 0, eris.New("identity file of the wrong length")
	}
	return binary.BigEndian.Uint64(payload), nil
}
