// Package record keeps a log of the fate of every request and attempt: entries in the files of a folder, appended,
// rotated and bounded in size. Record never blocks its caller. Entries beyond its buffer are dropped and counted, and the
// count is itself an entry, so that a reader knows what is missing.
//
// An entry is its length and its checksum (CRC-32C), four bytes each, least significant first, and a MessagePack array.
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

// Kind is the kind of an entry.
type Kind uint8

// The kinds.
const (
	Arrived  Kind = iota + 1 // a request arrived, and what its route decided
	Released                 // a queued request was admitted or rejected
	Attempt                  // an attempt has ended
	Final                    // a request has its final answer, or its client has disconnected
	Dropped                  // so many entries before this one were dropped
	Started                  // a process started: numbers of requests start again
)

// The steps of an attempt beyond the first, which is 0.
const (
	ListingStep = 1 // the listings of a search: attempts of both steps count together
	LoadStep    = 2 // a plain second step
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
	Sent   int64  `msgpack:"b,omitempty"` // when it was handed to the transport; At is its end
	Ran    bool   `msgpack:"m,omitempty"` // it may have run
	Status string `msgpack:"e,omitempty"`

	Count uint64 `msgpack:"x,omitempty"` // of Dropped
}

// InForce are the limits in force for a request. Times are in microseconds; 0 is no limit. The names in JSON are those that
// the log command has always printed.
type InForce struct {
	Attempts       int     `msgpack:"a"`
	Timeout        int64   `msgpack:"g" json:"GiveUp"`
	Window         int64   `msgpack:"w,omitempty"`               // deduplication window
	Hedging        bool    `msgpack:"c,omitempty" json:"Copies"` // a subquery may have two attempts in flight
	MaxConcurrency int     `msgpack:"m,omitempty" json:"Most"`
	PerSecond      float64 `msgpack:"r,omitempty"`
	Burst          int     `msgpack:"b,omitempty"`
	Ratio          float64 `msgpack:"s,omitempty" json:"Share"` // of the route's retry budget
	Free           float64 `msgpack:"f,omitempty"`
	Span           int64   `msgpack:"p,omitempty"`
}

// Config configures a Writer.
type Config struct {
	Dir      string
	FileSize int64 // bytes of a file, after which the next is started
	Files    int   // number of files kept; the oldest is removed first
	Ring     int   // entries that may be queued for the writer
	// Open creates a file; nil for os.OpenFile, appending.
	Open func(path string) (io.WriteCloser, error)
	Log  *slog.Logger // nil for none
}

// maxEntry bounds the bytes of an entry.
const maxEntry = 16 << 10

var table = crc32.MakeTable(crc32.Castagnoli)

// Writer writes entries. Record may be called from any goroutine and never blocks.
type Writer struct {
	c       Config
	ring    chan Entry
	dropped atomic.Uint64
	total   atomic.Uint64
	quit    chan struct{}
	done    chan struct{}
}

// Open starts a Writer, in a new file behind those that the folder has.
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
		// A name without a number leaves next at 1.
		_, _ = fmt.Sscanf(filepath.Base(names[len(names)-1]), "record-%d", &next)
		next++ // never behind what may be a torn end
	}
	w.Record(Entry{Kind: Started, At: time.Now().UnixMicro()})
	go w.run(next)
	return w, nil
}

// Record passes an entry to the writer, or drops it if the queue is full.
func (w *Writer) Record(e Entry) {
	w.total.Add(1)
	select {
	case w.ring <- e:
	default:
		w.dropped.Add(1)
	}
}

// Counts returns how many entries were recorded, and how many of them were dropped.
func (w *Writer) Counts() (total, dropped uint64) { return w.total.Load(), w.dropped.Load() }

// Close writes what is queued and stops the writer.
func (w *Writer) Close() {
	close(w.quit)
	<-w.done
}

// file is the file being written.
type file struct {
	f    io.WriteCloser
	b    *bufio.Writer
	size int64
}

// appender appends entries to the files of a folder. Only the writer's goroutine uses it.
type appender struct {
	*Writer
	out      *file // nil until the next entry
	next     int   // number of the next file, or of out
	reported uint64
	failing  bool // since the last flush
	encoder  Encoder
}

// run writes entries until Close.
func (w *Writer) run(next int) {
	defer close(w.done)
	a := &appender{Writer: w, next: next}
	timer := time.NewTimer(flushEvery)
	defer timer.Stop()
	for {
		select {
		case e := <-w.ring:
			a.append(e)
		case <-timer.C:
			a.flush()
			timer.Reset(flushEvery)
		case <-w.quit:
			for len(w.ring) > 0 {
				a.append(<-w.ring)
			}
			a.flush()
			if a.out != nil {
				a.closeFile()
			}
			return
		}
	}
}

// append writes an entry, behind one that counts those dropped before it.
func (a *appender) append(e Entry) {
	if d := a.dropped.Load(); d > a.reported && !a.failing {
		a.write(Entry{Kind: Dropped, At: e.At, Count: d - a.reported})
		a.reported = d
	}
	a.write(e)
}

// write writes one entry and ends a file that is large enough.
func (a *appender) write(e Entry) {
	if a.out == nil {
		f, err := a.c.Open(filepath.Join(a.c.Dir, fmt.Sprintf("record-%09d", a.next)))
		if err != nil {
			a.dropped.Add(1)
			a.fail(err)
			return
		}
		a.out = &file{f: f, b: bufio.NewWriterSize(f, 64<<10)}
		a.prune()
	}
	n, err := a.encoder.Append(a.out.b, &e)
	if a.out.size += int64(n); err != nil {
		a.dropped.Add(1)
		a.fail(err)
		return
	}
	if a.out.size >= a.c.FileSize {
		if err := errors.Join(a.out.b.Flush(), a.out.f.Close()); err != nil {
			a.fail(err)
		}
		a.out = nil
		a.next++
	}
}

// flush writes what is buffered. After a failure it allows the next file, as the disk may have space by then.
func (a *appender) flush() {
	a.failing = false
	if a.out != nil {
		if err := a.out.b.Flush(); err != nil {
			a.fail(err)
		}
	}
}

// fail ends the file after an error, as of a full disk. What is lost is counted, and the next file is tried later.
func (a *appender) fail(err error) {
	if !a.failing && a.c.Log != nil {
		a.c.Log.Warn("record drops entries", "reason", err)
	}
	a.failing = true
	if a.out != nil {
		a.closeFile()
		a.out = nil
		a.next++
	}
}

// closeFile closes the file. Its error adds nothing: what was not flushed is counted as dropped, or ends torn.
func (a *appender) closeFile() { _ = a.out.f.Close() }

// flushEvery is how long an entry stays in memory at most: a crash loses so much of the record.
const flushEvery = 200 * time.Millisecond

// prune removes the oldest files. One that cannot be removed is tried again with the next file.
func (w *Writer) prune() {
	names, err := files(w.c.Dir)
	if err != nil {
		return
	}
	for len(names) > w.c.Files {
		_ = os.Remove(names[0])
		names = names[1:]
	}
}

// files lists the files of a folder, the oldest first.
func files(dir string) ([]string, error) {
	names, err := filepath.Glob(filepath.Join(dir, "record-*"))
	if err != nil {
		return nil, fmt.Errorf("record: list the folder: %w", err)
	}
	slices.Sort(names)
	return names, nil
}

// Encoder encodes entries and reuses its buffer. The zero Encoder is ready to use.
type Encoder struct {
	b   bytes.Buffer
	enc *msgpack.Encoder
}

// Append writes an entry and returns the number of bytes written.
func (x *Encoder) Append(w io.Writer, e *Entry) (int, error) {
	if x.enc == nil {
		x.enc = msgpack.NewEncoder(&x.b)
		x.enc.UseArrayEncodedStructs(true) // field names would make half of each entry
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

// Read calls f with each entry of a folder's files, the oldest first, and returns how many files end torn. What follows a
// torn entry in a file is skipped.
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
		_ = in.Close() // only read
		if err != nil {
			return torn, fmt.Errorf("%s: %w", name, err)
		}
		if !good {
			torn++
		}
	}
	return torn, nil
}

// Decode calls f with each entry. Good is false if the input ends with a torn entry, as one still being written, or cannot
// be read; read is the number of bytes of complete entries. The only error is that of f.
func Decode(in io.Reader, f func(Entry) error) (good bool, read int64, err error) {
	r := bufio.NewReader(in)
	var head [8]byte
	for {
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return errors.Is(err, io.EOF), read, nil //nolint:nilerr // good reports a torn end; the error is f's alone
		}
		n := binary.LittleEndian.Uint32(head[:4])
		if n > maxEntry {
			return false, read, nil
		}
		text := make([]byte, n)
		if _, err := io.ReadFull(r, text); err != nil || crc32.Checksum(text, table) != binary.LittleEndian.Uint32(head[4:]) {
			return false, read, nil //nolint:nilerr // as above
		}
		var e Entry
		if msgpack.Unmarshal(text, &e) != nil {
			return false, read, nil //nolint:nilerr // as above
		}
		read += 8 + int64(n)
		if err := f(e); err != nil {
			return false, read, err
		}
	}
}

// Tail follows a folder's entries.
type Tail struct {
	Dir    string
	name   string // of the file last read
	offset int64  // in it, behind the last complete entry
}

// Next calls f with the entries that are new since the last call. A torn end is perhaps still being written and is read
// again until there is a later file.
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
			t.name, t.offset = name, 0
		}
		in, err := os.Open(name)
		if errors.Is(err, os.ErrNotExist) {
			continue // it was the oldest and has been removed
		}
		if err != nil {
			return fmt.Errorf("record: %w", err)
		}
		_, err = in.Seek(t.offset, io.SeekStart)
		if err == nil {
			var read int64
			_, read, err = Decode(in, f)
			t.offset += read
		}
		_ = in.Close() // only read
		if err != nil {
			return err
		}
	}
	return nil
}
