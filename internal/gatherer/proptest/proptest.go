// Package proptest helps with property tests: fixed seeds, and for parsers random truncations of valid messages and random
// garbage.
package proptest

import (
	"flag"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// Seed makes rapid draw the same cases, as many as checks, each time, and write no files.
func Seed(tb testing.TB, checks int) {
	tb.Helper()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			tb.Fatal(err)
		}
	}
}

// CheckParser feeds parse each valid message, truncations and mutations of them, and garbage. Valid ones must be accepted;
// nothing may panic; and where every byte of a message is needed, no strict prefix may be accepted.
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
		_ = parse(append([]byte(cut), garbage...)) // it must not panic, whatever it returns
		_ = parse(garbage)
	})
}
