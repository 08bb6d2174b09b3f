// Package pages makes the pages of one search hold still: a point in time pins which ranges were in and at which
// version, travels with the client as a signed token, and says of each later answer whether it is of the same data.
// It does no input or output and keeps no clock.
package pages

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Pin is what a point in time holds still.
type Pin struct {
	Index    string
	Ends     time.Time // to the second
	Ranges   int       // there were
	Versions map[int]int64
}

// Absent are the ranges that were not in: they stay out of the search's pages.
func (p *Pin) Absent() (list []int) {
	for r := range p.Ranges {
		if _, in := p.Versions[r]; !in {
			list = append(list, r)
		}
	}
	return list
}

// Why a token is refused.
var (
	ErrForm    = errors.New("the token is cut or was not made by a gatherer")
	ErrKey     = errors.New("the token was signed by a key that is not known here")
	ErrForged  = errors.New("the token does not bear its signature")
	ErrExpired = errors.New("the token's time is over")
	ErrIndex   = errors.New("the token is of another index")
)

// Keys sign and verify tokens. The first signs and all verify, so that a new first key leaves the tokens of those behind
// it good.
type Keys struct{ list []signer }

type signer struct {
	name [4]byte // leads to the key, and tells nothing of it
	key  []byte
}

// Limits of tokens and keys.
const (
	MaxKeys   = 16
	MinKey    = 16      // bytes
	MaxToken  = 8 << 10 // characters
	maxRanges = 1 << 16
	signature = 16 // bytes of the HMAC-SHA-256 that are kept
	form      = 1  // the first byte of a token
)

// NewKeys takes keys, the one that signs first.
func NewKeys(keys ...[]byte) (*Keys, error) {
	k := &Keys{}
	if len(keys) == 0 || len(keys) > MaxKeys {
		return nil, fmt.Errorf("%d keys, want 1 to %d", len(keys), MaxKeys)
	}
	for i, key := range keys {
		if len(key) < MinKey {
			return nil, fmt.Errorf("key %d has %d bytes, want %d at least", i+1, len(key), MinKey)
		}
		s := signer{key: slices.Clone(key)}
		sum := sha256.Sum256(append([]byte("pulleygw token key\n"), key...))
		copy(s.name[:], sum[:])
		if slices.ContainsFunc(k.list, func(o signer) bool { return o.name == s.name }) {
			return nil, fmt.Errorf("key %d stands twice", i+1)
		}
		k.list = append(k.list, s)
	}
	return k, nil
}

// ParseKeys reads keys as hex digits, one a line, the one that signs first. Blank lines and those that begin with # are
// passed over.
func ParseKeys(text []byte) (*Keys, error) {
	var keys [][]byte
	for n, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		key, err := hex.DecodeString(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: not a key in hex digits", n+1) // never the line itself
		}
		keys = append(keys, key)
	}
	return NewKeys(keys...)
}

func (s *signer) sign(b []byte) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write(b)
	return h.Sum(nil)[:signature]
}

// Seal encodes a pin as a token: its ranges as a bitmap and their versions as steps from the least, some 450 bytes at 200
// ranges. What it holds is no secret; that nobody else made it is what the signature says.
func (k *Keys) Seal(p *Pin) string {
	b := append([]byte{form}, k.list[0].name[:]...)
	b = binary.AppendUvarint(b, uint64(max(p.Ends.Unix(), 0)))
	b = binary.AppendUvarint(b, uint64(len(p.Index)))
	b = append(b, p.Index...)
	b = binary.AppendUvarint(b, uint64(p.Ranges))
	bits, least := make([]byte, (p.Ranges+7)/8), int64(math.MaxInt64)
	for r, v := range p.Versions {
		bits[r/8] |= 1 << (r % 8)
		least = min(least, v)
	}
	b = binary.AppendVarint(append(b, bits...), least)
	for r := range p.Ranges {
		if v, in := p.Versions[r]; in {
			b = binary.AppendUvarint(b, uint64(v-least))
		}
	}
	return base64.RawURLEncoding.EncodeToString(append(b, k.list[0].sign(b)...))
}

// Open reads a token, for an index or for any where that is empty.
func (k *Keys) Open(token, index string, now time.Time) (*Pin, error) {
	if len(token) > MaxToken {
		return nil, ErrForm
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(b) < 1+4+signature || b[0] != form {
		return nil, ErrForm
	}
	i := slices.IndexFunc(k.list, func(s signer) bool { return bytes.Equal(s.name[:], b[1:5]) })
	if i < 0 {
		return nil, ErrKey
	}
	body, sum := b[:len(b)-signature], b[len(b)-signature:]
	if !hmac.Equal(sum, k.list[i].sign(body)) {
		return nil, ErrForged
	}
	p, ok := decode(body[5:])
	switch {
	case !ok: // signed by a key of ours, and yet
		return nil, ErrForm
	case !now.Before(p.Ends):
		return nil, ErrExpired
	case index != "" && p.Index != index:
		return nil, ErrIndex
	}
	return p, nil
}

func decode(b []byte) (*Pin, bool) {
	ok := true
	next := func() uint64 {
		x, n := binary.Uvarint(b)
		if n <= 0 {
			ok = false
			return 0
		}
		b = b[n:]
		return x
	}
	take := func(n uint64) []byte {
		if !ok || n > uint64(len(b)) {
			ok = false
			return nil
		}
		x := b[:n]
		b = b[n:]
		return x
	}
	p := &Pin{Ends: time.Unix(int64(min(next(), math.MaxInt32*1000)), 0), Versions: map[int]int64{}}
	p.Index = string(take(next()))
	ranges := next()
	if ranges > maxRanges {
		return nil, false
	}
	p.Ranges = int(ranges)
	bits := take((ranges + 7) / 8)
	least, n := binary.Varint(b)
	if !ok || n <= 0 {
		return nil, false
	}
	b = b[n:]
	for r := range p.Ranges {
		if bits[r/8]&(1<<(r%8)) != 0 {
			p.Versions[r] = least + int64(next())
		}
	}
	return p, ok && len(b) == 0
}

// Standing says how a later answer of a range stands to what a pin has of it.
type Standing uint8

// The standings.
const (
	Same    Standing = iota // of the pinned version
	Ahead                   // the range has changed: its lots may have other ranks now
	Behind                  // this copy has not caught up; another may have
	Unknown                 // it does not say
)

// Stands says how an answer stands: told is whether it names a version at all.
func Stands(pinned, version int64, told bool) Standing {
	switch {
	case !told:
		return Unknown
	case version == pinned:
		return Same
	case version > pinned:
		return Ahead
	}
	return Behind
}
