package main

import (
	"bytes"
	"strings"
	"testing"
)

// An empty batch gets an empty reply, and the end of input ends the host.
func TestServeEmpty(t *testing.T) {
	var out bytes.Buffer
	if err := serve(bytes.NewReader(make([]byte, 16)), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(out.Bytes(), make([]byte, 4)) {
		t.Errorf("reply %x", out.Bytes())
	}
}

// Malformed input ends the host with one plain line that names the batch.
func TestServeMalformed(t *testing.T) {
	for _, in := range []string{"\x00\x00", strings.Repeat("\xff", 16),
		"\x00\x00\x00\x10\x00\x00\x00\x01" + strings.Repeat("\x00", 8) + "\x15" + strings.Repeat("\x00", 11) + "\x03{no"} {
		err := serve(strings.NewReader(in), &bytes.Buffer{})
		if err == nil || !strings.HasPrefix(err.Error(), "batch 0: ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v", in, err)
		}
	}
}

// A panic inside the decisions becomes the wire's own Panic action.
func TestPanicIsReported(t *testing.T) {
	h := &host{}
	h.reply.Reset()
	h.step(3, &instance{}, 0) // no scheduler: the step panics
	b := h.reply.Bytes()
	if len(b) < 10 || b[4] != 25 || b[9] != 28 {
		t.Errorf("reply %x, want Speaking and Panic", b)
	}
}
