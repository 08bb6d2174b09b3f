package register

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

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

// NewIdentity draws an identity for the node with this inner address whose disk was found empty.
func NewIdentity(address string) uint64 { return draw(address) | drawnIdentity }

// draw returns a number that no other process draws, nor another life of this one.
func draw(owner string) uint64 {
	var random [16]byte
	_, _ = rand.Read(random[:]) // never fails
	return mix(owner, time.Now(), random[:])
}

// mix makes a number of whose it is, the time and randomness, so that one of these may fail: machines that start from
// one image, a clock that was set back.
func mix(owner string, at time.Time, random []byte) uint64 {
	text := binary.BigEndian.AppendUint64([]byte(owner), uint64(at.UnixNano()))
	digest := sha256.Sum256(append(text, random...))
	return binary.BigEndian.Uint64(digest[:])
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
