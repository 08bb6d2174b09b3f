package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestIdleDeadlineIsBeforeTheStores(t *testing.T) {
	now := time.Unix(1000, 0)
	for text, kept := range map[string]time.Duration{
		"timeout=10":        8 * time.Second,
		"max=5, Timeout=1":  700 * time.Millisecond,
		"timeout=0":         defaultIdle,
		"timeout=soon":      defaultIdle,
		"":                  defaultIdle,
		"timeout=100000000": 48 * time.Second,
	} {
		header := http.Header{}
		if text != "" {
			header.Set("Keep-Alive", text)
		}
		assert.Equal(t, idleDeadline(now, header).Sub(now), kept, text)
	}
}

// What may not be sent again goes out on a new connection once one that had been idle as long turned out to be dead, at any store
// of the service; what may be sent again still goes out on the kept one.
func TestLastAttemptsAvoidConnectionsIdleForLong(t *testing.T) {
	transport, here, accept := loopbackTransport(t)
	clock := &shiftedClock{}
	transport.now = clock.now
	there := Store{Instance: "i-2", Address: here.Address}
	kept := exchangeOn(t, transport, there, lastAttempt("a"), accept)
	side := exchangeOn(t, transport, here, lastAttempt("b"), accept)
	clock.advance(time.Second)
	exchangeOn(t, transport, here, lastAttempt("c"), func() *storeSide { return side }) // nothing speaks against it yet
	clock.advance(time.Second)
	lost := sendInBackground(context.Background(), transport, here, retriable("lost"))
	side.readRequest()
	side.reset()
	assertSent(t, (<-lost).err, ErrConnectionLost)
	exchangeOn(t, transport, there, retriable("d"), func() *storeSide { return kept })
	clock.advance(time.Second/idleLimitDivisor + 100*time.Millisecond)
	fresh := exchangeOn(t, transport, there, lastAttempt("e"), accept)
	assert.Equal(t, transport.idleConnections(there), 2)
	clock.advance(time.Second / idleLimitDivisor / 2)
	exchangeOn(t, transport, there, lastAttempt("f"), func() *storeSide { return fresh }) // it has been idle for less
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

// The loss of a new connection, or of a kept one within a response, says nothing about idle times.
func TestFailuresThatAreNoStaleConnections(t *testing.T) {
	transport, store, accept := loopbackTransport(t)
	broken := sendInBackground(context.Background(), transport, store, lastAttempt("a"))
	side := accept()
	side.readRequest()
	side.reset()
	assertSent(t, (<-broken).err, ErrConnectionLost)
	side = exchangeOn(t, transport, store, lastAttempt("b"), accept)
	broken = sendInBackground(context.Background(), transport, store, lastAttempt("c"))
	side.readRequest()
	side.write("HTTP/1.1 200 O")
	side.Close()
	assertSent(t, (<-broken).err, ErrConnectionLost)
	assert.Equal(t, len(transport.idleLimits), 0)
}
