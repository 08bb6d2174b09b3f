package turnstore

import (
	"bytes"
	"context"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// syncTimeout limits how long a caller waits for a sync. After that it gets STORE_FULL and tries another replica.
const syncTimeout = time.Second

// writes are the changes that one call requests.
type writes struct {
	records    []*tierpb.TurnRecord
	budgets    []*tierpb.ProgramBudget
	extensions []*tierpb.RetentionExtension
}

// commit applies writes and waits until they are durable. They are certain to be durable only if the returned header has
// status STORE_OK.
func (s *Store) commit(
	ctx context.Context, request *tierpb.StoreRequestHeader, requested writes,
) (*tierpb.StoreReplyHeader, error) {
	header, batches, err := s.appendWrites(request, requested)
	if err != nil || header.Status != tierpb.StoreStatus_STORE_OK {
		return header, err
	}
	if err := s.awaitSynced(ctx, batches); err != nil {
		return fullReplyHeader(), nil //nolint:nilerr // the status makes the caller try another replica
	}
	return header, nil
}

// fullReplyHeader returns the header of a reply to a call that the store cannot write now.
func fullReplyHeader() *tierpb.StoreReplyHeader {
	return &tierpb.StoreReplyHeader{Status: tierpb.StoreStatus_STORE_FULL}
}

// appendWrites checks the epoch, appends writes to the next batch and applies them to the state, all under one lock: the
// writes of a call of an older epoch are either in the state before the rebalance begins or rejected. It returns the
// batches to wait for.
func (s *Store) appendWrites(
	request *tierpb.StoreRequestHeader, requested writes,
) (*tierpb.StoreReplyHeader, []*walBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	header, err := s.checkHeader(request)
	if err != nil || header.Status != tierpb.StoreStatus_STORE_OK {
		return header, nil, err
	}
	if s.wal.checkWritable() != nil || s.isFull() {
		return fullReplyHeader(), nil, nil
	}
	frames, batches, err := s.encodeNewWrites(requested)
	if err != nil {
		return nil, nil, err
	}
	if len(frames) == 0 {
		return header, batches, nil
	}
	next, err := s.wal.append(frames)
	if err != nil {
		return fullReplyHeader(), nil, nil
	}
	s.apply(requested, next)
	if len(s.state.propagations) > 0 {
		signal(s.propagationStarted)
	}
	return header, appendBatch(batches, next), nil
}

// encodeNewWrites encodes the writes that are not in the state yet. For the others it returns the batches that they are in:
// a repeated call is acknowledged only when the batch of the first call is synced.
func (s *Store) encodeNewWrites(requested writes) (frames []byte, batches []*walBatch, err error) {
	for _, turn := range requested.records {
		if existing := s.state.records[turn.Id]; existing != nil {
			invariant.Check(sameTurn(existing.turn, turn), invariant.RecordsImmutable, turn.Id, existing.turn.Id)
			batches = appendBatch(batches, existing.batch)
			continue
		}
		if frames, err = appendFrame(frames, kindRecord, turn); err != nil {
			return nil, nil, err
		}
	}
	for _, claims := range requested.budgets {
		if existing := s.state.programs[claims.Program]; existing != nil && budget.Covers(existing.budget, claims.Entries) {
			batches = appendBatch(batches, existing.batch)
			continue
		}
		if frames, err = appendFrame(frames, kindBudget, claims); err != nil {
			return nil, nil, err
		}
	}
	for _, extension := range requested.extensions {
		existing := s.state.records[extension.Id]
		if existing != nil && existing.covers(extension) {
			batches = appendBatch(batches, existing.expiryBatch)
			continue
		}
		if existing == nil && !containsTurn(requested.records, extension.Id) {
			continue
		}
		if frames, err = appendFrame(frames, kindExtension, extension); err != nil {
			return nil, nil, err
		}
	}
	return frames, batches, nil
}

// apply applies writes to the state; the batch makes them durable.
func (s *Store) apply(requested writes, batch *walBatch) {
	for _, turn := range requested.records {
		if s.state.records[turn.Id] == nil {
			s.state.addRecord(turn, batch)
		}
	}
	for _, claims := range requested.budgets {
		if updated, changed := s.state.mergeClaims(claims); changed {
			updated.batch = batch
		}
	}
	for _, extension := range requested.extensions {
		s.state.extendRetention(extension.Id, extension.UntilUnixMs, batch)
	}
}

// awaitSynced waits until all batches are durable. A batch that failed counts as durable once the log is writable again:
// a compaction has saved it in the meantime.
func (s *Store) awaitSynced(ctx context.Context, batches []*walBatch) error {
	timeout := s.options.After(syncTimeout)
	for _, batch := range batches {
		if batch == nil {
			continue
		}
		select {
		case <-batch.done:
		case <-timeout:
			return errStalled
		case <-ctx.Done():
			return ctx.Err()
		}
		if batch.err != nil {
			if err := s.wal.checkWritable(); err != nil {
				return err
			}
		}
	}
	return nil
}

// isDurable returns whether a batch is synced, or was saved by a compaction after it had failed. What was read from disk
// has no batch and is durable.
func (s *Store) isDurable(batch *walBatch) bool {
	if batch == nil {
		return true
	}
	select {
	case <-batch.done:
		return batch.err == nil || s.wal.checkWritable() == nil
	default:
		return false
	}
}

// appendBatch appends a batch unless it is nil or already in the list.
func appendBatch(batches []*walBatch, batch *walBatch) []*walBatch {
	if batch == nil || slices.Contains(batches, batch) {
		return batches
	}
	return append(batches, batch)
}

// sameTurn returns whether two records have the same contents.
func sameTurn(a, b *tierpb.TurnRecord) bool {
	return a.Previous == b.Previous && bytes.Equal(a.Input, b.Input) && bytes.Equal(a.Output, b.Output)
}

func containsTurn(records []*tierpb.TurnRecord, id string) bool {
	return slices.ContainsFunc(records, func(turn *tierpb.TurnRecord) bool { return turn.Id == id })
}
