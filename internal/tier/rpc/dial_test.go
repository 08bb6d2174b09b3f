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

// TestDialBegunInTheDarkIsBegunAgain: a machine without power loses opening packets, and answers once it is back.
func TestDialBegunInTheDarkIsBegunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dark = 400 * time.Millisecond
		began := time.Now()
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		dial := func(ctx context.Context, _ string) (net.Conn, error) {
			if time.Since(began) < dark {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return near, nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), dialTimeout)
		defer cancel()
		connection, err := dialRepeatedly(ctx, "a", dial)
		assert.NilError(t, err)
		assert.Assert(t, connection == near)
		assert.Assert(t, time.Since(began) <= dark+redialAfter, "after %s", time.Since(began))
	})
}

// TestDialsThatAreNotNeededAreGivenUp: of two that connect in the end, the later one is closed.
func TestDialsThatAreNotNeededAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var closed atomic.Int32
		var begun atomic.Int32
		dial := func(context.Context, string) (net.Conn, error) {
			begun.Add(1)
			time.Sleep(redialAfter + 10*time.Millisecond)
			return &countedConnection{closed: &closed}, nil
		}
		_, err := dialRepeatedly(t.Context(), "a", dial)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, begun.Load(), int32(2))
		assert.Equal(t, closed.Load(), int32(1))
	})
}

func TestDialThatIsRefusedEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		began := time.Now()
		_, err := dialRepeatedly(t.Context(), "a", func(context.Context, string) (net.Conn, error) { return nil, refused })
		assert.ErrorIs(t, err, refused)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

func TestDialsEndWithTheirContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), dialTimeout)
		defer cancel()
		_, err := dialRepeatedly(ctx, "a", func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		synctest.Wait()
	})
}

// countedConnection counts how often it is closed.
type countedConnection struct {
	net.Conn
	closed *atomic.Int32
}

func (c *countedConnection) Close() error {
	c.closed.Add(1)
	return nil
}
