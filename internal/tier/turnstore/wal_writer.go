package turnstore

import (
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// run is the writer goroutine: it writes batches until the log is closed.
func (w *writeAheadLog) run() {
	defer close(w.finished)
	for {
		next, segment := w.nextBatch()
		if next == nil {
			w.closeSegment()
			w.offsets.close()
			return
		}
		next.err = w.writeBatch(next, segment)
		w.finishWrite(next)
		close(next.done)
		if next.err != nil {
			w.signalFailure()
			continue
		}
		w.recordSyncedOffset()
	}
}

// nextBatch waits for the pending batch and returns it with the number of its segment. It returns a nil batch when the log
// is closed and everything is written.
func (w *writeAheadLog) nextBatch() (next *walBatch, segment uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.pending == nil && !w.closed {
		w.wake.Wait()
	}
	next = w.pending
	w.pending = nil
	if next != nil {
		w.writeStarted = w.now()
	}
	return next, w.segment
}

// writeBatch appends a batch to a segment and syncs it.
func (w *writeAheadLog) writeBatch(next *walBatch, segment uint64) error {
	if w.hasFailed() {
		return errNotWritable
	}
	if err := w.openSegment(segment); err != nil {
		return eris.Wrap(err, "open a segment")
	}
	written, err := w.file.Write(next.frames)
	w.fileBytes += int64(written)
	if err != nil {
		return eris.Wrap(err, "write a segment")
	}
	if err := w.failpoints.At(pointBatchWritten); err != nil {
		return err
	}
	if err := w.file.Sync(); err != nil {
		return eris.Wrap(err, "sync a segment")
	}
	if err := w.syncFolderEntry(); err != nil {
		return eris.Wrap(err, "sync the folder of a new segment")
	}
	return w.failpoints.At(pointBatchSynced)
}

// finishWrite updates the log's state after a batch was written or has failed.
func (w *writeAheadLog) finishWrite(written *walBatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeStarted = time.Time{}
	if written.err != nil {
		w.failed = true
		w.failures++
		return
	}
	w.bytes += int64(len(written.frames))
}

// openSegment creates the file of a segment unless it is open already.
func (w *writeAheadLog) openSegment(number uint64) error {
	if w.file != nil && w.fileNumber == number {
		return nil
	}
	w.closeSegment()
	file, err := w.disk.Create(filepath.Join(w.folder, segmentName(number)))
	if err != nil {
		return err
	}
	w.file, w.fileNumber, w.folderEntryUnsynced = file, number, true
	written, err := file.Write([]byte(fileMagic))
	w.fileBytes = int64(written)
	return err
}

func (w *writeAheadLog) closeSegment() {
	if w.file != nil {
		_ = w.file.Close()
		w.file = nil
	}
}

// syncFolderEntry makes the folder entries of a new segment and of its offsets file durable. Without the offsets file,
// the loss of a whole synced segment in a power failure would not be detected.
func (w *writeAheadLog) syncFolderEntry() error {
	if !w.folderEntryUnsynced {
		return nil
	}
	w.offsets.record(w.fileNumber, w.fileBytes)
	if err := w.disk.SyncDir(w.folder); err != nil {
		return err
	}
	w.folderEntryUnsynced = false
	return nil
}

// recordSyncedOffset records in the offsets file how much of the segment is synced. Acknowledgements do not wait for it.
func (w *writeAheadLog) recordSyncedOffset() {
	w.offsets.record(w.fileNumber, w.fileBytes)
	if now := w.now(); now.After(w.offsetSyncDue) {
		w.offsets.sync()
		w.offsetSyncDue = now.Add(offsetSyncInterval)
	}
}
