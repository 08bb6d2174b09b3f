// Package frames speaks the lot stores' frames: a length of four bytes, least significant first, one
// letter, and the rest.
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

// The letters of the frames.
const (
	letterCall   = 'A'
	letterGiveUp = 'B'
	letterProbe  = 'C'
	letterEnd    = 'E'
	letterBad    = 'F'
)

const (
	headSize = 5
	maxFrame = mem.BufferSize // of an answer: a value of 64 KiB and its line
)

// errMalformed is what a peer sent that cannot be read: its stream is of no further use.
var errMalformed = errors.New("malformed frame")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformed, fmt.Sprintf(format, args...))
}

// readFrame reads one frame and hands it to use, for which alone the rest is valid. What its first bytes
// show to be no frame is refused with the rest unread, whatever length it claims.
func readFrame(r *bufio.Reader, use func(letter byte, rest []byte) error) error {
	head, err := r.Peek(headSize)
	if err != nil {
		return err
	}
	n, letter := binary.LittleEndian.Uint32(head), head[headSize-1]
	switch {
	case n < 1 || n > maxFrame:
		return malformed("length %d", n)
	case letter != letterEnd && letter != letterProbe && letter != letterBad:
		return malformed("letter %q", letter)
	}
	size := headSize - 1 + int(n)
	if size <= r.Size() { // nearly all: no buffer of its own is needed
		b, err := r.Peek(size)
		if err != nil {
			return err
		}
		err = use(letter, b[headSize:])
		r.Discard(size)
		return err
	}
	buf := mem.GetBuffer()
	defer mem.PutBuffer(buf)
	r.Discard(headSize)
	if _, err := io.ReadFull(r, buf[:n-1]); err != nil {
		return err
	}
	return use(letter, buf[:n-1])
}

// end is what an E frame tells of one part.
type end struct {
	id, how string
	score   *float64 // nil for none that can be read
	value   []byte
}

// parseEnd reads the rest of an E frame: the line ID END SCORE REPORT, and the value. A score or a report that cannot
// be read does not spoil the answer: whoever needs the score sees that there is none.
func parseEnd(rest []byte) (end, error) {
	line, value, ok := bytes.Cut(rest, []byte{'\n'})
	fields := bytes.SplitN(line, []byte{' '}, 4)
	if !ok || len(fields) != 4 || len(fields[0]) == 0 {
		return end{}, malformed("E with the line %.80q", line)
	}
	switch string(fields[1]) {
	case "hit", "fault", "overload":
	default:
		return end{}, malformed("E with the end %.20q", fields[1])
	}
	e := end{id: string(fields[0]), how: string(fields[1]), value: value}
	if score, err := strconv.ParseFloat(string(fields[2]), 64); err == nil && !math.IsNaN(score) && !math.IsInf(score, 0) {
		e.score = &score
	}
	return e, nil
}

// appendFrame appends a frame whose rest is given.
func appendFrame(b []byte, letter byte, rest string) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(1+len(rest)))
	return append(append(b, letter), rest...)
}

// loadMark ends the id of a part of a second step.
const loadMark = ".load"

// partID is a part's name on this wire.
func partID(a *gather.Attempt) string {
	id := a.Query + "." + strconv.Itoa(a.Shard)
	if a.Load != nil {
		id += loadMark
	}
	return id
}

// partLine is what goes before a part's text in a call.
func partLine(a *gather.Attempt, waitMs int64) string {
	list := "d=" + strconv.FormatInt(max(waitMs, 1), 10)
	if a.Key != "" {
		list += ",k=" + a.Key
	}
	if a.Load != nil {
		list += "," + loadList(a.Load)
	}
	return fmt.Sprintf("%s %d %s %d\n", partID(a), a.Shard, list, len(a.Text))
}

// loadList is what a part of a second step tells of the first.
func loadList(l *gather.Load) string {
	from := make([]string, len(l.From))
	for i, shard := range l.From {
		from[i] = strconv.Itoa(shard)
	}
	whole := 0
	if l.FirstComplete {
		whole = 1
	}
	return fmt.Sprintf("from=%s,whole=%d", strings.Join(from, "+"), whole)
}

// writeCall writes one call. Large ones go out in pieces, as buffers have one size.
func writeCall(w io.Writer, lines []string, attempts []*gather.Attempt) error {
	n := 1
	for i, a := range attempts {
		n += len(lines[i]) + len(a.Text)
	}
	buf := mem.GetBuffer()
	defer mem.PutBuffer(buf)
	out := binary.LittleEndian.AppendUint32(buf[:0], uint32(n))
	out = append(out, letterCall)
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
