package turnstore

import (
	"context"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// maxKeyBytes bounds the ids of turns and requests and the names of programs.
const maxKeyBytes = 4096

var errBadRequest = eris.New("request has no key or a key that is too long")

// Register registers the store's RPC handlers.
func (s *Store) Register(server *rpc.Server) {
	rpc.Handle(server, rpc.MethodPutTurns, s.PutTurns)
	rpc.Handle(server, rpc.MethodGetChain, s.GetChain)
	rpc.Handle(server, rpc.MethodReserveBudget, s.ReserveBudget)
	rpc.Handle(server, rpc.MethodReadBudget, s.ReadBudget)
	rpc.Handle(server, rpc.MethodTransferRecords, s.TransferRecords)
	rpc.Handle(server, rpc.MethodOfferRecords, s.OfferRecords)
}

// PutTurns stores records and extensions of retention. It returns when all of them are synced.
func (s *Store) PutTurns(ctx context.Context, request *tierpb.PutTurnsRequest) (*tierpb.PutTurnsReply, error) {
	for _, turn := range request.Records {
		if !validKey(turn.Id) {
			return nil, errBadRequest
		}
	}
	header, err := s.commit(ctx, request.Header, writes{records: request.Records, extensions: request.Extensions})
	if err != nil {
		return nil, err
	}
	return &tierpb.PutTurnsReply{Header: header}, nil
}

// GetChain returns a turn and the turns that it continues, as far as they are in the store.
func (s *Store) GetChain(_ context.Context, request *tierpb.GetChainRequest) (*tierpb.GetChainReply, error) {
	if !validKey(request.Id) {
		return nil, errBadRequest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	header, err := s.checkHeader(request.Header)
	if err != nil || header.Status != tierpb.StoreStatus_STORE_OK {
		return &tierpb.GetChainReply{Header: header}, err
	}
	turns, missing := s.state.chain(request.Id)
	return &tierpb.GetChainReply{Header: header, Records: turns, Missing: missing}, nil
}

// ReserveBudget merges claims and returns all claims of the program once the merged ones are synced.
func (s *Store) ReserveBudget(
	ctx context.Context, request *tierpb.ReserveBudgetRequest,
) (*tierpb.BudgetReply, error) {
	if !validClaims(request.Budget) {
		return nil, errBadRequest
	}
	header, err := s.commit(ctx, request.Header, writes{budgets: []*tierpb.ProgramBudget{request.Budget}})
	if err != nil || header.Status != tierpb.StoreStatus_STORE_OK {
		return &tierpb.BudgetReply{Header: header}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &tierpb.BudgetReply{Header: header, Budget: s.claimsOf(request.Budget.Program)}, nil
}

// ReadBudget returns all claims of a program.
func (s *Store) ReadBudget(_ context.Context, request *tierpb.ReadBudgetRequest) (*tierpb.BudgetReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	header, err := s.checkHeader(request.Header)
	if err != nil || header.Status != tierpb.StoreStatus_STORE_OK {
		return &tierpb.BudgetReply{Header: header}, err
	}
	return &tierpb.BudgetReply{Header: header, Budget: s.claimsOf(request.Program)}, nil
}

// TransferRecords stores keys that another store transfers during a rebalance, or extensions of retention that it propagates. It
// returns when they are synced.
func (s *Store) TransferRecords(
	ctx context.Context, request *tierpb.TransferRecordsRequest,
) (*tierpb.TransferRecordsReply, error) {
	header, err := s.commit(ctx, request.Header, writes{request.Records, request.Budgets, request.Extensions})
	if err != nil {
		return nil, err
	}
	if len(request.Records) == 0 {
		s.continuePropagation(request.Extensions)
	}
	return &tierpb.TransferRecordsReply{Header: header}, nil
}

// OfferRecords returns the indexes of the offered records that are not durable in this store.
func (s *Store) OfferRecords(
	_ context.Context, request *tierpb.OfferRecordsRequest,
) (*tierpb.OfferRecordsReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	header, err := s.checkHeader(request.Header)
	if err != nil || header.Status != tierpb.StoreStatus_STORE_OK {
		return &tierpb.OfferRecordsReply{Header: header}, err
	}
	reply := &tierpb.OfferRecordsReply{Header: header}
	for i, id := range request.Ids {
		if existing := s.state.records[id]; existing == nil || !s.isDurable(existing.batch) {
			reply.Missing = append(reply.Missing, uint32(i))
		}
	}
	return reply, nil
}

// claimsOf returns a copy of the claims of a program, because their slice may change later. The caller holds s.mu.
func (s *Store) claimsOf(name string) *tierpb.ProgramBudget {
	existing := s.state.programs[name]
	if existing == nil {
		return &tierpb.ProgramBudget{Program: name}
	}
	return budget.Clone(existing.budget)
}

func validKey(key string) bool { return key != "" && len(key) <= maxKeyBytes }

func validClaims(claims *tierpb.ProgramBudget) bool {
	if claims == nil || !validKey(claims.Program) {
		return false
	}
	for _, entry := range claims.Entries {
		if !validKey(entry.Request) {
			return false
		}
	}
	return true
}
