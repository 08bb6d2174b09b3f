package turnstore

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Timing and size limits of compaction.
const (
	compactionInterval = 5 * time.Second // between checks
	compactionBackoff  = time.Second     // after a compaction that failed
	minCompactionBytes = 24 << 20        // files with fewer bytes in total are not compacted
	compactionGrowth   = 3               // compact when the files exceed this multiple of the state's size
)

// RunCompaction compacts the files on disk when they have grown or when a write has failed. It returns when ctx ends.
func (s *Store) RunCompaction(ctx context.Context) {
	wait := compactionInterval
	for {
		select {
		case <-s.options.After(wait):
		case <-s.wal.failureSignal:
		case <-ctx.Done():
			return
		}
		wait = compactionInterval
		if !s.shouldCompact() {
			continue
		}
		if err := s.Compact(ctx); err != nil {
			s.options.Log.Warn("compaction failed", "error", err)
			wait = compactionBackoff
		}
	}
}

// shouldCompact returns whether a write has failed or the files have grown too large.
func (s *Store) shouldCompact() bool {
	if s.wal.hasFailed() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	size := s.wal.size()
	return size > minCompactionBytes && size > int64(compactionGrowth*s.state.bytes)
}

// Compact writes the whole state to one file, which replaces all others. If writes to the log had failed before, it
// accepts writes again after that.
func (s *Store) Compact(ctx context.Context) error {
	captured := s.capture()
	file, err := createCompacted(s.options.Disk, s.options.Folder, captured.segment, s.options.Failpoints)
	if err != nil {
		return err
	}
	if err := captured.writeTo(ctx, file); err != nil {
		file.abort()
		return err
	}
	s.wal.compactionDone(file.bytes, captured.failures)
	return nil
}

// capturedState is a copy of the state that includes everything up to the end of a segment.
type capturedState struct {
	records  []record
	programs []*tierpb.ProgramBudget
	segment  uint64 // number of the last segment that the state includes
	failures int    // number of failed writes to the log when the state was captured
}

// capture copies the state and directs later batches to a new segment.
func (s *Store) capture() capturedState {
	s.mu.Lock()
	defer s.mu.Unlock()
	captured := capturedState{
		records:  make([]record, 0, len(s.state.records)),
		programs: make([]*tierpb.ProgramBudget, 0, len(s.state.programs)),
	}
	for _, existing := range s.state.records {
		captured.records = append(captured.records, *existing)
	}
	for _, existing := range s.state.programs {
		captured.programs = append(captured.programs, budget.Clone(existing.budget))
	}
	captured.segment, captured.failures = s.wal.rotate()
	return captured
}

// writeTo writes the state to a compacted file and finishes that file.
func (c *capturedState) writeTo(ctx context.Context, file *compactedFile) error {
	for _, existing := range c.records {
		if err := file.add(kindRecord, existing.turn); err != nil {
			return err
		}
		extension := existing.extension()
		if extension == nil {
			continue
		}
		if err := file.add(kindExtension, extension); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	for _, claims := range c.programs {
		if err := file.add(kindBudget, claims); err != nil {
			return err
		}
	}
	return file.finish()
}
