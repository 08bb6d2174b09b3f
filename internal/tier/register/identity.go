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

// randomIdentityBit is set in every identity of NewIdentity and clear in every one of InitialIdentity, so that the two
// kinds never collide.
const randomIdentityBit = 1 << 63

// identityBytes is the length of an identity on disk, a big-endian number.
const identityBytes = 8

// InitialIdentity returns the identity of the coordinator with this internal address at the first start of the whole system.
func InitialIdentity(address string) uint64 {
	digest := sha256.Sum256([]byte(address))
	return binary.BigEndian.Uint64(digest[:])&^randomIdentityBit | 1
}

// NewIdentity returns a unique identity for the node with this internal address, whose disk was found empty.
func NewIdentity(address string) uint64 { return uniqueNumber(address) | randomIdentityBit }

// uniqueNumber returns a number that no other process gets, nor another incarnation of this one.
func uniqueNumber(owner string) uint64 {
	var random [16]byte
	_, _ = rand.Read(random[:]) // never fails
	return hashNumber(owner, time.Now(), random[:])
}

// hashNumber derives a number from its owner, the time and randomness together, because one of them alone may fail to
// differ: machines started from one image share a random seed, and a clock may be set back.
func hashNumber(owner string, at time.Time, random []byte) uint64 {
	text := binary.BigEndian.AppendUint64([]byte(owner), uint64(at.UnixNano()))
	digest := sha256.Sum256(append(text, random...))
	return binary.BigEndian.Uint64(digest[:])
}

// InitialState returns the value of the register at the first start of the whole system: version 0, with the coordinators
// at the seed addresses as voters. All coordinators compute the same one, whatever the order of the seeds.
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
	if len(payload) != identityBytes {
		return 0, eris.Errorf("identity file of %d bytes, expected %d", len(payload), identityBytes)
	}
	return binary.BigEndian.Uint64(payload), nil
}
