// Package turns keeps and finds the records of turns on the turn stores, for the proxy.
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
	ErrUncertain = replica.ErrUncertain // too few stores answered: nothing is known
)

// Bounds of the client.
const (
	defaultTimeout    = 2 * time.Second // of a call whose context has no deadline
	defaultCacheBytes = 8 << 20
	longestChain      = 10_000
)

// Options of a Client.
type Options = replica.Options

// Client saves and reads turn records. It is safe for concurrent use.
type Client struct {
	replicas  *replica.Client
	cache     *cache
	extending chan struct{} // one for each extension under way
}

// NewClient makes a client.
func NewClient(options Options) *Client {
	if options.CacheBytes <= 0 {
		options.CacheBytes = defaultCacheBytes
	}
	replicas := replica.NewClient(options)
	return &Client{
		replicas:  replicas,
		cache:     newCache(options.CacheBytes),
		extending: make(chan struct{}, mostExtensions),
	}
}

// Ready says whether any turn store is known: before that nothing can be saved.
func (c *Client) Ready() bool { return len(c.replicas.Membership().GetCurrent()) > 0 }

// Save returns nil when the record is synced on enough stores that no loss within tolerance loses it.
func (c *Client) Save(ctx context.Context, record *tierpb.TurnRecord) error {
	ctx, cancel := bounded(ctx)
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

// Chain returns the turn and all before it, oldest first. ErrNotFound says that there is no such turn;
// ErrUncertain that this can't be told, or that a part of the chain can't be had now.
func (c *Client) Chain(ctx context.Context, id string) ([]*tierpb.TurnRecord, error) {
	ctx, cancel := bounded(ctx)
	defer cancel()
	var chain []*tierpb.TurnRecord
	for next := id; next != "" && len(chain) < longestChain; {
		if known := c.cache.get(next); known != nil {
			chain = append(chain, known)
			next = known.Previous
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

// read asks for a turn and those before it that one store has, newest first; none when a quorum lacks it.
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
			found = linked(reply.Records, id)
			return len(found) > 0
		},
	})
	for _, record := range found {
		c.cache.put(record)
	}
	return found, err
}

// linked returns the records as far as each is the one before the last.
func linked(records []*tierpb.TurnRecord, id string) []*tierpb.TurnRecord {
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

func bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, has := ctx.Deadline(); has {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultTimeout)
}
