package turnstore

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Times and bounds of the upkeep of the disk.
const (
	upkeepEvery     = 5 * time.Second
	leastToMerge    = 24 << 20 // bytes on disk below which files are left as they are
	mergeGrowth     = 3        // files are merged when they hold this many times what is kept
	retryMergeAfter = time.Second
)

// Upkeep drops what is past its time and merges files, until ctx ends.
func (s *Store) Upkeep(ctx context.Context) {
	wait := upkeepEvery
	for {
		select {
		case <-s.options.After(wait):
		case <-s.journal.broken:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		s.view.expire(s.options.Now())
		s.mu.Unlock()
		wait = upkeepEvery
		if !s.shouldMerge() {
			continue
		}
		if err := s.Merge(ctx); err != nil {
			s.options.Log.Warn("files could not be merged", "error", err)
			wait = retryMergeAfter
		}
	}
}

func (s *Store) shouldMerge() bool {
	if s.journal.isFailed() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	size := s.journal.size()
	return size > leastToMerge && size > int64(mergeGrowth*s.view.bytes)
}

// Merge writes all that is held to one file, which replaces the others.
func (s *Store) Merge(ctx context.Context) error {
	records, programs, number, failures := s.capture()
	file, err := createMerged(s.options.Disk, s.options.Folder, number, s.options.Faults)
	if err != nil {
		return err
	}
	if err := s.writeMerged(ctx, file, records, programs); err != nil {
		file.abandon()
		return err
	}
	s.journal.merged(file.bytes, failures)
	return nil
}

// capture lists all that is held, and has what comes later go to another segment.
func (s *Store) capture() (records []record, programs []*tierpb.ProgramBudget, number uint64, failures int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records = make([]record, 0, len(s.view.records))
	for _, held := range s.view.records {
		records = append(records, *held)
	}
	programs = make([]*tierpb.ProgramBudget, 0, len(s.view.programs))
	for _, held := range s.view.programs {
		programs = append(programs, budget.Clone(held.budget))
	}
	number, failures = s.journal.rotate()
	return records, programs, number, failures
}

func (s *Store) writeMerged(
	ctx context.Context, file *mergedFile, records []record, programs []*tierpb.ProgramBudget,
) error {
	for _, held := range records {
		if err := file.add(kindRecord, held.turn); err != nil {
			return err
		}
		if held.until <= keptUntil(held.turn) {
			continue
		}
		extension := &tierpb.RetentionExtension{Id: held.turn.Id, UntilUnixMs: held.until}
		if err := file.add(kindExtension, extension); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	for _, claims := range programs {
		if err := file.add(kindBudget, claims); err != nil {
			return err
		}
	}
	return file.finish()
}
