package turnstore

import (
	"context"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

var errBadRequest = eris.New("request without a key or with one that is too long")

// Register sets the store's handlers.
func (s *Store) Register(server *rpc.Server) {
	rpc.Handle(server, rpc.MethodPutTurns, s.PutTurns)
	rpc.Handle(server, rpc.MethodGetChain, s.GetChain)
	rpc.Handle(server, rpc.MethodReserveBudget, s.ReserveBudget)
	rpc.Handle(server, rpc.MethodReadBudget, s.ReadBudget)
	rpc.Handle(server, rpc.MethodMoveRecords, s.MoveRecords)
	rpc.Handle(server, rpc.MethodOfferRecords, s.OfferRecords)
}

// PutTurns answers when the records are synced.
func (s *Store) PutTurns(ctx context.Context, request *tierpb.PutTurnsRequest) (*tierpb.PutTurnsReply, error) {
	for _, turn := range request.Records {
		if !isKey(turn.Id) {
			return nil, errBadRequest
		}
	}
	verdict, err := s.take(ctx, request.Header, writes{records: request.Records, extensions: request.Extensions})
	if err != nil {
		return nil, err
	}
	return &tierpb.PutTurnsReply{Header: verdict}, nil
}

// GetChain answers with the turn and those before it that are held.
func (s *Store) GetChain(_ context.Context, request *tierpb.GetChainRequest) (*tierpb.GetChainReply, error) {
	if !isKey(request.Id) {
		return nil, errBadRequest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict, err := s.verdict(request.Header)
	if err != nil || verdict.Status != tierpb.StoreStatus_STORE_OK {
		return &tierpb.GetChainReply{Header: verdict}, err
	}
	turns, missing := s.view.chain(request.Id)
	return &tierpb.GetChainReply{Header: verdict, Records: turns, Missing: missing}, nil
}

// ReserveBudget merges claims and answers with all of the program when they are synced.
func (s *Store) ReserveBudget(
	ctx context.Context, request *tierpb.ReserveBudgetRequest,
) (*tierpb.BudgetReply, error) {
	if !areClaims(request.Budget) {
		return nil, errBadRequest
	}
	verdict, err := s.take(ctx, request.Header, writes{budgets: []*tierpb.ProgramBudget{request.Budget}})
	if err != nil || verdict.Status != tierpb.StoreStatus_STORE_OK {
		return &tierpb.BudgetReply{Header: verdict}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &tierpb.BudgetReply{Header: verdict, Budget: s.claims(request.Budget.Program)}, nil
}

// ReadBudget answers with all claims of a program.
func (s *Store) ReadBudget(_ context.Context, request *tierpb.ReadBudgetRequest) (*tierpb.BudgetReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict, err := s.verdict(request.Header)
	if err != nil || verdict.Status != tierpb.StoreStatus_STORE_OK {
		return &tierpb.BudgetReply{Header: verdict}, err
	}
	return &tierpb.BudgetReply{Header: verdict, Budget: s.claims(request.Program)}, nil
}

// MoveRecords takes copies that another store hands on.
func (s *Store) MoveRecords(
	ctx context.Context, request *tierpb.MoveRecordsRequest,
) (*tierpb.MoveRecordsReply, error) {
	verdict, err := s.take(ctx, request.Header, writes{request.Records, request.Budgets, request.Extensions})
	if err != nil {
		return nil, err
	}
	return &tierpb.MoveRecordsReply{Header: verdict}, nil
}

// OfferRecords answers with those of the records named that are not held and durable.
func (s *Store) OfferRecords(
	_ context.Context, request *tierpb.OfferRecordsRequest,
) (*tierpb.OfferRecordsReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict, err := s.verdict(request.Header)
	if err != nil || verdict.Status != tierpb.StoreStatus_STORE_OK {
		return &tierpb.OfferRecordsReply{Header: verdict}, err
	}
	reply := &tierpb.OfferRecordsReply{Header: verdict}
	for i, id := range request.Ids {
		if held := s.view.records[id]; held == nil || !s.isDurable(held.batch) {
			reply.Missing = append(reply.Missing, uint32(i))
		}
	}
	return reply, nil
}

// isDurable says whether a batch is synced, or was saved by a merged file after it failed.
func (s *Store) isDurable(in *batch) bool {
	if in == nil {
		return true
	}
	select {
	case <-in.done:
		return in.err == nil || s.journal.usable() == nil
	default:
		return false
	}
}

// claims copies the claims of a program, whose slice may change later; the entries never do.
func (s *Store) claims(name string) *tierpb.ProgramBudget {
	held := s.view.programs[name]
	if held == nil {
		return &tierpb.ProgramBudget{Program: name}
	}
	return budget.Clone(held.budget)
}

func isKey(key string) bool { return key != "" && len(key) <= longestID }

func areClaims(claims *tierpb.ProgramBudget) bool {
	if claims == nil || !isKey(claims.Program) {
		return false
	}
	for _, entry := range claims.Entries {
		if !isKey(entry.Request) {
			return false
		}
	}
	return true
}
