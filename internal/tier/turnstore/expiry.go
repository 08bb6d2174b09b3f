package turnstore

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Timing and limits of expiry.
const (
	expiryInterval             = 5 * time.Second // between two checks; members repeat extensions every propagationRetry
	expiryCallTimeout          = time.Second     // of one call
	maxProgramsPerExpiry       = 256             // programs whose replicas are asked in one check
	noContact            int64 = 0               // of Expirer.contactUnixMs
)

// Expirer removes the records and programs of a store that have expired.
//
// A store that was down, frozen or partitioned may have missed that a record must be kept for longer. So what expires is
// removed only after two checks in a row, between which the other members can send what they have to send (see
// RetentionPropagator), have found all of them reachable. Without contact nothing is removed unless the store is full.
type Expirer struct {
	Store     *Store
	Caller    rpc.Caller
	Tolerance int // number of machines that may fail at the same time

	contactUnixMs int64 // time of the last check if all members were reachable then, else noContact
}

// Run removes what has expired until ctx ends.
func (e *Expirer) Run(ctx context.Context) {
	for {
		select {
		case <-e.Store.options.After(expiryInterval):
			e.check(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// check removes what had expired at the last check, if all members are reachable and were so then.
func (e *Expirer) check(ctx context.Context) {
	now := e.Store.options.Now().UnixMilli()
	if !e.Store.extendAndFindExpired(now) {
		e.contactUnixMs = now // there is nothing that an extension could still keep
		return
	}
	lastContact := e.contactUnixMs
	e.contactUnixMs = noContact
	membership, _ := e.Store.Membership()
	if len(membership.GetCurrent()) == 0 || !e.reachesAll(ctx, replica.Union(membership.Current, membership.Previous)) {
		return
	}
	e.contactUnixMs = now
	if lastContact == noContact {
		return
	}
	e.Store.removeExpiredRecords(lastContact)
	e.expirePrograms(ctx, membership, lastContact)
}

// reachesAll returns whether all other members answer.
func (e *Expirer) reachesAll(ctx context.Context, members []*tierpb.Node) bool {
	var calls sync.WaitGroup
	answered := make([]bool, len(members))
	for i, member := range members {
		if member.Identity == e.Store.identity {
			answered[i] = true
			continue
		}
		calls.Go(func() {
			answered[i] = e.call(ctx, member, rpc.MethodPing, &tierpb.PingRequest{}, &tierpb.PingReply{}) == nil
		})
	}
	calls.Wait()
	for _, ok := range answered {
		if !ok {
			return false
		}
	}
	return true
}

func (e *Expirer) call(ctx context.Context, member *tierpb.Node, method rpc.Method, request, reply rpc.Message) error {
	ctx, cancel := context.WithTimeout(ctx, expiryCallTimeout)
	defer cancel()
	return e.Caller.Call(ctx, member.Address, method, request, reply)
}

// expirePrograms removes the programs that were not used for budgetRetention at any replica. Claims are written to a quorum, so
// this store may not have seen the last ones.
func (e *Expirer) expirePrograms(ctx context.Context, membership *tierpb.StoreMembership, unixMs int64) {
	for _, program := range e.Store.expiredPrograms(unixMs, maxProgramsPerExpiry) {
		for _, member := range replica.Members(membership, program, e.Tolerance) {
			if member.Identity == e.Store.identity {
				continue
			}
			if !e.mergeClaims(ctx, membership.Epoch, member, program) {
				return
			}
		}
		e.Store.removeProgramIfExpired(program, unixMs)
	}
}

// mergeClaims merges the claims of a program at another replica into those of this store, with the time of the last use. It
// returns false if the replica did not answer or the result is not durable.
func (e *Expirer) mergeClaims(ctx context.Context, epoch uint64, member *tierpb.Node, program string) bool {
	request := &tierpb.ReadBudgetRequest{
		Header: &tierpb.StoreRequestHeader{Identity: member.Identity, Epoch: epoch}, Program: program,
	}
	reply := &tierpb.BudgetReply{}
	err := e.call(ctx, member, rpc.MethodReadBudget, request, reply)
	if err != nil || reply.Header.GetStatus() != tierpb.StoreStatus_STORE_OK {
		return false
	}
	if len(reply.Budget.GetEntries()) == 0 {
		return true
	}
	own := &tierpb.StoreRequestHeader{Identity: e.Store.identity, Epoch: epoch}
	header, err := e.Store.commit(ctx, own, writes{budgets: []*tierpb.ProgramBudget{reply.Budget}})
	return err == nil && header.Status == tierpb.StoreStatus_STORE_OK
}

// extendAndFindExpired extends the chains and returns whether anything has expired.
func (s *Store) extendAndFindExpired(unixMs int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.extendChains()
	return s.state.hasExpired(unixMs)
}

// removeExpiredRecords removes the records that had expired at a time.
func (s *Store) removeExpiredRecords(unixMs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.extendChains()
	s.state.removeExpiredRecords(unixMs)
}

// expiredPrograms returns the names of programs that had expired at a time, up to a maximum.
func (s *Store) expiredPrograms(unixMs int64, maximum int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, existing := range s.state.programs {
		if len(names) == maximum {
			break
		}
		if existing.hasExpired(unixMs) {
			names = append(names, name)
		}
	}
	return names
}

// removeProgramIfExpired removes a program unless it was used meanwhile.
func (s *Store) removeProgramIfExpired(name string, unixMs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing := s.state.programs[name]; existing != nil && existing.hasExpired(unixMs) {
		s.state.removeProgram(name, existing)
	}
}
