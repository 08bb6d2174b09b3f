package turns

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Bounds of extensions of retention.
const (
	extendTimeout           = 3 * time.Second
	maxConcurrentExtensions = 64 // calls; further extensions are dropped
	// extensionMargin is how much longer than their own retention records count as kept. It is less than the grace
	// period of a minute that stores add.
	extensionMargin = 20 * time.Second
)

// extend extends the retention of the turns that a saved turn continues to that of the saved turn, so that a conversation
// is kept as long as its last turn. Stores do this themselves for the records that they hold together, and keep every
// record for some time past its retention, so only chains that grow for longer than that need calls. It does not wait for
// the calls.
func (c *Client) extend(last *tierpb.TurnRecord) {
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
			ctx, cancel := context.WithTimeout(context.Background(), extendTimeout)
			defer cancel()
			_ = c.replicas.Caller().Call(ctx, address, rpc.MethodPutTurns, request, &tierpb.PutTurnsReply{})
		}()
	}
}

// expiringBefore returns the ids of the turns before the last one whose own retention, with the margin, ends before the
// given time in Unix milliseconds; as far as they are in the cache.
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

// extensionRequests returns a request for each member of the turns' replica sets, by address.
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
