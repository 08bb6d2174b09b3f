package coordinator

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// isolate blocks or unblocks all calls between a machine and the others.
func (c *cluster) isolate(name string, blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.machines {
		c.blocked[[2]string{name, other}] = blocked && other != name
		c.blocked[[2]string{other, name}] = blocked && other != name
	}
}

// setBlocked blocks or unblocks messages from one machine to another.
func (c *cluster) setBlocked(from, to string, blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked[[2]string{from, to}] = blocked
}

func (c *cluster) isBlocked(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blocked[[2]string{from, to}]
}

// caller is the rpc.Caller of one machine.
type caller struct{ from *machine }

const callDelay = time.Millisecond

func (c *caller) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	cluster := c.from.cluster
	<-time.After(time.Duration(cluster.delay.Load()))
	to := cluster.machineAt(address)
	if to == nil || cluster.isBlocked(c.from.name, to.name) {
		<-ctx.Done()
		return rpc.ErrTimeout
	}
	p := cluster.process(to.name)
	if p == nil {
		return rpc.ErrUnreachable
	}
	payload := encode(request)
	cluster.transfer(c.from, to, len(payload))
	answer, err := p.dispatch(ctx, method, payload)
	if ctx.Err() != nil || cluster.isBlocked(to.name, c.from.name) {
		<-ctx.Done()
		return rpc.ErrTimeout
	}
	if cluster.process(to.name) != p {
		return rpc.ErrUnreachable
	}
	if err != nil {
		return rpc.ErrRejected
	}
	payload = encode(answer)
	cluster.transfer(to, c.from, len(payload))
	if ctx.Err() != nil {
		return rpc.ErrTimeout
	}
	cluster.mu.Lock()
	cluster.calls[method]++
	cluster.mu.Unlock()
	return reply.UnmarshalVT(payload)
}

// transfer waits until a message has passed the links of both machines. Each link carries one message at a time per direction.
func (c *cluster) transfer(from, to *machine, size int) {
	c.mu.Lock()
	to.received += size
	if c.rate == 0 {
		c.mu.Unlock()
		return
	}
	start := time.Now()
	for _, free := range []time.Time{from.outboundBusyUntil, to.inboundBusyUntil} {
		if free.After(start) {
			start = free
		}
	}
	end := start.Add(time.Duration(size) * time.Second / time.Duration(c.rate))
	from.outboundBusyUntil, to.inboundBusyUntil = end, end
	c.mu.Unlock()
	<-time.After(time.Until(end))
}

func (c *cluster) machineAt(address string) *machine {
	for _, m := range c.machines {
		if m.address == address {
			return m
		}
	}
	return nil
}

func encode(message rpc.Message) []byte {
	payload := make([]byte, message.SizeVT())
	if _, err := message.MarshalToSizedBufferVT(payload); err != nil {
		panic(err)
	}
	return payload
}

// dispatch passes a call to its handler.
func (p *process) dispatch(ctx context.Context, method rpc.Method, payload []byte) (rpc.Message, error) {
	switch method {
	case rpc.MethodPrepare:
		return p.acceptor.Prepare(decode(&tierpb.PrepareRequest{}, payload)), nil
	case rpc.MethodAccept:
		return p.acceptor.Accept(decode(&tierpb.AcceptRequest{}, payload)), nil
	case rpc.MethodLease:
		return p.lessor.Handle(decode(&tierpb.LeaseRequest{}, payload)), nil
	case rpc.MethodWatch:
		return p.membership.HandleWatch(ctx, decode(&tierpb.WatchRequest{}, payload))
	case rpc.MethodAnnounce:
		return p.announcer.HandleAnnounce(ctx, decode(&tierpb.AnnounceRequest{}, payload))
	case rpc.MethodChangeSegments:
		return p.fetcher.HandleChangeSegments(ctx, decode(&tierpb.ChangeSegmentsRequest{}, payload))
	case rpc.MethodJoin:
		return p.membership.HandleJoin(ctx, decode(&tierpb.JoinRequest{}, payload))
	}
	return nil, rpc.ErrRejected
}

func decode[T rpc.Message](message T, payload []byte) T {
	if err := message.UnmarshalVT(payload); err != nil {
		panic(err)
	}
	return message
}
