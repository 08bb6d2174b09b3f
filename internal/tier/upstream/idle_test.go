package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestIdleDeadlineIsEarlierThanTheStoresTimeout(t *testing.T) {
	now := time.Unix(1000, 0)
	for text, kept := range map[string]time.Duration{
		"timeout=10":        8 * time.Second,
		"max=5, Timeout=1":  700 * time.Millisecond,
		"timeout=0":         defaultIdleTimeout,
		"timeout=soon":      defaultIdleTimeout,
		"":                  defaultIdleTimeout,
		"timeout=100000000": 48 * time.Second,
	} {
		header := http.Header{}
		if text != "" {
			header.Set("Keep-Alive", text)
		}
		assert.Equal(t, idleDeadline(now, header).Sub(now), kept, text)
	}
}

// After a connection to a store of the service was found to be stale, requests in their last attempt avoid connections that
// have been idle for at least half as long, at all stores of the service. Requests that can be retried still use them.
func TestLastAttemptsAvoidConnectionsIdleForLong(t *testing.T) {
	transport, store, accept := loopbackTransport(t)
	clock := &shiftedClock{}
	transport.now = clock.now
	otherStore := Store{Instance: "i-2", Address: store.Address}
	kept := exchangeOn(t, transport, otherStore, lastAttempt("a"), accept)
	conn := exchangeOn(t, transport, store, lastAttempt("b"), accept)
	clock.advance(time.Second)
	exchangeOn(t, transport, store, lastAttempt("c"), func() *storeConn { return conn }) // reused, as there is no limit yet
	clock.advance(time.Second)
	lost := sendInBackground(context.Background(), transport, store, retriable("lost"))
	conn.readRequest()
	conn.reset()
	assertSent(t, (<-lost).err, ErrConnectionLost)
	exchangeOn(t, transport, otherStore, retriable("d"), func() *storeConn { return kept })
	clock.advance(time.Second/idleLimitDivisor + 100*time.Millisecond)
	fresh := exchangeOn(t, transport, otherStore, lastAttempt("e"), accept)
	assert.Equal(t, transport.idleConnections(otherStore), 2)
	clock.advance(time.Second / idleLimitDivisor / 2)
	exchangeOn(t, transport, otherStore, lastAttempt("f"), func() *storeConn { return fresh }) // reused, idle for less than the limit
}

func TestIdleLimitsExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := idleLimits{}
	limits.recordStale("s", 3*time.Second, now)
	limits.recordStale("s", time.Second, now.Add(time.Second))
	limits.recordStale("s", 2*time.Second, now.Add(2*time.Second))
	maxIdle, limited := limits.maxIdle("s", now.Add(3*time.Second))
	assert.Assert(t, limited)
	assert.Equal(t, maxIdle, time.Second/idleLimitDivisor)
	_, limited = limits.maxIdle("other", now)
	assert.Assert(t, !limited)
	_, limited = limits.maxIdle("s", now.Add(2*time.Second+idleLimitTTL))
	assert.Assert(t, !limited)
	limits.recordStale("s", 3*time.Second, now.Add(time.Minute))
	maxIdle, _ = limits.maxIdle("s", now.Add(time.Minute))
	assert.Equal(t, maxIdle, 3*time.Second/idleLimitDivisor)
}

// The loss of a new connection, or of a reused one within a response, sets no idle limit.
func TestOtherFailuresSetNoIdleLimit(t *testing.T) {
	transport, store, accept := loopbackTransport(t)
	broken := sendInBackground(context.Background(), transport, store, lastAttempt("a"))
	conn := accept()
	conn.readRequest()
	conn.reset()
	assertSent(t, (<-broken).err, ErrConnectionLost)
	conn = exchangeOn(t, transport, store, lastAttempt("b"), accept)
	broken = sendInBackground(context.Background(), transport, store, lastAttempt("c"))
	conn.readRequest()
	conn.write("HTTP/1.1 200 O")
	conn.Close()
	assertSent(t, (<-broken).err, ErrConnectionLost)
	assert.Equal(t, len(transport.idleLimits), 0)
}
