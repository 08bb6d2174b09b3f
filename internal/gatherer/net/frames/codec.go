// Package frames is the transport to lot stores that speak frames: a length of four bytes, least significant first, one
// byte for the type of the message, and its payload. A connection carries several calls and their outcomes at once.
//
// Create a Transport with New, name its Reporter with Start, then use it as a gather.Transport.
package frames

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
)

// The message types.
const (
	messageCall        = 'A'
	messageCancel      = 'B'
	messageHealthCheck = 'C'
	messageOutcome     = 'E'
	messageError       = 'F'
)

const (
	headerSize = 5
	maxFrame   = mem.BufferSize // bytes of an outcome: a value of 64 KiB and its header line
)

// errMalformed is a message that cannot be parsed. Its connection cannot be used any further.
var errMalformed = errors.New("malformed frame")

// malformed returns an errMalformed with details.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformed, fmt.Sprintf(format, args...))
}

// readFrame reads one frame and passes it to use. The payload is valid only until use returns. What is no frame by its
// first bytes is an error with the rest unread, whatever length it claims.
func readFrame(r *bufio.Reader, use func(message byte, payload []byte) error) error {
	head, err := r.Peek(headerSize)
	if err != nil {
		return err
	}
	n, message := binary.LittleEndian.Uint32(head), head[headerSize-1]
	switch {
	case n < 1 || n > maxFrame:
		return malformed("length %d", n)
	case message != messageOutcome && message != messageHealthCheck && message != messageError:
		return malformed("letter %q", message)
	}
	size := headerSize - 1 + int(n)
	if size <= r.Size() { // nearly all frames: no separate buffer is needed
		b, err := r.Peek(size)
		if err != nil {
			return err
		}
		err = use(message, b[headerSize:])
		_, _ = r.Discard(size) // it is buffered
		return err
	}
	buf := mem.GetBuffer()
	defer mem.PutBuffer(buf)
	_, _ = r.Discard(headerSize) // it is buffered
	if _, err := io.ReadFull(r, buf[:n-1]); err != nil {
		return err
	}
	return use(message, buf[:n-1])
}

// outcome is the payload of an outcome message.
type outcome struct {
	id, status string
	score      *float64 // nil for none or an unreadable one
	value      []byte
}

// parseOutcome parses the payload of an outcome: the line ID STATUS SCORE REPORT, and the value. An unreadable score or
// report does not invalidate the answer: who needs the score sees that there is none.
func parseOutcome(payload []byte) (outcome, error) {
	line, value, ok := bytes.Cut(payload, []byte{'\n'})
	fields := bytes.SplitN(line, []byte{' '}, 4)
	if !ok || len(fields) != 4 || len(fields[0]) == 0 {
		return outcome{}, malformed("E with the line %.80q", line)
	}
	switch string(fields[1]) {
	case "hit", "fault", "overload":
	default:
		return outcome{}, malformed("E with the end %.20q", fields[1])
	}
	e := outcome{id: string(fields[0]), status: string(fields[1]), value: value}
	if score, err := strconv.ParseFloat(string(fields[2]), 64); err == nil && !math.IsNaN(score) && !math.IsInf(score, 0) {
		e.score = &score
	}
	return e, nil
}

// appendFrame appends a frame.
func appendFrame(b []byte, message byte, payload string) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(1+len(payload)))
	return append(append(b, message), payload...)
}

// secondStepSuffix ends the id of a subquery of a second step.
const secondStepSuffix = ".load"

// subqueryID is the id of a subquery on this wire.
func subqueryID(a *gather.Attempt) string {
	id := a.Query + "." + strconv.Itoa(a.Shard)
	if a.FirstStep != nil {
		id += secondStepSuffix
	}
	return id
}

// subqueryHeader is the line before a subquery's text in a call.
func subqueryHeader(a *gather.Attempt, waitMs int64) string {
	list := "d=" + strconv.FormatInt(max(waitMs, 1), 10)
	if a.Key != "" {
		list += ",k=" + a.Key
	}
	if a.FirstStep != nil {
		list += "," + firstStepFields(a.FirstStep)
	}
	return fmt.Sprintf("%s %d %s %d\n", subqueryID(a), a.Shard, list, len(a.Text))
}

// firstStepFields are the fields of a second step that describe the first.
func firstStepFields(s *gather.FirstStep) string {
	from := make([]string, len(s.From))
	for i, shard := range s.From {
		from[i] = strconv.Itoa(shard)
	}
	complete := 0
	if s.Complete {
		complete = 1
	}
	return fmt.Sprintf("from=%s,whole=%d", strings.Join(from, "+"), complete)
}

// writeCall writes one call. A large one is written in pieces, as buffers have one size.
func writeCall(w io.Writer, lines []string, attempts []*gather.Attempt) error {
	n := 1
	for i, a := range attempts {
		n += len(lines[i]) + len(a.Text)
	}
	buf := mem.GetBuffer()
	defer mem.PutBuffer(buf)
	out := binary.LittleEndian.AppendUint32(buf[:0], uint32(n))
	out = append(out, messageCall)
	put := func(s []byte) error {
		if len(out)+len(s) > len(buf) {
			if _, err := w.Write(out); err != nil {
				return err
			}
			out = buf[:0]
		}
		out = append(out, s...)
		return nil
	}
	for i, a := range attempts {
		if err := put([]byte(lines[i])); err != nil {
			return err
		}
		if err := put(a.Text); err != nil {
			return err
		}
	}
	_, err := w.Write(out)
	return err
}
