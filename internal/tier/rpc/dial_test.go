package rpc

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestDialIsHedgedWhilePeerIsUnreachable: a machine that has lost power does not answer a SYN. Once it is back, a dial
// must connect within dialHedgeDelay and not wait for the kernel's retransmission.
func TestDialIsHedgedWhilePeerIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 400 * time.Millisecond
		start := time.Now()
		local, remote := net.Pipe()
		defer func() { _, _ = local.Close(), remote.Close() }()
		dial := func(ctx context.Context, _ string) (net.Conn, error) {
			if time.Since(start) < outage {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return local, nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), dialTimeout)
		defer cancel()
		connection, err := dialHedged(ctx, "a", dial)
		assert.NilError(t, err)
		assert.Assert(t, connection == local)
		assert.Assert(t, time.Since(start) <= outage+dialHedgeDelay, "after %s", time.Since(start))
	})
}

// TestSurplusConnectionsAreClosed: if two hedged dials succeed, the connection of the later one is closed.
func TestSurplusConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var closed atomic.Int32
		var started atomic.Int32
		dial := func(context.Context, string) (net.Conn, error) {
			started.Add(1)
			time.Sleep(dialHedgeDelay + 10*time.Millisecond)
			return &closeCountingConnection{closed: &closed}, nil
		}
		_, err := dialHedged(t.Context(), "a", dial)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, started.Load(), int32(2))
		assert.Equal(t, closed.Load(), int32(1))
	})
}

func TestRefusedDialFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		start := time.Now()
		_, err := dialHedged(t.Context(), "a", func(context.Context, string) (net.Conn, error) { return nil, refused })
		assert.ErrorIs(t, err, refused)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

func TestDialsEndWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), dialTimeout)
		defer cancel()
		_, err := dialHedged(ctx, "a", func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		synctest.Wait()
	})
}

// closeCountingConnection counts how often it is closed.
type closeCountingConnection struct {
	net.Conn
	closed *atomic.Int32
}

func (c *closeCountingConnection) Close() error {
	c.closed.Add(1)
	return nil
}
