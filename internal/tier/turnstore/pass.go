package turnstore

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Bounds of a pass.
const (
	keysInPart     = 512       // looked at together
	bytesInCall    = 256 << 10 // about, of one call
	moveTimeout    = 2 * time.Second
	pauseOfParts   = 10 * time.Millisecond // between parts, for calls that wait
	pauseOfFailure = 200 * time.Millisecond
)

var errMembershipOlder = eris.New("another store knows a newer membership")

// pass hands on what the store holds when the members have changed: in the end all of it is synced on a write
// quorum of its replica set among the new members. Keys whose replica set is the same stay where they are.
type pass struct {
	store      *Store
	caller     rpc.Caller
	tolerance  int
	membership *tierpb.StoreMembership
	faults     *failpoint.Points
	after      func(time.Duration) <-chan time.Time

	handed int // keys that were sent to members and synced there, each time counted
	bytes  int // about, of these
}

// key is a record or a program that is to be handed on.
type key struct {
	name    string
	program bool
	rank    uint64
}

// run returns nil when all that was held when the membership was learnt is handed on.
func (p *pass) run(ctx context.Context) error {
	left := p.keys()
	for len(left) > 0 {
		var failed []key
		for part := range slices.Chunk(left, keysInPart) {
			short, err := p.part(ctx, part)
			if err != nil {
				return err
			}
			failed = append(failed, short...)
			if err := p.faults.At(pointMoved); err != nil {
				return err
			}
			if err := p.pause(ctx, pauseOfParts); err != nil {
				return err
			}
		}
		left = failed
		if len(left) > 0 {
			if err := p.pause(ctx, pauseOfFailure); err != nil {
				return err
			}
		}
	}
	return p.faults.At(pointPassDone)
}

func (p *pass) pause(ctx context.Context, wait time.Duration) error {
	select {
	case <-p.after(wait):
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// keys lists all whose replica set has changed, in an order that differs from store to store, so that two stores
// seldom hand on the same record.
func (p *pass) keys() []key {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	var moved []key
	add := func(name string, program bool) {
		if sets := replica.Sets(p.membership, name, p.tolerance); !replica.SameMembers(sets[0], sets[1]) {
			moved = append(moved, key{name, program, replica.Score(replica.Hash(name), p.store.identity)})
		}
	}
	for id := range p.store.view.records {
		add(id, false)
	}
	for name := range p.store.view.programs {
		add(name, true)
	}
	slices.SortFunc(moved, func(a, b key) int {
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	return moved
}

// part hands on some keys and returns those that not enough members have.
func (p *pass) part(ctx context.Context, keys []key) ([]key, error) {
	copies := make([]*copies, 0, len(keys))
	for _, moved := range keys {
		if known := p.look(moved); known != nil {
			copies = append(copies, known)
		}
	}
	if err := p.offer(ctx, copies); err != nil {
		return nil, err
	}
	if err := p.hand(ctx, copies); err != nil {
		return nil, err
	}
	if err := p.prolong(ctx, copies); err != nil {
		return nil, err
	}
	var short []key
	for _, known := range copies {
		if known.lacks() > 0 {
			short = append(short, known.key)
		}
	}
	return short, nil
}

// copies is what a pass knows of the copies of one key.
type copies struct {
	key       key
	record    *record
	claims    *tierpb.ProgramBudget
	set       []*tierpb.Node
	quorum    int
	holders   []uint64
	unhelpful []uint64 // members that did not answer
	toProlong []uint64 // holders that had the record before, and may not know how long it is kept
}

func (c *copies) lacks() int { return c.quorum - len(c.holders) }

func (c *copies) size() int {
	if c.record != nil {
		return recordBytes(c.record.turn)
	}
	return budgetOverhead + entryOverhead*len(c.claims.Entries)
}

// targets are the members to hand a key to, as many as are lacking.
func (c *copies) targets() []*tierpb.Node {
	var chosen []*tierpb.Node
	for _, member := range c.set {
		if len(chosen) >= c.lacks() {
			break
		}
		if !slices.Contains(c.holders, member.Identity) && !slices.Contains(c.unhelpful, member.Identity) {
			chosen = append(chosen, member)
		}
	}
	return chosen
}

// look copies what the store holds of a key, nil where it was dropped meanwhile.
func (p *pass) look(moved key) *copies {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	known := &copies{key: moved, set: replica.Sets(p.membership, moved.name, p.tolerance)[0]}
	known.quorum = replica.WriteQuorum(p.tolerance, len(known.set))
	var in *batch
	if moved.program {
		held := p.store.view.programs[moved.name]
		if held == nil {
			return nil
		}
		known.claims, in = budget.Clone(held.budget), held.batch
	} else {
		held := p.store.view.records[moved.name]
		if held == nil {
			return nil
		}
		copied := *held
		known.record, in = &copied, held.batch
	}
	if replica.Contains(known.set, p.store.identity) && p.store.isDurable(in) {
		known.holders = append(known.holders, p.store.identity)
	}
	return known
}

// offer finds out which members have records already.
func (p *pass) offer(ctx context.Context, all []*copies) error {
	byMember := make(map[uint64][]*copies)
	for _, known := range all {
		if known.record == nil || known.lacks() <= 0 {
			continue
		}
		for _, member := range known.set {
			if member.Identity != p.store.identity {
				byMember[member.Identity] = append(byMember[member.Identity], known)
			}
		}
	}
	return p.each(byMember, func(member *tierpb.Node, asked []*copies) (func(), error) {
		request := &tierpb.OfferRecordsRequest{Header: p.header(member)}
		for _, known := range asked {
			request.Ids = append(request.Ids, known.key.name)
		}
		reply := &tierpb.OfferRecordsReply{}
		err := p.call(ctx, member, rpc.MethodOfferRecords, request, reply)
		ok, err := p.judge(reply.Header, err)
		return func() { noteOffer(member, asked, reply.Missing, ok) }, err
	})
}

func noteOffer(member *tierpb.Node, asked []*copies, lacking []uint32, ok bool) {
	for i, known := range asked {
		switch {
		case !ok:
			known.unhelpful = append(known.unhelpful, member.Identity)
		case !slices.Contains(lacking, uint32(i)):
			known.holders = append(known.holders, member.Identity)
			if known.extension() != nil {
				known.toProlong = append(known.toProlong, member.Identity)
			}
		}
	}
}

// hand sends keys to members until each has its quorum or no member is left to try.
func (p *pass) hand(ctx context.Context, all []*copies) error {
	for {
		byMember := make(map[uint64][]*copies)
		for _, known := range all {
			for _, member := range known.targets() {
				byMember[member.Identity] = append(byMember[member.Identity], known)
			}
		}
		if len(byMember) == 0 {
			return nil
		}
		err := p.each(byMember, func(member *tierpb.Node, sent []*copies) (func(), error) {
			done, err := p.send(ctx, member, sent)
			return func() { p.noteSent(member, sent, done) }, err
		})
		if err != nil {
			return err
		}
	}
}

func (p *pass) noteSent(member *tierpb.Node, sent []*copies, done int) {
	for i, known := range sent {
		if i < done {
			known.holders = append(known.holders, member.Identity)
			p.handed++
			p.bytes += known.size()
			continue
		}
		known.unhelpful = append(known.unhelpful, member.Identity)
	}
}

// send hands keys to one member in calls of bounded size and returns how many it has synced.
func (p *pass) send(ctx context.Context, member *tierpb.Node, sent []*copies) (int, error) {
	done := 0
	for done < len(sent) {
		request := &tierpb.MoveRecordsRequest{Header: p.header(member)}
		count := fill(request, sent[done:])
		reply := &tierpb.MoveRecordsReply{}
		err := p.call(ctx, member, rpc.MethodMoveRecords, request, reply)
		ok, err := p.judge(reply.Header, err)
		if err != nil || !ok {
			return done, err
		}
		done += count
	}
	return done, nil
}

// fill puts keys into a request until it is large enough, and returns how many.
func fill(request *tierpb.MoveRecordsRequest, from []*copies) int {
	bytes := 0
	for i, known := range from {
		if i > 0 && bytes+known.size() > bytesInCall {
			return i
		}
		bytes += known.size()
		if known.claims != nil {
			request.Budgets = append(request.Budgets, known.claims)
			continue
		}
		request.Records = append(request.Records, known.record.turn)
		if extension := known.extension(); extension != nil {
			request.Extensions = append(request.Extensions, extension)
		}
	}
	return len(from)
}

// each calls members at the same time; what they return to note is run one after the other.
func (p *pass) each(
	byMember map[uint64][]*copies, call func(*tierpb.Node, []*copies) (note func(), err error),
) error {
	var calls sync.WaitGroup
	var mu sync.Mutex
	var notes []func()
	var failure error
	for _, member := range p.membership.Current {
		asked := byMember[member.Identity]
		if len(asked) == 0 {
			continue
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			note, err := call(member, asked)
			mu.Lock()
			defer mu.Unlock()
			notes = append(notes, note)
			if err != nil {
				failure = err
			}
		}()
	}
	calls.Wait()
	for _, note := range notes {
		note()
	}
	return failure
}

func (p *pass) header(member *tierpb.Node) *tierpb.StoreRequestHeader {
	return &tierpb.StoreRequestHeader{Identity: member.Identity, Epoch: p.membership.Epoch}
}

func (p *pass) call(ctx context.Context, member *tierpb.Node, method rpc.Method, request, reply rpc.Message) error {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	return p.caller.Call(ctx, member.Address, method, request, reply)
}

// judge says whether a call was served; an error ends the pass.
func (p *pass) judge(verdict *tierpb.StoreReplyHeader, err error) (bool, error) {
	if err != nil {
		return false, nil
	}
	if verdict.GetStatus() == tierpb.StoreStatus_STORE_STALE_EPOCH {
		return false, errMembershipOlder
	}
	return verdict.GetStatus() == tierpb.StoreStatus_STORE_OK, nil
}
