// Package turns is the proxy's client for saving and reading records of conversation turns on the turn stores.
//
// A record is written once, to a write quorum of its replica set, and never changes. Each record names the turn that it
// continues, so a conversation is read by following the chain of records back from its last turn. Recently saved or read
// records are cached.
package turns

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Errors of a Client.
var (
	// ErrNotFound means that the turn does not exist.
	ErrNotFound = eris.New("no such turn")
	// ErrUncertain means that no quorum answered in time. A record passed to Save may still be stored.
	ErrUncertain = replica.ErrUncertain
)

// Limits of a Client.
const (
	defaultTimeout    = 2 * time.Second // of a call whose context has no deadline
	defaultCacheBytes = 8 << 20
	maxChainLength    = 10_000 // records
)

// Options are the options of a Client.
type Options = replica.Options

// Client saves and reads turn records. It is safe for concurrent use.
type Client struct {
	replicas       *replica.Client
	cache          *cache
	extensionSlots chan struct{} // holds one value for each extension call in progress
	extensions     sync.WaitGroup
}

// NewClient returns a client. If Options.CacheBytes is not positive, defaultCacheBytes applies.
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

// Ready returns whether any turn store is known. Until then no turn can be saved.
func (c *Client) Ready() bool { return len(c.replicas.Membership().GetCurrent()) > 0 }

// Save stores a record. If it returns nil, the record is synced to disk on a write quorum, so it survives the loss of as many
// machines as the configured tolerance. It returns ErrUncertain otherwise.
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
	c.extendRetention(record)
	return nil
}

// Chain returns a turn and all turns before it in the conversation, oldest first. It returns ErrNotFound if the turn does not
// exist, and ErrUncertain if no quorum answered or a part of the chain cannot be read now.
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

// read reads a turn and the turns before it that the same store holds, newest first. It returns none if no member of a read
// quorum has the turn.
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

// linkedPrefix returns the longest prefix of the records that is a chain: the first record has the given id, and each record
// continues the one that follows it in the slice.
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
