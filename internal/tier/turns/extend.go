package turns

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Bounds of extensions.
const (
	extendTimeout  = 3 * time.Second
	mostExtensions = 64               // calls under way at once
	marginOfKeep   = 20 * time.Second // stores keep a record for a minute longer than its retention
)

// extend has the turns that a saved one goes on from kept as long as it is: a chain is kept with its last turn.
// Stores do this for what they hold together, and keep every record for some time past its retention, so that only
// chains that grow for longer need calls. It returns at once.
func (c *Client) extend(last *tierpb.TurnRecord) {
	until := last.EndedUnixMs + int64(last.RetentionMs)
	due := c.dueBefore(last, until)
	if len(due) == 0 {
		return
	}
	for address, request := range c.extensions(due, until+marginOfKeep.Milliseconds()) {
		select {
		case c.extending <- struct{}{}:
		default:
			return
		}
		go func() {
			defer func() { <-c.extending }()
			ctx, cancel := context.WithTimeout(context.Background(), extendTimeout)
			defer cancel()
			_ = c.replicas.Caller().Call(ctx, address, rpc.MethodPutTurns, request, &tierpb.PutTurnsReply{})
		}()
	}
}

// dueBefore lists the turns before the last whose own retention, with the margin, ends before a time.
func (c *Client) dueBefore(last *tierpb.TurnRecord, until int64) []string {
	var due []string
	for id := last.Previous; id != "" && len(due) < longestChain; {
		known := c.cache.get(id)
		if known == nil {
			break
		}
		if known.EndedUnixMs+int64(known.RetentionMs)+marginOfKeep.Milliseconds() < until {
			due = append(due, id)
		}
		id = known.Previous
	}
	return due
}

// extensions makes one request for each member of the replica sets.
func (c *Client) extensions(ids []string, until int64) map[string]*tierpb.PutTurnsRequest {
	membership := c.replicas.Membership()
	requests := make(map[string]*tierpb.PutTurnsRequest)
	for _, id := range ids {
		extension := &tierpb.RetentionExtension{Id: id, UntilUnixMs: until}
		for _, set := range replica.Sets(membership, id, c.replicas.Tolerance()) {
			for _, member := range set {
				request := requests[member.Address]
				if request == nil {
					header := &tierpb.StoreRequestHeader{Identity: member.Identity, Epoch: membership.GetEpoch()}
					request = &tierpb.PutTurnsRequest{Header: header}
					requests[member.Address] = request
				}
				request.Extensions = append(request.Extensions, extension)
			}
		}
	}
	return requests
}
