// Package wire is the codec of the simulator's binary dialect: frames and records, with
// every length checked. It decides nothing.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
)

// MaxFrame bounds what a frame may claim to hold.
const MaxFrame = 256 << 20

// Frame is one batch of events, its body still encoded.
type Frame struct {
	Records int
	NowUs   uint64
	Body    []byte
}

// ReadFrame reads one batch. At a clean end of input the error is io.EOF.
func ReadFrame(r io.Reader, buf []byte) (Frame, []byte, error) {
	var head [16]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if err == io.EOF {
			return Frame{}, buf, err
		}
		return Frame{}, buf, fmt.Errorf("batch header: %d of 16 bytes: %w", n, err)
	}
	size := binary.BigEndian.Uint32(head[0:])
	// The length counts what follows the whole header.
	if size > MaxFrame {
		return Frame{}, buf, fmt.Errorf("batch header: length %d is over %d", size, MaxFrame)
	}
	buf = buf[:0]
	for len(buf) < int(size) { // grow with what really comes, not with what is claimed
		n := min(int(size)-len(buf), 1<<20)
		at := len(buf)
		buf = append(buf, make([]byte, n)...)
		if got, err := io.ReadFull(r, buf[at:]); err != nil {
			return Frame{}, buf, fmt.Errorf("batch body: %d of %d bytes: %w", at+got, size, err)
		}
	}
	f := Frame{Records: int(binary.BigEndian.Uint32(head[4:])), NowUs: binary.BigEndian.Uint64(head[8:]), Body: buf}
	return f, buf, nil
}

// Event codes.
const (
	codeOutcome = 16
	codeFirst   = 17
	codeSheet   = 18
	codeContext = 19
	codeProbed  = 20
	codeCreate  = 21
	codeTimer   = 22
	codeQuery   = 23
	codeTargets = 24
	codeGone    = 25
	codeHeard   = 26
	codeExit    = 27
)

// The events of the wire, in its own words.
type (
	Context struct{ Instance uint32 }
	Create  struct {
		Seed    uint64
		Options []byte
	}
	Entry struct {
		Server    uint32
		Zone      uint8
		Kind      uint16
		Cell      uint16
		State     uint8
		Nominal   float32
		StartedUs uint64
	}
	Sheet struct {
		Table   uint32
		Entries []Entry
	}
	Targets struct {
		Kind          uint8
		Serial, Table uint32
	}
	Query struct {
		ID                   uint64
		Class                uint8
		Tenant               uint16
		Key                  uint64
		LeftUs, WorkUs       uint32
		Number, Shard, Share float32
		Flags                uint16
	}
	Outcome struct {
		ID      uint64
		Server  uint32
		Status  uint16
		TookUs  uint32
		Attempt uint8
		Last    bool
	}
	Probed struct {
		Server uint32
		Status uint16
		TookUs uint32
	}
	Gone  struct{ ID uint64 }
	Timer struct{ Token uint64 }
	Exit  struct{}
	// Other is an event that this project has no use for.
	Other struct{ Code uint8 }
)

// decoder reads fields; the first error sticks.
type decoder struct {
	b   []byte
	at  int
	err error
}

func (d *decoder) take(n int) []byte {
	if d.err != nil || n > len(d.b)-d.at {
		if d.err == nil {
			d.err = fmt.Errorf("needs %d bytes, %d are left", n, len(d.b)-d.at)
		}
		return make([]byte, min(n, 8))
	}
	d.at += n
	return d.b[d.at-n : d.at]
}
func (d *decoder) u8() uint8    { return d.take(1)[0] }
func (d *decoder) u16() uint16  { return binary.BigEndian.Uint16(d.take(2)) }
func (d *decoder) u32() uint32  { return binary.BigEndian.Uint32(d.take(4)) }
func (d *decoder) u64() uint64  { return binary.BigEndian.Uint64(d.take(8)) }
func (d *decoder) f32() float32 { return math.Float32frombits(d.u32()) }

// Each decodes the frame's records in order and hands them to do.
func (f Frame) Each(do func(event any) error) error {
	d := &decoder{b: f.Body}
	for i := range f.Records {
		start := d.at
		if start >= len(f.Body) {
			return fmt.Errorf("record %d of %d at byte %d: the body ends", i, f.Records, start)
		}
		code := d.u8()
		e := d.record(code)
		if d.err != nil {
			return fmt.Errorf("record %d (code %d) at byte %d: %w", i, code, start, d.err)
		}
		if err := do(e); err != nil {
			return fmt.Errorf("record %d (code %d) at byte %d: %w", i, code, start, err)
		}
	}
	if d.at != len(f.Body) {
		return fmt.Errorf("body: %d bytes after the last record", len(f.Body)-d.at)
	}
	return nil
}

const entrySize = 22

func (d *decoder) record(code uint8) any {
	switch code {
	case codeOutcome:
		e := Outcome{d.u64(), d.u32(), d.u16(), d.u32(), d.u8(), d.u8() != 0}
		d.take(int(d.u8()) * 4)
		return e
	case codeFirst:
		d.take(17)
	case codeSheet:
		e := Sheet{Table: d.u32()}
		n := int(d.u32())
		if d.err == nil && n > (len(d.b)-d.at)/entrySize {
			d.err = fmt.Errorf("%d entries do not fit in %d bytes", n, len(d.b)-d.at)
			return nil
		}
		for range n {
			e.Entries = append(e.Entries, Entry{d.u32(), d.u8(), d.u16(), d.u16(), d.u8(), d.f32(), d.u64()})
		}
		return e
	case codeContext:
		return Context{d.u32()}
	case codeProbed:
		e := Probed{d.u32(), d.u16(), d.u32()}
		d.take(int(d.u8()) * 4)
		return e
	case codeCreate:
		e := Create{Seed: d.u64()}
		e.Options = d.take(int(d.u32()))
		return e
	case codeTimer:
		return Timer{d.u64()}
	case codeQuery:
		return Query{d.u64(), d.u8(), d.u16(), d.u64(), d.u32(), d.u32(), d.f32(), d.f32(), d.f32(), d.u16()}
	case codeTargets:
		return Targets{d.u8(), d.u32(), d.u32()}
	case codeGone:
		return Gone{d.u64()}
	case codeHeard:
		d.u32()
		d.take(int(d.u16()))
	case codeExit:
		return Exit{}
	default:
		d.err = fmt.Errorf("unknown event code")
	}
	return Other{code}
}

// Reply builds one reply frame.
type Reply struct{ b []byte }

// Reset empties the reply.
func (r *Reply) Reset() { r.b = append(r.b[:0], 0, 0, 0, 0) }

// Bytes returns the finished frame.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.b, uint32(len(r.b)-4))
	return r.b
}

func (r *Reply) u8(x uint8)   { r.b = append(r.b, x) }
func (r *Reply) u32(x uint32) { r.b = binary.BigEndian.AppendUint32(r.b, x) }
func (r *Reply) u64(x uint64) { r.b = binary.BigEndian.AppendUint64(r.b, x) }
func (r *Reply) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.b = binary.BigEndian.AppendUint16(r.b, uint16(len(s)))
	r.b = append(r.b, s...)
}
func flag(b bool) uint8 {
	if b {
		return 1
	}
	return 0
}

// The actions of the wire.

// Speaking sets the instance for the actions after it.
func (r *Reply) Speaking(i uint32) { r.u8(25); r.u32(i) }

// Send launches an attempt.
func (r *Reply) Send(id uint64, limitUs, server uint32) {
	r.u8(17)
	r.u64(id)
	r.u32(limitUs)
	r.u32(server)
}

// Answer answers a query.
func (r *Reply) Answer(id uint64, full bool) { r.u8(22); r.u64(id); r.u8(flag(full)) }

// Refuse ends a query and says when to come back.
func (r *Reply) Refuse(id uint64, backUs uint32) { r.u8(26); r.u64(id); r.u32(backUs) }

// Fail ends a query without a promise.
func (r *Reply) Fail(id uint64) { r.u8(18); r.u64(id) }

// Cancel stops waiting for an attempt.
func (r *Reply) Cancel(id uint64, attempt uint8) { r.u8(21); r.u64(id); r.u8(attempt) }

// Probe health-checks a server.
func (r *Reply) Probe(server uint32) { r.u8(29); r.u32(server) }

// CloseIdle closes the idle connections to a server.
func (r *Reply) CloseIdle(server uint32) { r.u8(20); r.u32(server) }

// Log leaves a line.
func (r *Reply) Log(s string) { r.u8(19); r.text(s) }

// Panic reports that the decisions broke.
func (r *Reply) Panic(s string) { r.u8(28); r.text(s) }

// Timer asks for a timer event.
func (r *Reply) Timer(atUs, token uint64) { r.u8(16); r.u64(atUs); r.u64(token) }

// Watch subscribes to the list.
func (r *Reply) Watch(on bool) { r.u8(24); r.u8(flag(on)) }
