package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Idle timeouts of connections.
const (
	// defaultIdleTimeout applies if the store does not send a Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout bounds the Keep-Alive timeout of a store.
	maxIdleTimeout = 60 * time.Second
	// The proxy closes an idle connection earlier than the store's Keep-Alive timeout, by keepAliveMargin or by
	// 1/keepAliveDivisor of the timeout, whichever is more. Otherwise the store might close it while a request is on its way.
	keepAliveMargin  = 300 * time.Millisecond
	keepAliveDivisor = 5
)

// Parameters of idleLimits.
const (
	// idleLimitTTL is how long an idle limit applies after the last stale connection.
	idleLimitTTL = 10 * time.Second
	// idleLimitDivisor is a safety factor: connections are used that have been idle for less than 1/idleLimitDivisor of the
	// shortest idle time after which one was stale.
	idleLimitDivisor = 2
)

// idleDeadline returns until when a connection may stay idle after a response with these headers.
func idleDeadline(now time.Time, header http.Header) time.Time {
	timeout := keepAliveTimeout(header)
	if timeout == 0 {
		return now.Add(defaultIdleTimeout)
	}
	timeout = min(timeout, maxIdleTimeout)
	return now.Add(timeout - max(keepAliveMargin, timeout/keepAliveDivisor))
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header, or 0 if there is none.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, line := range header["Keep-Alive"] {
		for field := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}

// idleLimits estimates, for each service, how long a connection may be idle before its store has probably closed it. A store
// may close a connection without notice or fail; the next request on it is then reset, and the proxy cannot tell whether it
// was executed. Requests that can be retried discover such stale connections. Requests in their last attempt only use
// connections that have been idle for less, or new ones.
type idleLimits map[string]idleLimit

// idleLimit is the shortest idle time after which a connection was recently found to be stale.
type idleLimit struct {
	shortest time.Duration
	expires  time.Time
}

// recordStale records that a connection was found to be stale after this idle time.
func (l idleLimits) recordStale(service string, idle time.Duration, now time.Time) {
	limit, ok := l[service]
	if !ok || !now.Before(limit.expires) || idle < limit.shortest {
		limit.shortest = idle
	}
	limit.expires = now.Add(idleLimitTTL)
	l[service] = limit
}

// maxIdle returns for how long a connection may have been idle if it is to be used for a request in its last attempt, and
// false if there is no limit.
func (l idleLimits) maxIdle(service string, now time.Time) (time.Duration, bool) {
	limit, ok := l[service]
	if !ok {
		return 0, false
	}
	if !now.Before(limit.expires) {
		delete(l, service)
		return 0, false
	}
	return limit.shortest / idleLimitDivisor, true
}
