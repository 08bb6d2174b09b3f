package turns

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/metrics"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/retention"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Limits of retention extensions.
const (
	extensionTimeout        = 3 * time.Second
	maxConcurrentExtensions = 64 // calls in progress; further extensions are dropped
)

// Results of extension calls in the metric.
const (
	extensionAcked       = "acked"
	extensionFailed      = "failed"       // no reply in time
	extensionRejected    = "rejected"     // the store did not write it
	extensionNoSlot      = "no_slot"      // not sent: maxConcurrentExtensions calls were in progress
	extensionPartOfChain = "chain_partly" // no call: the chain was not cached as a whole, so some turns are not extended
)

var extensionResults = metrics.NewCounterVec("proxy_retention_extensions_total",
	"Calls to turn stores that extend the retention of the turns before a saved turn, by result.", "result")

// extendRetention extends the retention of all turns before a saved turn to that of the saved turn, so that a conversation is
// kept as long as its last turn. Stores extend it themselves if they hold both records, and keep each record for a grace
// period past its retention, so calls are needed only for conversations that go on for longer than that. It does not wait for
// the calls.
func (c *Client) extendRetention(last *tierpb.TurnRecord) {
	untilUnixMs := retention.ChainEnd(last)
	ids := c.expiringBefore(last, retention.End(last))
	if len(ids) == 0 {
		return
	}
	for address, request := range c.extensionRequests(ids, untilUnixMs) {
		select {
		case c.extensionSlots <- struct{}{}:
		default:
			extensionResults.Inc(extensionNoSlot)
			continue
		}
		c.extensions.Go(func() {
			defer func() { <-c.extensionSlots }()
			extensionResults.Inc(c.callExtension(address, request))
		})
	}
}

// Wait waits until all extension calls in progress have ended.
func (c *Client) Wait() { c.extensions.Wait() }

// callExtension sends an extension to a store and returns the result for the metric.
func (c *Client) callExtension(address string, request *tierpb.PutTurnsRequest) string {
	ctx, cancel := context.WithTimeout(context.Background(), extensionTimeout)
	defer cancel()
	reply := &tierpb.PutTurnsReply{}
	switch err := c.replicas.Caller().Call(ctx, address, rpc.MethodPutTurns, request, reply); {
	case err != nil:
		return extensionFailed
	case reply.Header.GetStatus() != tierpb.StoreStatus_STORE_OK:
		return extensionRejected
	}
	return extensionAcked
}

// expiringBefore returns the ids of the turns before the last one that are not certain to be kept until the given time in Unix
// milliseconds. It follows the chain only as far as it is cached. Stores keep a record for longer than is assumed here.
func (c *Client) expiringBefore(last *tierpb.TurnRecord, unixMs int64) []string {
	var ids []string
	for id := last.Previous; id != "" && len(ids) < maxChainLength; {
		record := c.cache.get(id)
		if record == nil {
			extensionResults.Inc(extensionPartOfChain)
			break
		}
		if retention.ChainEnd(record) < unixMs {
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
		for _, member := range replica.Members(membership, id, c.replicas.Tolerance()) {
			request := requests[member.Address]
			if request == nil {
				header := &tierpb.StoreRequestHeader{Identity: member.Identity, Epoch: membership.GetEpoch()}
				request = &tierpb.PutTurnsRequest{Header: header}
				requests[member.Address] = request
			}
			request.Extensions = append(request.Extensions, extension)
		}
	}
	return requests
}
