// Package record writes a log of the outcome of every request and attempt, to rotated files in a directory with a bounded
// total size. [Writer.Record] never blocks its caller: entries that do not fit in the queue are dropped and counted, and the
// count is itself written as an entry, so that a reader knows how many are missing.
//
// An entry is encoded as its length and its CRC-32C checksum, each a little-endian uint32, followed by a MessagePack array.
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

// Kind is the type of event that an entry describes.
type Kind uint8

// Kinds of entries.
const (
	Arrived  Kind = iota + 1 // a request arrived; the verdict is the route's decision
	Released                 // a queued request was admitted or rejected
	Attempt                  // an attempt has ended
	Final                    // a request got its final answer, or its client disconnected
	Dropped                  // Count entries before this one were dropped
	Started                  // a process started; request numbers restart
)

// Values of Entry.Step after the first step, which is 0.
const (
	ListingStep = 1 // the listings of a search; their attempts count together with those of step 0
	LoadStep    = 2 // an independent second step; its attempts are counted on their own
)

// Entry is one event. Times are Unix times in microseconds, from a single clock that never goes back.
type Entry struct {
	Kind    Kind   `msgpack:"k"`
	At      int64  `msgpack:"t"`
	Request uint64 `msgpack:"r,omitempty"`
	Route   string `msgpack:"o,omitempty"`
	Class   string `msgpack:"c,omitempty"`

	// Requests only: the decision, its reason, and the limits in force.
	Verdict string   `msgpack:"v,omitempty"` // admit, wait or refuse; for Final: answered, refused, failed or left
	Why     string   `msgpack:"w,omitempty"`
	In      *InForce `msgpack:"i,omitempty"`

	// Attempts only.
	Shard  int    `msgpack:"p,omitempty"`
	Step   int    `msgpack:"s,omitempty"` // 0, ListingStep or LoadStep
	Number int    `msgpack:"n,omitempty"`
	Store  uint32 `msgpack:"d,omitempty"`
	Sent   int64  `msgpack:"b,omitempty"` // when it was passed to the transport, 0 if it never was; At is its end
	Ran    bool   `msgpack:"m,omitempty"` // the server may have executed it
	Status string `msgpack:"e,omitempty"`

	Count uint64 `msgpack:"x,omitempty"` // Dropped only: number of dropped entries
}

// InForce holds the limits in force for a request. Times are in microseconds; 0 means no limit. The JSON names are part of
// the log command's output and must not change.
type InForce struct {
	Attempts       int     `msgpack:"a"`
	Timeout        int64   `msgpack:"g" json:"GiveUp"`
	Window         int64   `msgpack:"w,omitempty"`               // deduplication window
	Hedging        bool    `msgpack:"c,omitempty" json:"Copies"` // a subquery may have two attempts in flight
	MaxConcurrency int     `msgpack:"m,omitempty" json:"Most"`
	PerSecond      float64 `msgpack:"r,omitempty"`
	Burst          int     `msgpack:"b,omitempty"`
	Ratio          float64 `msgpack:"s,omitempty" json:"Share"` // retry budget of the route: retries allowed per first attempt
	Free           float64 `msgpack:"f,omitempty"`              // retries allowed within Span regardless of Ratio
	Span           int64   `msgpack:"p,omitempty"`              // period over which the retry budget is counted
}

// Config configures a Writer.
type Config struct {
	Dir      string
	FileSize int64 // size in bytes at which the next file is started
	Files    int   // number of files kept; the oldest is removed first
	Ring     int   // capacity of the queue, in entries
	// Open creates a file; nil means os.OpenFile in append mode.
	Open func(path string) (io.WriteCloser, error)
	Log  *slog.Logger // nil for none
}

// maxEntryBytes is the maximum encoded size of an entry, without its length and checksum.
const maxEntryBytes = 16 << 10

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Writer writes entries. Record may be called from any goroutine and never blocks.
type Writer struct {
	config  Config
	queue   chan Entry
	dropped atomic.Uint64
	total   atomic.Uint64
	quit    chan struct{}
	done    chan struct{}
}

// Open starts a Writer. It begins a new file, numbered after the existing files of the directory.
func Open(c Config) (*Writer, error) {
	if c.FileSize < maxEntryBytes || c.Files < 1 || c.Ring < 1 {
		return nil, fmt.Errorf("record: file size of %d bytes, %d files, queue of %d entries: the minimum is %d bytes, 1 file, 1 entry", c.FileSize, c.Files, c.Ring, maxEntryBytes)
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("record: create the directory: %w", err)
	}
	if c.Open == nil {
		c.Open = func(path string) (io.WriteCloser, error) {
			return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		}
	}
	w := &Writer{config: c, queue: make(chan Entry, c.Ring), quit: make(chan struct{}), done: make(chan struct{})}
	names, err := listFiles(c.Dir)
	if err != nil {
		return nil, err
	}
	next := 1
	if len(names) > 0 {
		// A name without a number leaves next at 1.
		_, _ = fmt.Sscanf(filepath.Base(names[len(names)-1]), "record-%d", &next)
		next++ // never append to an existing file: its last entry may be incomplete
	}
	w.Record(Entry{Kind: Started, At: time.Now().UnixMicro()})
	go w.run(next)
	return w, nil
}

// Record queues an entry for writing, or drops it if the queue is full.
func (w *Writer) Record(e Entry) {
	w.total.Add(1)
	select {
	case w.queue <- e:
	default:
		w.dropped.Add(1)
	}
}

// Counts returns how many entries were recorded, and how many of them were dropped.
func (w *Writer) Counts() (total, dropped uint64) { return w.total.Load(), w.dropped.Load() }

// Close writes the queued entries and stops the writer.
func (w *Writer) Close() {
	close(w.quit)
	<-w.done
}

// outputFile is an open file with its write buffer and its size in bytes.
type outputFile struct {
	f    io.WriteCloser
	b    *bufio.Writer
	size int64
}

// appender appends entries to the files of a directory. Only the writer's goroutine uses it.
type appender struct {
	*Writer
	current       *outputFile // nil if the next entry starts a new file
	nextNumber    int         // number of current, or of the next file if current is nil
	reportedDrops uint64
	failing       bool // a write has failed since the last flush
	encoder       Encoder
}

// run writes entries until Close.
func (w *Writer) run(next int) {
	defer close(w.done)
	a := &appender{Writer: w, nextNumber: next}
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for {
		select {
		case e := <-w.queue:
			a.append(e)
		case <-timer.C:
			a.flush()
			timer.Reset(flushInterval)
		case <-w.quit:
			for len(w.queue) > 0 {
				a.append(<-w.queue)
			}
			a.flush()
			if a.current != nil {
				a.closeFile()
			}
			return
		}
	}
}

// append writes an entry, preceded by a Dropped entry if entries were dropped since the last one.
func (a *appender) append(e Entry) {
	if d := a.dropped.Load(); d > a.reportedDrops && !a.failing {
		a.write(Entry{Kind: Dropped, At: e.At, Count: d - a.reportedDrops})
		a.reportedDrops = d
	}
	a.write(e)
}

// write writes one entry and closes the file once it has reached its maximum size.
func (a *appender) write(e Entry) {
	if a.current == nil {
		f, err := a.config.Open(filepath.Join(a.config.Dir, fmt.Sprintf("record-%09d", a.nextNumber)))
		if err != nil {
			a.dropped.Add(1)
			a.fail(err)
			return
		}
		a.current = &outputFile{f: f, b: bufio.NewWriterSize(f, 64<<10)}
		a.prune()
	}
	n, err := a.encoder.Append(a.current.b, &e)
	if a.current.size += int64(n); err != nil {
		a.dropped.Add(1)
		a.fail(err)
		return
	}
	if a.current.size >= a.config.FileSize {
		if err := errors.Join(a.current.b.Flush(), a.current.f.Close()); err != nil {
			a.fail(err)
		}
		a.current = nil
		a.nextNumber++
	}
}

// flush writes the buffered entries. It also clears failing, so that drops are reported again: the disk may have free
// space by then.
func (a *appender) flush() {
	a.failing = false
	if a.current != nil {
		if err := a.current.b.Flush(); err != nil {
			a.fail(err)
		}
	}
}

// fail closes the current file after an error, such as a full disk; the next entry tries a new file. An entry whose write
// failed has been counted as dropped.
func (a *appender) fail(err error) {
	if !a.failing && a.config.Log != nil {
		a.config.Log.Warn("record drops entries", "reason", err)
	}
	a.failing = true
	if a.current != nil {
		a.closeFile()
		a.current = nil
		a.nextNumber++
	}
}

// closeFile closes the current file. The error is ignored: entries that were not flushed are lost in any case, and an
// incomplete one is detected by readers.
func (a *appender) closeFile() { _ = a.current.f.Close() }

// flushInterval is the longest time for which an entry stays in memory, and so the span that a crash can lose.
const flushInterval = 200 * time.Millisecond

// prune removes the oldest files beyond Config.Files. A removal that fails is retried when the next file is started.
func (w *Writer) prune() {
	names, err := listFiles(w.config.Dir)
	if err != nil {
		return
	}
	for len(names) > w.config.Files {
		_ = os.Remove(names[0])
		names = names[1:]
	}
}

// listFiles returns the paths of the directory's record files, oldest first.
func listFiles(dir string) ([]string, error) {
	names, err := filepath.Glob(filepath.Join(dir, "record-*"))
	if err != nil {
		return nil, fmt.Errorf("record: list the directory: %w", err)
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
		x.enc.UseArrayEncodedStructs(true) // field names would take half of each entry
	}
	x.b.Reset()
	x.b.Write(make([]byte, 8))
	if err := x.enc.Encode(e); err != nil {
		return 0, fmt.Errorf("encode the entry: %w", err)
	}
	b := x.b.Bytes()
	text := b[8:]
	if len(text) > maxEntryBytes {
		return 0, fmt.Errorf("entry of %d bytes is over the limit of %d", len(text), maxEntryBytes)
	}
	binary.LittleEndian.PutUint32(b, uint32(len(text)))
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(text, castagnoli))
	return w.Write(b)
}

// Read calls f with each entry of a directory's files, oldest first, and returns the number of files with an incomplete or
// corrupt entry. The rest of a file after such an entry is skipped.
func Read(dir string, f func(Entry) error) (torn int, err error) {
	names, err := listFiles(dir)
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

// Decode calls f with each entry. good is false if the input has an incomplete entry, as while one is being written, or a
// corrupt one, or cannot be read; read is the number of bytes of valid entries. Only errors of f are returned.
func Decode(in io.Reader, f func(Entry) error) (good bool, read int64, err error) {
	r := bufio.NewReader(in)
	var head [8]byte
	for {
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return errors.Is(err, io.EOF), read, nil //nolint:nilerr // reported by good; only errors of f are returned
		}
		n := binary.LittleEndian.Uint32(head[:4])
		if n > maxEntryBytes {
			return false, read, nil
		}
		text := make([]byte, n)
		if _, err := io.ReadFull(r, text); err != nil || crc32.Checksum(text, castagnoli) != binary.LittleEndian.Uint32(head[4:]) {
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

// Tail reads the entries of a directory as they are written.
type Tail struct {
	Dir    string
	name   string // path of the file last read
	offset int64  // end of the last complete entry in that file
}

// Next calls f with the entries written since the last call. An incomplete entry at the end of a file may not have
// been fully written yet: it is read again on each call until a later file exists.
func (t *Tail) Next(f func(Entry) error) error {
	names, err := listFiles(t.Dir)
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
			continue // removed by prune since it was listed
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
