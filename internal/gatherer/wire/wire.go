// Package wire encodes and decodes the simulator's binary protocol. Every length in the input is checked before use.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// MaxFrame is the maximum length of a frame's body in bytes.
const MaxFrame = 256 << 20

// Frame is a batch of events whose body has not been decoded.
type Frame struct {
	Records int
	NowUs   uint64
	Body    []byte
}

// ReadFrame reads one batch. The body is read into buf, which is grown if needed and returned for reuse. If the input ends
// before a header, the error is io.EOF.
func ReadFrame(r io.Reader, buf []byte) (Frame, []byte, error) {
	var head [16]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Frame{}, buf, err
		}
		return Frame{}, buf, fmt.Errorf("batch header: %d of 16 bytes: %w", n, err)
	}
	size := binary.BigEndian.Uint32(head[0:])
	// The length excludes the 16 bytes of the header.
	if size > MaxFrame {
		return Frame{}, buf, fmt.Errorf("batch header: length %d is over %d", size, MaxFrame)
	}
	buf = buf[:0]
	for len(buf) < int(size) { // allocate as data arrives, so that a false length cannot exhaust memory
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

// Codes of events in a Frame.
const (
	codeOutcome            = 16
	codeFirst              = 17
	codeServerList         = 18
	codeContext            = 19
	codeHealthChecked      = 20
	codeCreate             = 21
	codeTimer              = 22
	codeQuery              = 23
	codeTargets            = 24
	codeClientDisconnected = 25
	codeMessage            = 26
	codeExit               = 27
)

// Context selects the instance that the following records belong to.
type Context struct{ Instance uint32 }

// Create creates an instance.
type Create struct {
	Seed    uint64
	Options []byte // the settings, encoded
}

// ServerEntry describes one server of a Sheet.
type ServerEntry struct {
	Server    uint32
	Zone      uint8
	Kind      uint16
	Cell      uint16
	State     uint8
	Nominal   float32
	StartedUs uint64
}

// Sheet is a server list; Targets refers to it by its Table number.
type Sheet struct {
	Table   uint32
	Entries []ServerEntry
}

// Targets announces an update of the server list: the Sheet with the same Table number.
type Targets struct {
	Kind          uint8
	Serial, Table uint32
}

// Query is a query, for which Share is the number of subqueries, or, if Shard is 0 or more, one subquery of it.
type Query struct {
	ID                   uint64
	Class                uint8
	Tenant               uint16
	Key                  uint64
	RemainingUs, WorkUs  uint32
	Number, Shard, Share float32
	Flags                uint16
}

// Outcome reports how an attempt ended.
type Outcome struct {
	ID        uint64
	Server    uint32
	Status    uint16
	LatencyUs uint32
	Attempt   uint8
	Last      bool
}

// HealthChecked reports the result of a health check.
type HealthChecked struct {
	Server    uint32
	Status    uint16
	LatencyUs uint32
}

// ClientDisconnected reports that the client of a query has disconnected.
type ClientDisconnected struct{ ID uint64 }

// Timer reports that a timer has expired.
type Timer struct{ Token uint64 }

// Exit removes the instance.
type Exit struct{}

// Other is an event whose contents are skipped.
type Other struct{ Code uint8 }

// decoder decodes fields from b, starting at offset at. After the first error, which is kept in err, it returns zeros.
type decoder struct {
	b   []byte
	at  int
	err error
}

// bytes returns the next n bytes, or after an error up to 8 zero bytes, enough for the largest number.
func (d *decoder) bytes(n int) []byte {
	if d.err != nil || n > len(d.b)-d.at {
		if d.err == nil {
			d.err = fmt.Errorf("needs %d bytes, %d are left", n, len(d.b)-d.at)
		}
		return make([]byte, min(n, 8))
	}
	d.at += n
	return d.b[d.at-n : d.at]
}
func (d *decoder) u8() uint8    { return d.bytes(1)[0] }
func (d *decoder) u16() uint16  { return binary.BigEndian.Uint16(d.bytes(2)) }
func (d *decoder) u32() uint32  { return binary.BigEndian.Uint32(d.bytes(4)) }
func (d *decoder) u64() uint64  { return binary.BigEndian.Uint64(d.bytes(8)) }
func (d *decoder) f32() float32 { return math.Float32frombits(d.u32()) }

// Each decodes the frame's records in order and calls do with each.
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

// entrySize is the encoded size of a ServerEntry in bytes.
const entrySize = 22

// record decodes one record.
func (d *decoder) record(code uint8) any {
	switch code {
	case codeOutcome:
		e := Outcome{d.u64(), d.u32(), d.u16(), d.u32(), d.u8(), d.u8() != 0}
		d.bytes(int(d.u8()) * 4)
		return e
	case codeFirst:
		d.bytes(17)
	case codeServerList:
		e := Sheet{Table: d.u32()}
		n := int(d.u32())
		if d.err == nil && n > (len(d.b)-d.at)/entrySize {
			d.err = fmt.Errorf("%d entries do not fit in %d bytes", n, len(d.b)-d.at)
			return nil
		}
		for range n {
			e.Entries = append(e.Entries, ServerEntry{d.u32(), d.u8(), d.u16(), d.u16(), d.u8(), d.f32(), d.u64()})
		}
		return e
	case codeContext:
		return Context{d.u32()}
	case codeHealthChecked:
		e := HealthChecked{d.u32(), d.u16(), d.u32()}
		d.bytes(int(d.u8()) * 4)
		return e
	case codeCreate:
		e := Create{Seed: d.u64()}
		e.Options = d.bytes(int(d.u32()))
		return e
	case codeTimer:
		return Timer{d.u64()}
	case codeQuery:
		return Query{d.u64(), d.u8(), d.u16(), d.u64(), d.u32(), d.u32(), d.f32(), d.f32(), d.f32(), d.u16()}
	case codeTargets:
		return Targets{d.u8(), d.u32(), d.u32()}
	case codeClientDisconnected:
		return ClientDisconnected{d.u64()}
	case codeMessage:
		d.u32()
		d.bytes(int(d.u16()))
	case codeExit:
		return Exit{}
	default:
		d.err = fmt.Errorf("unknown event code")
	}
	return Other{code}
}

// Reply encodes one reply frame.
type Reply struct{ b []byte }

// Reset discards the contents and reserves space for the length of the frame.
func (r *Reply) Reset() { r.b = append(r.b[:0], 0, 0, 0, 0) }

// Bytes fills in the length and returns the frame. It is valid until the next Reset.
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
func boolByte(b bool) uint8 {
	if b {
		return 1
	}
	return 0
}

// Speaking selects the instance that the following actions belong to.
func (r *Reply) Speaking(i uint32) { r.u8(25); r.u32(i) }

// Send starts an attempt.
func (r *Reply) Send(id uint64, limitUs, server uint32) {
	r.u8(17)
	r.u64(id)
	r.u32(limitUs)
	r.u32(server)
}

// Answer answers a query.
func (r *Reply) Answer(id uint64, complete bool) { r.u8(22); r.u64(id); r.u8(boolByte(complete)) }

// Reject rejects a query and tells its client when to retry.
func (r *Reply) Reject(id uint64, retryAfterUs uint32) { r.u8(26); r.u64(id); r.u32(retryAfterUs) }

// Fail fails a query, without a guarantee that it was not executed.
func (r *Reply) Fail(id uint64) { r.u8(18); r.u64(id) }

// Cancel stops waiting for an attempt.
func (r *Reply) Cancel(id uint64, attempt uint8) { r.u8(21); r.u64(id); r.u8(attempt) }

// HealthCheck starts a health check of a server.
func (r *Reply) HealthCheck(server uint32) { r.u8(29); r.u32(server) }

// CloseIdle closes the idle connections to a server.
func (r *Reply) CloseIdle(server uint32) { r.u8(20); r.u32(server) }

// Log logs a line.
func (r *Reply) Log(s string) { r.u8(19); r.text(s) }

// Panic reports a panic of the scheduler.
func (r *Reply) Panic(s string) { r.u8(28); r.text(s) }

// Timer asks for a timer event.
func (r *Reply) Timer(atUs, token uint64) { r.u8(16); r.u64(atUs); r.u64(token) }

// Watch subscribes to the server list, or unsubscribes if on is false.
func (r *Reply) Watch(on bool) { r.u8(24); r.u8(boolByte(on)) }
