// Package record keeps what became of every request and attempt: entries in files of a folder, appended, rotated and
// bounded. Whoever writes an entry never waits; what finds no room is dropped and counted, and the count is itself an
// entry, so that a reader knows what it does not know.
package record

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Kind says what an entry tells.
type Kind uint8

// The kinds.
const (
	Arrived  Kind = iota + 1 // a request came, and what its route decided
	Released                 // one that waited was let in or given up
	Attempt                  // an attempt has ended
	Final                    // a request has its final answer, or its client left
	Dropped                  // so many entries before this one found no room
	Started                  // a process began: numbers of requests begin again
)

// Steps of an attempt past the first one's 0.
const (
	ListingStep = 1 // a search's listings: attempts of both steps count together
	LoadStep    = 2 // a class's own second step
)

// Entry is one thing that happened. Times are Unix times in microseconds, by one clock that never goes back.
type Entry struct {
	Kind    Kind   `msgpack:"k"`
	At      int64  `msgpack:"t"`
	Request uint64 `msgpack:"r,omitempty"`
	Route   string `msgpack:"o,omitempty"`
	Class   string `msgpack:"c,omitempty"`

	// Of a request: what was decided, why, and the limits in force for it.
	Verdict string   `msgpack:"v,omitempty"` // admit, wait, refuse; of a Final answered, refused, failed, left
	Why     string   `msgpack:"w,omitempty"`
	In      *InForce `msgpack:"i,omitempty"`

	// Of an attempt.
	Shard  int    `msgpack:"p,omitempty"`
	Step   int    `msgpack:"s,omitempty"` // 0, ListingStep or LoadStep
	Number int    `msgpack:"n,omitempty"`
	Store  uint32 `msgpack:"d,omitempty"`
	Sent   int64  `msgpack:"b,omitempty"` // when it was handed over; At is its end
	Ran    bool   `msgpack:"m,omitempty"` // it may have run
	Status string `msgpack:"e,omitempty"`

	Count uint64 `msgpack:"x,omitempty"` // of Dropped
}

// InForce are the limits that a request came under; times in microseconds, 0 for no limit.
type InForce struct {
	Attempts       int     `msgpack:"a"`
	Timeout        int64   `msgpack:"g"`
	Window         int64   `msgpack:"w,omitempty"` // of a keyed class
	Hedging        bool    `msgpack:"c,omitempty"` // a part may have two attempts out at once
	MaxConcurrency int     `msgpack:"m,omitempty"`
	PerSecond      float64 `msgpack:"r,omitempty"`
	Burst          int     `msgpack:"b,omitempty"`
	Ratio          float64 `msgpack:"s,omitempty"` // of the route's repeats
	Free           float64 `msgpack:"f,omitempty"`
	Span           int64   `msgpack:"p,omitempty"`
}

// Config says where and how much is kept.
type Config struct {
	Dir      string
	FileSize int64 // bytes of a file, after which the next is begun
	Files    int   // kept; the oldest goes first
	Ring     int   // entries that may wait for the writer
	// Open makes a file; nil for os.OpenFile, appending.
	Open func(path string) (io.WriteCloser, error)
	Log  *slog.Logger // nil for none
}

// Bounds of an entry's text.
const maxEntry = 16 << 10

var table = crc32.MakeTable(crc32.Castagnoli)

// Writer writes entries. Record may be called from any goroutine and never waits.
type Writer struct {
	c       Config
	ring    chan Entry
	dropped atomic.Uint64
	total   atomic.Uint64
	quit    chan struct{}
	done    chan struct{}
}

// Open begins to write behind what the folder has.
func Open(c Config) (*Writer, error) {
	if c.FileSize < maxEntry || c.Files < 1 || c.Ring < 1 {
		return nil, fmt.Errorf("record: a file of %d bytes, %d files and room for %d entries: want %d, 1 and 1 at least", c.FileSize, c.Files, c.Ring, maxEntry)
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("record: make the folder: %w", err)
	}
	if c.Open == nil {
		c.Open = func(path string) (io.WriteCloser, error) {
			return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		}
	}
	w := &Writer{c: c, ring: make(chan Entry, c.Ring), quit: make(chan struct{}), done: make(chan struct{})}
	names, err := files(c.Dir)
	if err != nil {
		return nil, err
	}
	next := 1
	if len(names) > 0 {
		fmt.Sscanf(filepath.Base(names[len(names)-1]), "record-%d", &next)
		next++ // never behind what may be a torn end
	}
	w.Record(Entry{Kind: Started, At: time.Now().UnixMicro()})
	go w.run(next)
	return w, nil
}

// Record hands an entry to the writer, or drops it where that is behind.
func (w *Writer) Record(e Entry) {
	w.total.Add(1)
	select {
	case w.ring <- e:
	default:
		w.dropped.Add(1)
	}
}

// Counts tells how many entries were handed over, and how many of them were dropped.
func (w *Writer) Counts() (total, dropped uint64) { return w.total.Load(), w.dropped.Load() }

// Close writes what waits, and ends.
func (w *Writer) Close() {
	close(w.quit)
	<-w.done
}

// file is the one that is being written.
type file struct {
	f    io.WriteCloser
	b    *bufio.Writer
	size int64
}

func (w *Writer) run(next int) {
	defer close(w.done)
	var out *file
	var told uint64
	var encoder Encoder
	failing := false
	timer := time.NewTimer(flushEvery)
	defer timer.Stop()
	fail := func(err error) { // a full disk: what is lost is counted, and the next file is tried a moment later
		if !failing && w.c.Log != nil {
			w.c.Log.Warn("record drops entries", "reason", err)
		}
		failing = true
		if out != nil {
			out.f.Close()
			out = nil
			next++
		}
	}
	write := func(e Entry) {
		if out == nil {
			f, err := w.c.Open(filepath.Join(w.c.Dir, fmt.Sprintf("record-%09d", next)))
			if err != nil {
				w.dropped.Add(1)
				fail(err)
				return
			}
			out = &file{f: f, b: bufio.NewWriterSize(f, 64<<10)}
			w.prune()
		}
		n, err := encoder.Append(out.b, &e)
		if out.size += int64(n); err != nil {
			w.dropped.Add(1)
			fail(err)
			return
		}
		if out.size >= w.c.FileSize {
			if err := errors.Join(out.b.Flush(), out.f.Close()); err != nil {
				fail(err)
			}
			out = nil
			next++
		}
	}
	one := func(e Entry) {
		if d := w.dropped.Load(); d > told && !failing {
			write(Entry{Kind: Dropped, At: e.At, Count: d - told})
			told = d
		}
		write(e)
	}
	flush := func() {
		failing = false // by the next moment the disk may have room
		if out != nil {
			if err := out.b.Flush(); err != nil {
				fail(err)
			}
		}
	}
	for {
		select {
		case e := <-w.ring:
			one(e)
		case <-timer.C:
			flush()
			timer.Reset(flushEvery)
		case <-w.quit:
			for len(w.ring) > 0 {
				one(<-w.ring)
			}
			flush()
			if out != nil {
				out.f.Close()
			}
			return
		}
	}
}

// flushEvery is how long an entry stays in memory at the most: a crash loses so much of the record.
const flushEvery = 200 * time.Millisecond

// prune drops the oldest files.
func (w *Writer) prune() {
	names, err := files(w.c.Dir)
	if err != nil {
		return
	}
	for len(names) > w.c.Files {
		os.Remove(names[0])
		names = names[1:]
	}
}

func files(dir string) ([]string, error) {
	names, err := filepath.Glob(filepath.Join(dir, "record-*"))
	if err != nil {
		return nil, fmt.Errorf("record: list the folder: %w", err)
	}
	slices.Sort(names)
	return names, nil
}

// Encoder formats entries, each in the memory of the one before. The zero Encoder is ready.
type Encoder struct {
	b   bytes.Buffer
	enc *msgpack.Encoder
}

// Append writes an entry: its length and checksum, four bytes each, least significant first, and its text.
func (x *Encoder) Append(w io.Writer, e *Entry) (int, error) {
	if x.enc == nil {
		x.enc = msgpack.NewEncoder(&x.b)
		x.enc.UseArrayEncodedStructs(true) // names in each entry would be half of it
	}
	x.b.Reset()
	x.b.Write(make([]byte, 8))
	if err := x.enc.Encode(e); err != nil {
		return 0, fmt.Errorf("format an entry: %w", err)
	}
	b := x.b.Bytes()
	text := b[8:]
	if len(text) > maxEntry {
		return 0, fmt.Errorf("an entry of %d bytes, at most %d are written", len(text), maxEntry)
	}
	binary.LittleEndian.PutUint32(b, uint32(len(text)))
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(text, table))
	return w.Write(b)
}

// Read hands each entry of a folder's files to f, the oldest first, and says how many files end torn: what stands behind
// a torn place of a file is passed over.
func Read(dir string, f func(Entry) error) (torn int, err error) {
	names, err := files(dir)
	if err != nil {
		return 0, err
	}
	if len(names) == 0 {
		return 0, fmt.Errorf("record: no files in %s", dir)
	}
	for _, name := range names {
		in, err := os.Open(name)
		if err != nil {
			return torn, fmt.Errorf("record: %w", err)
		}
		good, _, err := Decode(in, f)
		in.Close()
		if err != nil {
			return torn, fmt.Errorf("%s: %w", name, err)
		}
		if !good {
			torn++
		}
	}
	return torn, nil
}

// Decode hands each entry of a text to f; false where the text ends torn. read is the bytes of whole entries. An error
// is f's.
func Decode(in io.Reader, f func(Entry) error) (good bool, read int64, err error) {
	r := bufio.NewReader(in)
	var head [8]byte
	for {
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return err == io.EOF, read, nil
		}
		n := binary.LittleEndian.Uint32(head[:4])
		if n > maxEntry {
			return false, read, nil
		}
		text := make([]byte, n)
		if _, err := io.ReadFull(r, text); err != nil || crc32.Checksum(text, table) != binary.LittleEndian.Uint32(head[4:]) {
			return false, read, nil
		}
		var e Entry
		if msgpack.Unmarshal(text, &e) != nil {
			return false, read, nil
		}
		read += 8 + int64(n)
		if err := f(e); err != nil {
			return false, read, err
		}
	}
}

// Tail reads a folder's entries as they come.
type Tail struct {
	Dir  string
	name string
	at   int64
}

// Next hands the entries that are new since the last call to f. An end that is torn is perhaps still being written, and
// is tried again until a later file is there.
func (t *Tail) Next(f func(Entry) error) error {
	names, err := files(t.Dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if name < t.name {
			continue
		}
		if name > t.name {
			t.name, t.at = name, 0
		}
		in, err := os.Open(name)
		if errors.Is(err, os.ErrNotExist) {
			continue // it was the oldest, and has gone since
		}
		if err != nil {
			return fmt.Errorf("record: %w", err)
		}
		_, err = in.Seek(t.at, io.SeekStart)
		if err == nil {
			var read int64
			_, read, err = Decode(in, f)
			t.at += read
		}
		in.Close()
		if err != nil {
			return err
		}
	}
	return nil
}
