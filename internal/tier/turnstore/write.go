package turnstore

import (
	"bytes"
	"context"
	"slices"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// writes is what one call asks to be made durable.
type writes struct {
	records    []*tierpb.TurnRecord
	budgets    []*tierpb.ProgramBudget
	extensions []*tierpb.RetentionExtension
}

// take makes all of it durable if the header allows; the verdict says whether it did.
func (s *Store) take(ctx context.Context, header *tierpb.StoreRequestHeader, asked writes) (*tierpb.StoreReplyHeader, error) {
	verdict, waiting, err := s.fold(header, asked)
	if err != nil || verdict.Status != tierpb.StoreStatus_STORE_OK {
		return verdict, err
	}
	if err := s.await(ctx, waiting); err != nil {
		return full(), nil
	}
	return verdict, nil
}

func full() *tierpb.StoreReplyHeader {
	return &tierpb.StoreReplyHeader{Status: tierpb.StoreStatus_STORE_FULL}
}

// fold takes writes into the view and the next batch, under one lock with the check of the epoch: what a call of an
// older epoch brings is in the view before the pass over it begins, or is refused.
func (s *Store) fold(header *tierpb.StoreRequestHeader, asked writes) (*tierpb.StoreReplyHeader, []*batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict, err := s.verdict(header)
	if err != nil || verdict.Status != tierpb.StoreStatus_STORE_OK {
		return verdict, nil, err
	}
	if s.journal.usable() != nil || s.isFull() {
		return full(), nil, nil
	}
	frames, waiting, err := s.news(asked)
	if err != nil {
		return nil, nil, err
	}
	if len(frames) == 0 {
		return verdict, waiting, nil
	}
	next, err := s.journal.append(frames)
	if err != nil {
		return full(), nil, nil
	}
	s.apply(asked, next)
	return verdict, addBatch(waiting, next), nil
}

// news encodes what the view does not have, and lists the batches that the rest waits for.
func (s *Store) news(asked writes) (frames []byte, waiting []*batch, err error) {
	for _, turn := range asked.records {
		if held := s.view.records[turn.Id]; held != nil {
			invariant.Check(isSame(held.turn, turn), invariant.RecordsImmutable, turn.Id, held.turn.Id)
			waiting = addBatch(waiting, held.batch)
			continue
		}
		if frames, err = appendFrame(frames, kindRecord, turn); err != nil {
			return nil, nil, err
		}
	}
	for _, claims := range asked.budgets {
		if held := s.view.programs[claims.Program]; held != nil && budget.Covers(held.budget, claims.Entries) {
			waiting = addBatch(waiting, held.batch)
			continue
		}
		if frames, err = appendFrame(frames, kindBudget, claims); err != nil {
			return nil, nil, err
		}
	}
	for _, extension := range asked.extensions {
		held := s.view.records[extension.Id]
		if held != nil && held.until >= extension.UntilUnixMs {
			waiting = addBatch(waiting, held.kept)
			continue
		}
		if held == nil && !brings(asked.records, extension.Id) {
			continue
		}
		if frames, err = appendFrame(frames, kindExtension, extension); err != nil {
			return nil, nil, err
		}
	}
	return frames, waiting, nil
}

// isSame says whether two records are of one and the same turn.
func isSame(held, told *tierpb.TurnRecord) bool {
	return held.Previous == told.Previous && bytes.Equal(held.Input, told.Input) && bytes.Equal(held.Output, told.Output)
}

// apply folds writes into the view.
func (s *Store) apply(asked writes, in *batch) {
	for _, turn := range asked.records {
		if s.view.records[turn.Id] == nil {
			s.view.addRecord(turn, in)
		}
	}
	for _, claims := range asked.budgets {
		if held, changed := s.view.addClaims(claims); changed {
			held.batch = in
		}
	}
	for _, extension := range asked.extensions {
		s.view.extend(extension.Id, extension.UntilUnixMs, in)
	}
}

// brings says whether a record is among those that a call brings.
func brings(records []*tierpb.TurnRecord, id string) bool {
	return slices.ContainsFunc(records, func(turn *tierpb.TurnRecord) bool { return turn.Id == id })
}
