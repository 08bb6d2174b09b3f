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

// syncTimeout bounds how long a caller waits for a sync; after that it gets STORE_FULL and turns to another replica.
const syncTimeout = time.Second

// writes are the changes that one call asks to make durable.
type writes struct {
	records    []*tierpb.TurnRecord
	budgets    []*tierpb.ProgramBudget
	extensions []*tierpb.RetentionExtension
}

// commit applies writes and waits until they are durable. They are durable only if the returned header has status
// STORE_OK.
func (s *Store) commit(
	ctx context.Context, request *tierpb.StoreRequestHeader, requested writes,
) (*tierpb.StoreReplyHeader, error) {
	header, waiting, err := s.appendWrites(request, requested)
	if err != nil || header.Status != tierpb.StoreStatus_STORE_OK {
		return header, err
	}
	if err := s.awaitSynced(ctx, waiting); err != nil {
		return fullHeader(), nil //nolint:nilerr // the status tells the caller to turn to another replica
	}
	return header, nil
}

func fullHeader() *tierpb.StoreReplyHeader {
	return &tierpb.StoreReplyHeader{Status: tierpb.StoreStatus_STORE_FULL}
}

// appendWrites applies writes to the state and appends them to the next batch, under one lock with the check of the
// epoch: what a call of an older epoch writes is either in the state before the rebalance begins or rejected. It returns
// the batches to wait for.
func (s *Store) appendWrites(
	request *tierpb.StoreRequestHeader, requested writes,
) (*tierpb.StoreReplyHeader, []*batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	header, err := s.checkHeader(request)
	if err != nil || header.Status != tierpb.StoreStatus_STORE_OK {
		return header, nil, err
	}
	if s.wal.checkWritable() != nil || s.isFull() {
		return fullHeader(), nil, nil
	}
	frames, waiting, err := s.encodeUnknown(requested)
	if err != nil {
		return nil, nil, err
	}
	if len(frames) == 0 {
		return header, waiting, nil
	}
	next, err := s.wal.append(frames)
	if err != nil {
		return fullHeader(), nil, nil
	}
	s.apply(requested, next)
	return header, appendDistinct(waiting, next), nil
}

// encodeUnknown encodes the writes that the state does not contain yet. For the others it returns the batches that make
// them durable: a repeated call is acknowledged only when the first one's batch is synced.
func (s *Store) encodeUnknown(requested writes) (frames []byte, waiting []*batch, err error) {
	for _, turn := range requested.records {
		if existing := s.state.records[turn.Id]; existing != nil {
			invariant.Check(sameTurn(existing.turn, turn), invariant.RecordsImmutable, turn.Id, existing.turn.Id)
			waiting = appendDistinct(waiting, existing.batch)
			continue
		}
		if frames, err = appendFrame(frames, kindRecord, turn); err != nil {
			return nil, nil, err
		}
	}
	for _, claims := range requested.budgets {
		if existing := s.state.programs[claims.Program]; existing != nil && budget.Covers(existing.budget, claims.Entries) {
			waiting = appendDistinct(waiting, existing.batch)
			continue
		}
		if frames, err = appendFrame(frames, kindBudget, claims); err != nil {
			return nil, nil, err
		}
	}
	for _, extension := range requested.extensions {
		existing := s.state.records[extension.Id]
		if existing != nil && existing.expiresUnixMs >= extension.UntilUnixMs {
			waiting = appendDistinct(waiting, existing.expiryBatch)
			continue
		}
		if existing == nil && !containsTurn(requested.records, extension.Id) {
			continue
		}
		if frames, err = appendFrame(frames, kindExtension, extension); err != nil {
			return nil, nil, err
		}
	}
	return frames, waiting, nil
}

// apply applies writes, which batch in makes durable, to the state.
func (s *Store) apply(requested writes, in *batch) {
	for _, turn := range requested.records {
		if s.state.records[turn.Id] == nil {
			s.state.addRecord(turn, in)
		}
	}
	for _, claims := range requested.budgets {
		if updated, changed := s.state.mergeClaims(claims); changed {
			updated.batch = in
		}
	}
	for _, extension := range requested.extensions {
		s.state.extendRetention(extension.Id, extension.UntilUnixMs, in)
	}
}

// awaitSynced waits until all batches are durable. A batch that failed counts as durable once the log is writable again:
// a compaction has saved it in the meantime.
func (s *Store) awaitSynced(ctx context.Context, batches []*batch) error {
	timeout := s.options.After(syncTimeout)
	for _, waiting := range batches {
		if waiting == nil {
			continue
		}
		select {
		case <-waiting.done:
		case <-timeout:
			return errStalled
		case <-ctx.Done():
			return ctx.Err()
		}
		if waiting.err != nil {
			if err := s.wal.checkWritable(); err != nil {
				return err
			}
		}
	}
	return nil
}

// isDurable returns whether a batch is synced, or was saved by a compaction after it had failed. What was read from disk
// has no batch and is durable.
func (s *Store) isDurable(in *batch) bool {
	if in == nil {
		return true
	}
	select {
	case <-in.done:
		return in.err == nil || s.wal.checkWritable() == nil
	default:
		return false
	}
}

// appendDistinct appends a batch unless it is nil or in the list already.
func appendDistinct(batches []*batch, more *batch) []*batch {
	if more == nil || slices.Contains(batches, more) {
		return batches
	}
	return append(batches, more)
}

// sameTurn returns whether two records have the same contents.
func sameTurn(a, b *tierpb.TurnRecord) bool {
	return a.Previous == b.Previous && bytes.Equal(a.Input, b.Input) && bytes.Equal(a.Output, b.Output)
}

func containsTurn(records []*tierpb.TurnRecord, id string) bool {
	return slices.ContainsFunc(records, func(turn *tierpb.TurnRecord) bool { return turn.Id == id })
}
