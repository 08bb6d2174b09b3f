package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"os"
	"sync"
	"testing"

	"pulleygw.example/pulleygw/internal/gatherer/proptest"
)

func entry(n int) Entry {
	return Entry{Kind: Attempt, At: int64(n), Request: uint64(n), Shard: n % 24, Status: "ok", Sent: int64(n)}
}

func openWriter(t *testing.T, change func(*Config)) (*Writer, string) {
	t.Helper()
	c := Config{Dir: t.TempDir(), FileSize: 64 << 10, Files: 3, Ring: 100000, Log: slog.New(slog.DiscardHandler)}
	if change != nil {
		change(&c)
	}
	w, err := Open(c)
	if err != nil {
		t.Fatal(err)
	}
	return w, c.Dir
}

// Entries are read back across files and restarts, only the newest files are kept, and an incomplete entry is reported.
func TestReadBack(t *testing.T) {
	w, dir := openWriter(t, nil)
	for n := range 3000 {
		w.Record(entry(n))
	}
	w.Close()
	again, err := Open(Config{Dir: dir, FileSize: 64 << 10, Files: 3, Ring: 1000})
	if err != nil {
		t.Fatal(err)
	}
	again.Record(entry(3000))
	again.Close()
	last, count := -1, 0
	read := func() (torn int) {
		last, count = -1, 0
		torn, err := Read(dir, func(e Entry) error {
			if e.Kind == Started {
				return nil
			}
			if int(e.At) <= last || e.Request != uint64(e.At) {
				t.Fatalf("entry %+v after %d", e, last)
			}
			last, count = int(e.At), count+1
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		return torn
	}
	if torn := read(); torn != 0 || last != 3000 || count < 1000 {
		t.Errorf("%d torn, %d entries, the last %d", torn, count, last)
	}
	names, err := listFiles(dir)
	if err != nil || len(names) != 3 {
		t.Fatalf("%v %v", names, err)
	}
	info, err := os.Stat(names[0])
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(names[0], info.Size()-3); err != nil {
		t.Fatal(err)
	}
	before := count
	if torn := read(); torn != 1 || count != before-1 || last != 3000 {
		t.Errorf("%d torn, %d entries of %d", torn, count, before)
	}
	if _, err := Read(t.TempDir(), nil); err == nil {
		t.Error("reading an empty directory succeeds")
	}
}

// Tail returns each entry once, across files, and an incomplete entry only once it is complete.
func TestTail(t *testing.T) {
	dir := t.TempDir()
	var got []uint64
	tail := &Tail{Dir: dir}
	next := func() {
		if err := tail.Next(func(e Entry) error { got = append(got, e.Request); return nil }); err != nil {
			t.Fatal(err)
		}
	}
	next()
	var b bytes.Buffer
	var x Encoder
	for n := range 3 {
		e := entry(n + 1)
		if _, err := x.Append(&b, &e); err != nil {
			t.Fatal(err)
		}
	}
	text := b.Bytes()
	for _, step := range []struct {
		name string
		upTo int
		want int
	}{{"record-000000001", 20, 0}, {"record-000000001", len(text) - 1, 2}, {"record-000000001", len(text), 3}, {"record-000000002", len(text) / 3, 4}} {
		if err := os.WriteFile(dir+"/"+step.name, text[:step.upTo], 0o600); err != nil {
			t.Fatal(err)
		}
		if next(); len(got) != step.want {
			t.Errorf("%s up to %d: %v", step.name, step.upTo, got)
		}
	}
}

// limitedDisk is a file on a disk with left bytes of free space.
type limitedDisk struct {
	mu   sync.Mutex
	left int
	b    bytes.Buffer
}

func (f *limitedDisk) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left < len(p) {
		return 0, errors.New("no space left on device")
	}
	f.left -= len(p)
	return f.b.Write(p)
}
func (f *limitedDisk) Close() error { return nil }

// Entries lost to a full disk or a full queue are counted, and Record does not block.
func TestFullDiskAndQueue(t *testing.T) {
	disk := &limitedDisk{left: 200 << 10}
	w, _ := openWriter(t, func(c *Config) {
		c.FileSize = 1 << 20
		c.Open = func(string) (io.WriteCloser, error) { return disk, nil }
	})
	for n := range 50000 {
		w.Record(entry(n))
	}
	w.Close()
	if total, dropped := w.Counts(); total != 50001 || dropped == 0 {
		t.Errorf("%d dropped of %d on a full disk", dropped, total)
	}
	hold := make(chan struct{})
	w, _ = openWriter(t, func(c *Config) {
		c.Ring = 10
		c.Open = func(string) (io.WriteCloser, error) { <-hold; return &limitedDisk{left: 1 << 20}, nil }
	})
	for n := range 1000 {
		w.Record(entry(n))
	}
	close(hold)
	w.Close()
	if _, dropped := w.Counts(); dropped < 900 {
		t.Errorf("%d dropped of 1000 with a queue of 10", dropped)
	}
	if _, err := Open(Config{Dir: t.TempDir()}); err == nil {
		t.Error("a configuration without files or queue is accepted")
	}
}

var sampleEntry = entry(7)

func decodeAll(b []byte) error {
	n := 0
	good, read, err := Decode(bytes.NewReader(b), func(Entry) error { n++; return nil })
	if err != nil || !good || n == 0 || read != int64(len(b)) {
		return errors.New("torn")
	}
	return nil
}

// Truncated and corrupt files are reported as torn.
func TestCorruptFiles(t *testing.T) {
	var b bytes.Buffer
	if _, err := new(Encoder).Append(&b, &sampleEntry); err != nil {
		t.Fatal(err)
	}
	proptest.CheckParser(t, true, decodeAll, b.String())
}

func FuzzDecode(f *testing.F) {
	var b bytes.Buffer
	if _, err := new(Encoder).Append(&b, &sampleEntry); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Fuzz(func(_ *testing.T, b []byte) { _ = decodeAll(b) })
}

// BenchmarkAppend measures the encoding of an entry.
func BenchmarkAppend(b *testing.B) {
	b.ReportAllocs()
	var x Encoder
	for b.Loop() {
		e := entry(5)
		if _, err := x.Append(io.Discard, &e); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRecord measures the cost of Record to its caller, with the writer running.
func BenchmarkRecord(b *testing.B) {
	w, err := Open(Config{Dir: b.TempDir(), FileSize: 16 << 20, Files: 2, Ring: 16384})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		w.Record(entry(5))
	}
	b.StopTimer()
	w.Close()
	total, dropped := w.Counts()
	b.ReportMetric(float64(dropped)/float64(total), "dropped/entry")
}

// Operators' scripts read the JSON names of InForce, so they must not change when fields are renamed.
func TestInForceJSONNames(t *testing.T) {
	got, err := json.Marshal(InForce{Attempts: 1, Timeout: 2, Window: 3, Hedging: true, MaxConcurrency: 4, PerSecond: 5, Burst: 6, Ratio: 7, Free: 8, Span: 9})
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Attempts":1,"GiveUp":2,"Window":3,"Copies":true,"Most":4,"PerSecond":5,"Burst":6,"Share":7,"Free":8,"Span":9}`
	if string(got) != want {
		t.Errorf("%s, want %s", got, want)
	}
}
