package pages

import (
	"encoding/base64"
	"errors"
	"maps"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pulleygw.example/pulleygw/internal/gatherer/proptest"
)

var now = time.Unix(1_790_000_000, 0)

func keys(tb testing.TB, names ...string) *Keys {
	tb.Helper()
	var list [][]byte
	for _, n := range names {
		list = append(list, []byte(strings.Repeat(n, 32)))
	}
	k, err := NewKeys(list...)
	if err != nil {
		tb.Fatal(err)
	}
	return k
}

func pin(ranges int) *Pin {
	p := &Pin{Index: "lots", Ends: now.Add(time.Minute), Ranges: ranges, Versions: map[int]int64{}}
	for r := range ranges {
		if r%7 != 3 {
			p.Versions[r] = 1_000_000 + int64(r*7919%5000)
		}
	}
	return p
}

// A token decodes to what was pinned, and is short enough for any client to carry.
func TestTokens(t *testing.T) {
	proptest.Seed(t, 300)
	k := keys(t, "a")
	rapid.Check(t, func(t *rapid.T) {
		p := &Pin{Index: rapid.StringN(0, 20, 60).Draw(t, "index"), Ends: now.Add(time.Hour), Ranges: rapid.IntRange(0, 300).Draw(t, "ranges")}
		p.Versions = map[int]int64{}
		if p.Ranges > 0 {
			p.Versions = rapid.MapOfN(rapid.IntRange(0, p.Ranges-1), rapid.Int64(), 0, p.Ranges).Draw(t, "versions")
		}
		got, err := k.Open(k.Seal(p), p.Index, now)
		if err != nil || got.Index != p.Index || !got.Ends.Equal(p.Ends) || got.Ranges != p.Ranges || !maps.Equal(got.Versions, p.Versions) {
			t.Fatalf("%+v %v, want %+v", got, err, p)
		}
		if len(got.Absent()) != p.Ranges-len(p.Versions) {
			t.Fatal(got.Absent())
		}
	})
	if n := len(k.Seal(pin(200))); n > 700 {
		t.Errorf("%d characters for 200 ranges", n)
	}
}

// Each fault of a token has its own error; tokens outlive a change of the first key.
func TestInvalidTokens(t *testing.T) {
	old := keys(t, "a").Seal(pin(24))
	forged, _ := base64.RawURLEncoding.DecodeString(old)
	forged[12] ^= 1
	for name, c := range map[string]struct {
		keys  *Keys
		token string
		index string
		at    time.Time
		want  error
	}{
		"good":                    {keys(t, "a"), old, "lots", now, nil},
		"of a key that was first": {keys(t, "b", "a"), old, "lots", now, nil},
		"of a key taken out":      {keys(t, "b"), old, "lots", now, ErrUnknownKey},
		"expired":                 {keys(t, "a"), old, "lots", now.Add(time.Minute), ErrExpired},
		"of another index":        {keys(t, "a"), old, "bids", now, ErrIndex},
		"cut":                     {keys(t, "a"), old[:len(old)-4], "lots", now, ErrForged},
		"cut short":               {keys(t, "a"), old[:8], "lots", now, ErrMalformed},
		"forged":                  {keys(t, "a"), base64.RawURLEncoding.EncodeToString(forged), "lots", now, ErrForged},
		"empty":                   {keys(t, "a"), "", "lots", now, ErrMalformed},
		"huge":                    {keys(t, "a"), strings.Repeat("A", MaxToken+1), "lots", now, ErrMalformed},
	} {
		if _, err := c.keys.Open(c.token, c.index, c.at); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}

// Invalid keys are rejected without revealing them.
func TestKeys(t *testing.T) {
	good := strings.Repeat("0f", 32)
	if _, err := ParseKeys([]byte("# signs\n" + good + "\n\n" + strings.Repeat("1e", 16) + "\n")); err != nil {
		t.Error(err)
	}
	for text, want := range map[string]string{"": "0 keys", "xyz": "line 1", "0f0f": "2 bytes", good + "\n" + good: "twice"} {
		if _, err := ParseKeys([]byte(text)); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), good) {
			t.Errorf("%.10q: %v, want %q", text, err, want)
		}
	}
}

func open(b []byte) error {
	k, err := NewKeys([]byte(strings.Repeat("k", 32)))
	if err != nil {
		panic(err)
	}
	if _, err = k.Open(string(b), "lots", now); err != nil {
		return err
	}
	return nil
}

// Truncated and corrupt tokens are rejected, also behind a valid signature.
func TestGarbage(t *testing.T) {
	k := keys(t, "k")
	proptest.CheckParser(t, true, open, k.Seal(pin(24)))
	proptest.CheckParser(t, false, func(b []byte) error { decode(b); return nil }, k.Seal(pin(24)))
}

func FuzzToken(f *testing.F) {
	f.Add([]byte("token"))
	f.Fuzz(func(_ *testing.T, b []byte) { _ = open(b); decode(b) })
}

// Versions compare as they are reported.
func TestCompare(t *testing.T) {
	for _, c := range []struct {
		version int64
		told    bool
		want    Relation
	}{{7, true, Same}, {8, true, Ahead}, {6, true, Behind}, {7, false, Unknown}} {
		if got := Compare(7, c.version, c.told); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
