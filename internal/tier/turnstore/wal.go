package turnstore

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/storage"
)

// Limits of the write-ahead log.
const (
	maxPendingBytes = 8 << 20                // size of the batch that waits while another one is synced
	stallThreshold  = 400 * time.Millisecond // while a sync takes longer than this, new writes fail at once
	// offsetSyncInterval is the minimum time between syncs of the offsets file, which tells how much of a segment is synced.
	// After a power failure, corruption of bytes that were synced within the last interval cannot be told from a torn
	// write, so a shorter interval detects more corruption. Each sync delays the next batch by some milliseconds: at this
	// interval, at most 2% of a store's time.
	offsetSyncInterval = 250 * time.Millisecond
)

var (
	errNotWritable = eris.New("write-ahead log is not writable")
	errStalled     = eris.New("disk sync takes too long")
)

// walBatch is a group of frames that one sync makes durable.
type walBatch struct {
	frames []byte
	done   chan struct{}
	err    error // set before done is closed
}

// writeAheadLog appends batches to segments with group commit: all frames that are appended while a sync is running go into
// the next batch. After a failed write it accepts nothing until a compaction has saved everything in memory.
//
// append, rotate, compactionDone and the state queries are safe for concurrent use; a single writer goroutine (run) owns
// the files.
type writeAheadLog struct {
	disk       storage.Disk
	folder     string
	failpoints *failpoint.Points
	now        func() time.Time

	mu            sync.Mutex
	wake          *sync.Cond
	pending       *walBatch
	segment       uint64    // number of the segment that new batches go to
	bytes         int64     // size of all segments and the compacted file
	writeStarted  time.Time // of the batch that is being written, zero if there is none
	failed        bool
	failures      int // number of failed writes since the start
	closed        bool
	finished      chan struct{} // closed when the writer has returned
	failureSignal chan struct{} // receives a value after each failed write

	// Owned by the writer goroutine.
	file                storage.File
	fileNumber          uint64
	fileBytes           int64
	folderEntryUnsynced bool // the folder has not been synced since the file was created
	offsets             offsetFile
	offsetSyncDue       time.Time
}

func newWriteAheadLog(
	disk storage.Disk, folder string, segment uint64, now func() time.Time, failpoints *failpoint.Points,
) *writeAheadLog {
	w := &writeAheadLog{
		disk:          disk,
		folder:        folder,
		segment:       segment,
		now:           now,
		failpoints:    failpoints,
		finished:      make(chan struct{}),
		failureSignal: make(chan struct{}, 1),
		offsets:       offsetFile{disk: disk, folder: folder},
	}
	w.wake = sync.NewCond(&w.mu)
	return w
}

// append adds frames to the next batch, which it returns. It fails with errNotWritable or errStalled.
func (w *writeAheadLog) append(frames []byte) (*walBatch, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.writableLocked(); err != nil {
		return nil, err
	}
	if w.pending == nil {
		w.pending = &walBatch{done: make(chan struct{})}
		w.wake.Signal()
	}
	if len(w.pending.frames)+len(frames) > maxPendingBytes {
		return nil, errStalled
	}
	w.pending.frames = append(w.pending.frames, frames...)
	return w.pending, nil
}

// checkWritable returns nil if frames can be appended now, otherwise errNotWritable or errStalled.
func (w *writeAheadLog) checkWritable() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writableLocked()
}

// writableLocked is checkWritable for callers that hold w.mu.
func (w *writeAheadLog) writableLocked() error {
	switch {
	case w.failed || w.closed:
		return errNotWritable
	case !w.writeStarted.IsZero() && w.now().Sub(w.writeStarted) > stallThreshold:
		return errStalled
	}
	return nil
}

// rotate directs later batches to a new segment. It returns the number of the previous segment and how many writes have
// failed so far. Everything that is or will be in the segments up to that number is already in memory when rotate is
// called.
func (w *writeAheadLog) rotate() (number uint64, failures int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.segment
	w.segment++
	return previous, w.failures
}

// compactionDone is called when a compacted file is durable; failures is the number that rotate returned before the
// compaction. If no write has failed since, everything is saved and the log becomes writable again.
func (w *writeAheadLog) compactionDone(compactedBytes int64, failures int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failures == failures {
		w.failed = false
	}
	w.bytes = compactedBytes
}

// setFailed makes the log reject everything until a compaction has saved all that is in memory.
func (w *writeAheadLog) setFailed() {
	w.mu.Lock()
	w.failed = true
	w.failures++
	w.mu.Unlock()
	w.signalFailure()
}

// signalFailure wakes RunCompaction. It does not block.
func (w *writeAheadLog) signalFailure() {
	select {
	case w.failureSignal <- struct{}{}:
	default:
	}
}

func (w *writeAheadLog) hasFailed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// size returns the number of bytes in all segments and the compacted file.
func (w *writeAheadLog) size() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes
}

// close writes the pending batch and waits for the writer to end.
func (w *writeAheadLog) close() {
	w.mu.Lock()
	w.closed = true
	w.wake.Broadcast()
	w.mu.Unlock()
	<-w.finished
}
