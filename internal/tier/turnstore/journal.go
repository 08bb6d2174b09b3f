package turnstore

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/storage"
)

// Names of files. A segment takes batches one behind the other; a merged file replaces all segments up to its
// own number and the merged files before it.
const (
	segmentPrefix = "segment-"
	mergedPrefix  = "merged-"
	asideSuffix   = ".part"
)

// Bounds of the journal.
const (
	mostPendingBytes = 8 << 20                // not yet handed to the disk
	stalledAfter     = 400 * time.Millisecond // a sync that takes longer makes new writes be refused at once
	marksEvery       = 5 * time.Second        // between syncs of the marks
)

var (
	errDisk    = eris.New("the disk does not take writes")
	errStalled = eris.New("the disk is slow")
)

// batch is what one sync makes durable.
type batch struct {
	frames []byte
	done   chan struct{}
	err    error // set before done is closed
}

// journal writes batches to segments: all that came while the last sync ran goes into the next batch. After a
// failed write nothing is taken until a merged file has saved all that the process holds.
type journal struct {
	disk   storage.Disk
	folder string
	faults *failpoint.Points
	now    func() time.Time

	mu       sync.Mutex
	wake     *sync.Cond
	pending  *batch
	segment  uint64    // number of the segment that batches go to
	bytes    int64     // in segments and the merged file
	busyFrom time.Time // start of the write under way, zero when there is none
	failed   bool
	failures int
	closed   bool
	finished chan struct{}
	broken   chan struct{} // told of each failed write

	// Used by the writer only.
	file       storage.File
	fileNumber uint64
	fileBytes  int64
	nameLoose  bool // the folder was not synced since the file was made
	marks      marks
	marksDue   time.Time // when the marks are to be synced
}

func newJournal(disk storage.Disk, folder string, segment uint64, now func() time.Time, faults *failpoint.Points) *journal {
	j := &journal{
		disk: disk, folder: folder, segment: segment, now: now, faults: faults,
		finished: make(chan struct{}),
		broken:   make(chan struct{}, 1),
		marks:    marks{disk: disk, folder: folder},
	}
	j.wake = sync.NewCond(&j.mu)
	return j
}

// append adds frames to the next batch.
func (j *journal) append(frames []byte) (*batch, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.refusal(); err != nil {
		return nil, err
	}
	if j.pending == nil {
		j.pending = &batch{done: make(chan struct{})}
		j.wake.Signal()
	}
	if len(j.pending.frames)+len(frames) > mostPendingBytes {
		return nil, errStalled
	}
	j.pending.frames = append(j.pending.frames, frames...)
	return j.pending, nil
}

// usable says why the disk takes nothing now, nil when it does.
func (j *journal) usable() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.refusal()
}

func (j *journal) refusal() error {
	switch {
	case j.failed || j.closed:
		return errDisk
	case !j.busyFrom.IsZero() && j.now().Sub(j.busyFrom) > stalledAfter:
		return errStalled
	}
	return nil
}

// run writes batches until close.
func (j *journal) run() {
	defer close(j.finished)
	for {
		next, number := j.next()
		if next == nil {
			j.closeFile()
			j.marks.close()
			return
		}
		next.err = j.write(next, number)
		j.settle(next)
		close(next.done)
		if next.err != nil {
			j.tellBroken()
			continue
		}
		j.mark()
	}
}

// settle notes the end of a write.
func (j *journal) settle(written *batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.busyFrom = time.Time{}
	if written.err != nil {
		j.failed = true
		j.failures++
		return
	}
	j.bytes += int64(len(written.frames))
}

// fail has nothing more taken until a merged file has saved all that is held.
func (j *journal) fail() {
	j.mu.Lock()
	j.failed = true
	j.failures++
	j.mu.Unlock()
	j.tellBroken()
}

// mark notes beside the segment how far it is synced. Nobody waits for it.
func (j *journal) mark() {
	j.marks.put(j.fileNumber, j.fileBytes)
	if now := j.now(); now.After(j.marksDue) {
		j.marks.sync()
		j.marksDue = now.Add(marksEvery)
	}
}

// next waits for a batch and takes it; nil when the journal is closed and all is written.
func (j *journal) next() (*batch, uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for j.pending == nil && !j.closed {
		j.wake.Wait()
	}
	taken := j.pending
	j.pending = nil
	if taken != nil {
		j.busyFrom = j.now()
	}
	return taken, j.segment
}

// write appends a batch to a segment and syncs it.
func (j *journal) write(taken *batch, number uint64) error {
	if j.isFailed() {
		return errDisk
	}
	if err := j.open(number); err != nil {
		return eris.Wrap(err, "open a segment")
	}
	written, err := j.file.Write(taken.frames)
	j.fileBytes += int64(written)
	if err != nil {
		return eris.Wrap(err, "write a segment")
	}
	if err := j.faults.At(pointBatchWritten); err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		return eris.Wrap(err, "sync a segment")
	}
	if err := j.syncName(); err != nil {
		return eris.Wrap(err, "sync the folder of a new segment")
	}
	return j.faults.At(pointBatchSynced)
}

// syncName makes the name of a new segment durable, and that of its marks: without them a loss of power may take away
// whole what was synced, and nothing tells that it was there.
func (j *journal) syncName() error {
	if !j.nameLoose {
		return nil
	}
	j.marks.put(j.fileNumber, j.fileBytes)
	if err := j.disk.SyncDir(j.folder); err != nil {
		return err
	}
	j.nameLoose = false
	return nil
}

func (j *journal) tellBroken() {
	select {
	case j.broken <- struct{}{}:
	default:
	}
}

func (j *journal) isFailed() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failed
}

// open makes the file of a segment unless it is open.
func (j *journal) open(number uint64) error {
	if j.file != nil && j.fileNumber == number {
		return nil
	}
	j.closeFile()
	file, err := j.disk.Create(filepath.Join(j.folder, segmentName(number)))
	if err != nil {
		return err
	}
	j.file, j.fileNumber, j.nameLoose = file, number, true
	written, err := file.Write([]byte(fileMagic))
	j.fileBytes = int64(written)
	return err
}

func (j *journal) closeFile() {
	if j.file != nil {
		_ = j.file.Close()
		j.file = nil
	}
}

// rotate makes later batches go to a new segment and returns the number of the one before, and how many writes
// have failed. What is in memory when it is called is all that segments up to that number hold or will hold.
func (j *journal) rotate() (number uint64, failures int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	before := j.segment
	j.segment++
	return before, j.failures
}

// merged is called when a merged file is durable. If no write has failed since it was begun, all is saved.
func (j *journal) merged(mergedBytes int64, failures int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failures == failures {
		j.failed = false
	}
	j.bytes = mergedBytes
}

func (j *journal) size() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.bytes
}

// close writes what is pending and ends the writer.
func (j *journal) close() {
	j.mu.Lock()
	j.closed = true
	j.wake.Broadcast()
	j.mu.Unlock()
	<-j.finished
}

func segmentName(number uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, number) }

func mergedName(number uint64) string { return fmt.Sprintf("%s%016x", mergedPrefix, number) }

// numberOf returns the number in a file's name, if it has the prefix.
func numberOf(name, prefix string) (uint64, bool) {
	digits, ours := strings.CutPrefix(name, prefix)
	if !ours {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}
