// Package turns saves and reads the records of conversation turns on the turn stores, for the proxy.
//
// A record is written once, to a write quorum of its replica set, and never changes. Each record names the turn that it
// continues, so a conversation is read by following a chain of records from its last turn. Records that were saved or read
// lately are cached.
package turns

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Errors of the client.
var (
	ErrNotFound  = eris.New("no such turn")
	ErrUncertain = replica.ErrUncertain // no quorum answered in time; a record that was to be saved may be stored
)

// Bounds of the client.
const (
	defaultTimeout    = 2 * time.Second // of a call whose context has no deadline
	defaultCacheBytes = 8 << 20
	maxChainLength    = 10_000
)

// Options of a Client.
type Options = replica.Options

// Client saves and reads turn records. It is safe for concurrent use.
type Client struct {
	replicas       *replica.Client
	cache          *cache
	extensionSlots chan struct{} // holds one value for each extension call in progress
}

// NewClient returns a client. If Options.CacheBytes is not positive, the cache is bounded by defaultCacheBytes.
func NewClient(options Options) *Client {
	if options.CacheBytes <= 0 {
		options.CacheBytes = defaultCacheBytes
	}
	return &Client{
		replicas:       replica.NewClient(options),
		cache:          newCache(options.CacheBytes),
		extensionSlots: make(chan struct{}, maxConcurrentExtensions),
	}
}

// Ready returns whether any turn store is known. Before that nothing can be saved.
func (c *Client) Ready() bool { return len(c.replicas.Membership().GetCurrent()) > 0 }

// Save stores a record. When it returns nil, the record is synced on a write quorum, so that the loss of as many machines
// as are tolerated does not lose it. It returns ErrUncertain otherwise.
func (c *Client) Save(ctx context.Context, record *tierpb.TurnRecord) error {
	ctx, cancel := replica.WithDefaultTimeout(ctx, defaultTimeout)
	defer cancel()
	_, err := replica.CallQuorum(ctx, c.replicas, replica.Operation[*tierpb.PutTurnsReply]{
		Key:    record.Id,
		Quorum: replica.WriteQuorum,
		Call: func(ctx context.Context, address string, header *tierpb.StoreRequestHeader) (*tierpb.PutTurnsReply, error) {
			request := &tierpb.PutTurnsRequest{Header: header, Records: []*tierpb.TurnRecord{record}}
			reply := &tierpb.PutTurnsReply{}
			return reply, c.replicas.Caller().Call(ctx, address, rpc.MethodPutTurns, request, reply)
		},
	})
	if err != nil {
		return err
	}
	c.cache.put(record)
	c.extend(record)
	return nil
}

// Chain returns a turn and all turns that it continues, oldest first. It returns ErrNotFound if there is no such turn, and
// ErrUncertain if no quorum answered or a part of the chain cannot be read now.
func (c *Client) Chain(ctx context.Context, id string) ([]*tierpb.TurnRecord, error) {
	ctx, cancel := replica.WithDefaultTimeout(ctx, defaultTimeout)
	defer cancel()
	var chain []*tierpb.TurnRecord
	for next := id; next != "" && len(chain) < maxChainLength; {
		if cached := c.cache.get(next); cached != nil {
			chain = append(chain, cached)
			next = cached.Previous
			continue
		}
		found, err := c.read(ctx, next)
		switch {
		case err != nil:
			return nil, err
		case len(found) == 0 && len(chain) == 0:
			return nil, ErrNotFound
		case len(found) == 0:
			return nil, ErrUncertain
		}
		chain = append(chain, found...)
		next = found[len(found)-1].Previous
	}
	slices.Reverse(chain)
	return chain, nil
}

// read reads a turn and the turns before it that the same store has, newest first. It returns none if a read quorum does
// not have the turn.
func (c *Client) read(ctx context.Context, id string) ([]*tierpb.TurnRecord, error) {
	var found []*tierpb.TurnRecord
	_, err := replica.CallQuorum(ctx, c.replicas, replica.Operation[*tierpb.GetChainReply]{
		Key:              id,
		Quorum:           replica.ReadQuorum,
		SingleMembership: true,
		Call: func(ctx context.Context, address string, header *tierpb.StoreRequestHeader) (*tierpb.GetChainReply, error) {
			request := &tierpb.GetChainRequest{Header: header, Id: id}
			reply := &tierpb.GetChainReply{}
			return reply, c.replicas.Caller().Call(ctx, address, rpc.MethodGetChain, request, reply)
		},
		OnReply: func(reply *tierpb.GetChainReply) bool {
			found = linkedPrefix(reply.Records, id)
			return len(found) > 0
		},
	})
	for _, record := range found {
		c.cache.put(record)
	}
	return found, err
}

// linkedPrefix returns the records from the one with the given id on, as far as each continues the next.
func linkedPrefix(records []*tierpb.TurnRecord, id string) []*tierpb.TurnRecord {
	for i, record := range records {
		if record.Id != id {
			return records[:i]
		}
		id = record.Previous
		if id == "" {
			return records[:i+1]
		}
	}
	return records
}
