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

// randomIdentityBit is set in every identity that NewIdentity returns and clear in every one that InitialIdentity
// returns, so that the two kinds never collide.
const randomIdentityBit = 1 << 63

// identityBytes is the length of an identity on disk, encoded in big-endian byte order.
const identityBytes = 8

// InitialIdentity returns the identity that the coordinator with this internal address has at the first start of the cluster.
func InitialIdentity(address string) uint64 {
	digest := sha256.Sum256([]byte(address))
	return binary.BigEndian.Uint64(digest[:])&^randomIdentityBit | 1
}

// NewIdentity returns a new unique identity for the node with this internal address, whose state on disk is missing or
// lost.
func NewIdentity(address string) uint64 { return uniqueID(address) | randomIdentityBit }

// uniqueID returns an ID that no other process, and no other incarnation of this one, ever gets.
func uniqueID(owner string) uint64 {
	var random [16]byte
	_, _ = rand.Read(random[:]) // never fails
	return hashID(owner, time.Now(), random[:])
}

// hashID derives an ID from the owner, the time and random bytes. Each of them alone may repeat: machines that start from
// one image may share a random seed, and a clock may be set back.
func hashID(owner string, at time.Time, random []byte) uint64 {
	text := binary.BigEndian.AppendUint64([]byte(owner), uint64(at.UnixNano()))
	digest := sha256.Sum256(append(text, random...))
	return binary.BigEndian.Uint64(digest[:])
}

// InitialState returns the value of the register at the first start of the cluster: version 0, with the coordinators
// at the seed addresses as voters. The order of the seeds does not matter, so all coordinators compute the same value.
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
		return 0, eris.Errorf("identity file has %d bytes, expected %d", len(payload), identityBytes)
	}
	return binary.BigEndian.Uint64(payload), nil
}
