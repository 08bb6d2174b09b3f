// Package proptest is the test helper for property tests: fixed seeds, and for parsers random cuts of valid messages and
// random garbage.
package proptest

import (
	"flag"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// Seed has rapid draw the same so many cases each time, and leave no files behind.
func Seed(t testing.TB, checks int) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// CheckParser feeds parse each valid message, cuts and mutations of them, and garbage. Valid ones must be taken;
// nothing may panic; and where every byte of a message is needed, no strict prefix may be taken.
func CheckParser(t *testing.T, allNeeded bool, parse func([]byte) error, valid ...string) {
	t.Helper()
	Seed(t, 300)
	for _, v := range valid {
		if err := parse([]byte(v)); err != nil {
			t.Fatalf("valid message %q: %v", v, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		v := rapid.SampledFrom(valid).Draw(t, "message")
		cut := v[:rapid.IntRange(0, len(v)-1).Draw(t, "cut")]
		if err := parse([]byte(cut)); err == nil && allNeeded {
			t.Fatalf("took the prefix %q", cut)
		}
		garbage := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "garbage")
		parse(append([]byte(cut), garbage...))
		parse(garbage)
	})
}
