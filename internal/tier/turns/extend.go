package turns

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Limits of retention extensions.
const (
	extensionTimeout        = 3 * time.Second
	maxConcurrentExtensions = 64 // calls in progress; further extensions are dropped
	// extensionMargin is how long past its retention a record is assumed to be kept. Stores keep records for a grace period of
	// a minute, so this is on the safe side.
	extensionMargin = 20 * time.Second
)

// extendRetention extends the retention of all turns before a saved turn to that of the saved turn, so that a conversation is
// kept as long as its last turn. Stores extend it themselves if they hold both records, and keep each record for a grace
// period past its retention, so calls are needed only for conversations that go on for longer than that. It does not wait for
// the calls.
func (c *Client) extendRetention(last *tierpb.TurnRecord) {
	expiresUnixMs := last.EndedUnixMs + int64(last.RetentionMs)
	ids := c.expiringBefore(last, expiresUnixMs)
	if len(ids) == 0 {
		return
	}
	for address, request := range c.extensionRequests(ids, expiresUnixMs+extensionMargin.Milliseconds()) {
		select {
		case c.extensionSlots <- struct{}{}:
		default:
			return
		}
		go func() {
			defer func() { <-c.extensionSlots }()
			ctx, cancel := context.WithTimeout(context.Background(), extensionTimeout)
			defer cancel()
			_ = c.replicas.Caller().Call(ctx, address, rpc.MethodPutTurns, request, &tierpb.PutTurnsReply{})
		}()
	}
}

// expiringBefore returns the ids of the turns before the last one whose retention plus extensionMargin ends before the given
// time in Unix milliseconds. It follows the chain only as far as it is cached.
func (c *Client) expiringBefore(last *tierpb.TurnRecord, unixMs int64) []string {
	var ids []string
	for id := last.Previous; id != "" && len(ids) < maxChainLength; {
		record := c.cache.get(id)
		if record == nil {
			break
		}
		if record.EndedUnixMs+int64(record.RetentionMs)+extensionMargin.Milliseconds() < unixMs {
			ids = append(ids, id)
		}
		id = record.Previous
	}
	return ids
}

// extensionRequests returns a request for each member of the turns' replica sets, keyed by the member's address.
func (c *Client) extensionRequests(ids []string, untilUnixMs int64) map[string]*tierpb.PutTurnsRequest {
	membership := c.replicas.Membership()
	requests := make(map[string]*tierpb.PutTurnsRequest)
	for _, id := range ids {
		extension := &tierpb.RetentionExtension{Id: id, UntilUnixMs: untilUnixMs}
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
