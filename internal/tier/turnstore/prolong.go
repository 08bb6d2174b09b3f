package turnstore

import (
	"context"
	"slices"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// extension says how long a record is kept where that is longer than it tells itself; else nil.
func (c *copies) extension() *tierpb.RetentionExtension {
	if c.record == nil || c.record.until <= keptUntil(c.record.turn) {
		return nil
	}
	return &tierpb.RetentionExtension{Id: c.key.name, UntilUnixMs: c.record.until}
}

// prolong tells members that had records before how long they are kept: one that missed an extension would drop its
// copy while the others count on it.
func (p *pass) prolong(ctx context.Context, all []*copies) error {
	byMember := make(map[uint64][]*copies)
	for _, known := range all {
		for _, identity := range known.toProlong {
			byMember[identity] = append(byMember[identity], known)
		}
	}
	return p.each(byMember, func(member *tierpb.Node, asked []*copies) (func(), error) {
		request := &tierpb.MoveRecordsRequest{Header: p.header(member)}
		for _, known := range asked {
			request.Extensions = append(request.Extensions, known.extension())
		}
		reply := &tierpb.MoveRecordsReply{}
		err := p.call(ctx, member, rpc.MethodMoveRecords, request, reply)
		ok, err := p.judge(reply.Header, err)
		return func() { noteProlonged(member, asked, ok) }, err
	})
}

// noteProlonged takes a member off the lists: it knows, or it does not answer and is no holder to count on.
func noteProlonged(member *tierpb.Node, asked []*copies, ok bool) {
	isMember := func(identity uint64) bool { return identity == member.Identity }
	for _, known := range asked {
		known.toProlong = slices.DeleteFunc(known.toProlong, isMember)
		if !ok {
			known.holders = slices.DeleteFunc(known.holders, isMember)
		}
	}
}
