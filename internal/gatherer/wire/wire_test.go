package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

// example is the batch given as an example in the protocol's specification.
const example = "00000046" + "00000005" + "0000000000805c5a" +
	"1300000003" + "170007f5b55d3a91c400000091f03b7c55d20a640003a98000002ee043560000000000003e0000000001" +
	"16000000000000004d" + "1300000005" + "19000231a00e6f2b19"

func unhex(tb testing.TB, s string) []byte {
	tb.Helper()
	b, err := hex.DecodeString(s)
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

func decode(b []byte) (events []any, err error) {
	f, _, err := ReadFrame(bytes.NewReader(b), nil)
	if err != nil {
		return nil, err
	}
	err = f.Each(func(e any) error { events = append(events, e); return nil })
	return events, err
}

func TestExample(t *testing.T) {
	got, err := decode(unhex(t, example))
	if err != nil {
		t.Fatal(err)
	}
	want := []any{Context{3}, Query{ID: 0x7f5b55d3a91c4, Key: 0x91f03b7c55d20a64, RemainingUs: 240000, WorkUs: 12000,
		Number: 214, Share: 0.125, Flags: 1}, Timer{77}, Context{5}, ClientDisconnected{0x231a00e6f2b19}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v\nwant %v", got, want)
	}
}

func TestEmptyAndEnd(t *testing.T) {
	if ev, err := decode(unhex(t, "00000000000000000000000000805c5a")); err != nil || len(ev) != 0 {
		t.Errorf("empty batch: %v, %v", ev, err)
	}
	if _, err := decode(nil); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: %v, want io.EOF", err)
	}
}

// Each malformed frame is rejected with an error that names the part at fault.
func TestMalformed(t *testing.T) {
	for name, c := range map[string]struct{ frame, want string }{
		"cut header":     {"0000", "batch header"},
		"cut body":       {"00000005" + "00000001" + "0000000000000000" + "1300", "batch body"},
		"too long":       {"ffffffff" + "00000001" + "0000000000000000", "length"},
		"unknown code":   {"00000001" + "00000001" + "0000000000000000" + "63", "unknown event code"},
		"cut record":     {"00000002" + "00000001" + "0000000000000000" + "1300", "needs 4 bytes"},
		"bytes left":     {"00000006" + "00000001" + "0000000000000000" + "130000000300", "after the last record"},
		"too many":       {"00000005" + "00000002" + "0000000000000000" + "1300000003", "the body ends"},
		"entries claim":  {"00000009" + "00000001" + "0000000000000000" + "1200000000ffffffff", "do not fit"},
		"settings claim": {"0000000d" + "00000001" + "0000000000000000" + "150000000000000000ffffffff", "needs"},
	} {
		if _, err := decode(unhex(t, c.frame)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %q", name, err, c.want)
		}
	}
}

func TestReply(t *testing.T) {
	var r Reply
	r.Reset()
	r.Speaking(3)
	r.Send(0x7f5b55d3a91c4, 80000, 0x03124a07)
	r.Timer(0x87fd7a, 77)
	r.Speaking(5)
	r.Log("two servers known")
	want := "00000040" + "1900000003" + "110007f5b55d3a91c40001388003124a07" + "10000000000087fd7a000000000000004d" +
		"1900000005" + "13001174776f2073657276657273206b6e6f776e"
	if got := hex.EncodeToString(r.Bytes()); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// No input makes the decoder panic or allocate without bound.
func FuzzDecode(f *testing.F) {
	f.Add(unhex(f, example))
	f.Add(unhex(f, "00000009"+"00000001"+"0000000000000000"+"1200000000ffffffff"))
	f.Fuzz(func(t *testing.T, b []byte) { _, _ = decode(b) })
}
