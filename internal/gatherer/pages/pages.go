// Package pages makes the pages of a search stable: a point in time pins the ranges that answered and their versions. The
// client carries it as a signed token, and later answers are compared with it. The package does no I/O and has no clock.
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

// Pin is the content of a point in time.
type Pin struct {
	Index    string
	Ends     time.Time     // when it expires, to the second
	Ranges   int           // number of ranges of the index
	Versions map[int]int64 // by range, of those that are pinned
}

// Absent returns the ranges that are not pinned: they are excluded from the pages.
func (p *Pin) Absent() (list []int) {
	for r := range p.Ranges {
		if _, in := p.Versions[r]; !in {
			list = append(list, r)
		}
	}
	return list
}

// The errors of an invalid token.
var (
	ErrMalformed  = errors.New("the token is cut or was not made by a gatherer")
	ErrUnknownKey = errors.New("the token was signed by a key that is not known here")
	ErrForged     = errors.New("the token does not bear its signature")
	ErrExpired    = errors.New("the token's time is over")
	ErrIndex      = errors.New("the token is of another index")
)

// Keys sign and verify tokens. The first one signs and all verify, so that tokens of earlier keys stay valid behind a new
// first key.
type Keys struct{ list []signer }

type signer struct {
	name [4]byte // identifies the key without revealing it
	key  []byte
}

// Limits of tokens and keys.
const (
	MaxKeys      = 16
	MinKey       = 16      // bytes
	MaxToken     = 8 << 10 // characters
	maxRanges    = 1 << 16
	signature    = 16 // bytes of the truncated HMAC-SHA-256
	tokenVersion = 1  // the first byte of a token
)

// NewKeys returns a set of keys. The first one signs.
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

// ParseKeys parses keys in hexadecimal, one per line, the one that signs first. Blank lines and those that begin with # are
// ignored.
func ParseKeys(text []byte) (*Keys, error) {
	var keys [][]byte
	for n, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		key, err := hex.DecodeString(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: not a key in hex digits", n+1) // without the line itself, which is secret
		}
		keys = append(keys, key)
	}
	return NewKeys(keys...)
}

// sign returns the signature of b.
func (s *signer) sign(b []byte) []byte {
	h := hmac.New(sha256.New, s.key)
	_, _ = h.Write(b) // a hash does not fail
	return h.Sum(nil)[:signature]
}

// Seal encodes a pin as a signed token: its ranges as a bitmap and their versions as differences from the least, some 450
// bytes for 200 ranges. The content is not secret, but only a holder of the key can make a token.
func (k *Keys) Seal(p *Pin) string {
	b := append([]byte{tokenVersion}, k.list[0].name[:]...)
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

// Open verifies and decodes a token, for an index or for any if that is empty.
func (k *Keys) Open(token, index string, now time.Time) (*Pin, error) {
	if len(token) > MaxToken {
		return nil, ErrMalformed
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(b) < 1+4+signature || b[0] != tokenVersion {
		return nil, ErrMalformed
	}
	i := slices.IndexFunc(k.list, func(s signer) bool { return bytes.Equal(s.name[:], b[1:5]) })
	if i < 0 {
		return nil, ErrUnknownKey
	}
	body, sum := b[:len(b)-signature], b[len(b)-signature:]
	if !hmac.Equal(sum, k.list[i].sign(body)) {
		return nil, ErrForged
	}
	p, ok := decode(body[5:])
	switch {
	case !ok: // though signed by a key of ours
		return nil, ErrMalformed
	case !now.Before(p.Ends):
		return nil, ErrExpired
	case index != "" && p.Index != index:
		return nil, ErrIndex
	}
	return p, nil
}

// decode decodes the content of a token.
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

// Relation is the relation of an answer of a range to the pinned version.
type Relation uint8

// The relations.
const (
	Same    Relation = iota // of the pinned version
	Ahead                   // the range has changed, and its lots may have other ranks
	Behind                  // this replica lags; another may not
	Unknown                 // the answer has no version
)

// Compare compares the version of an answer with the pinned one. Known says whether the answer has a version.
func Compare(pinned, version int64, known bool) Relation {
	switch {
	case !known:
		return Unknown
	case version == pinned:
		return Same
	case version > pinned:
		return Ahead
	}
	return Behind
}
