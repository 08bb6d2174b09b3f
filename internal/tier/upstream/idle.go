package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// How long idle connections are kept.
const (
	// defaultIdle is how long a connection is kept where the store does not say how long it keeps it.
	defaultIdle = 4 * time.Second
	// longestIdle bounds what a store says.
	longestIdle = 60 * time.Second
	// keepAliveMargin, or 1/keepAliveDivisor of the store's time where that is more, is how long before the store the proxy
	// gives a connection up, so that the store does not close it while a request is on its way.
	keepAliveMargin  = 300 * time.Millisecond
	keepAliveDivisor = 5
)

// Bounds of what is learned of connections that stores closed without notice.
const (
	// idleLimitTTL is how long it is believed.
	idleLimitTTL = 10 * time.Second
	// idleLimitDivisor: a connection that was idle for 1/idleLimitDivisor of what was too long still serves.
	idleLimitDivisor = 2
)

// idleDeadline returns until when a connection may stay idle after a response with these headers.
func idleDeadline(now time.Time, header http.Header) time.Time {
	timeout := keepAliveTimeout(header)
	if timeout == 0 {
		return now.Add(defaultIdle)
	}
	timeout = min(timeout, longestIdle)
	return now.Add(timeout - max(keepAliveMargin, timeout/keepAliveDivisor))
}

// keepAliveTimeout returns how long a store keeps an idle connection, by the Keep-Alive header's timeout parameter, and 0 where
// the store does not say.
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

// idleLimits learns, by service, for how long a connection may be idle before its store has probably closed it. A store may
// close one without notice, or be gone; the next request on it is reset, and nobody can tell whether it was executed. A
// request that may be retried elsewhere finds that out. One in its last attempt keeps to connections that were idle for
// less, or to new ones.
type idleLimits map[string]idleLimit

// idleLimit is the shortest idle time after which a connection was stale of late.
type idleLimit struct {
	shortest time.Duration
	expires  time.Time
}

// recordStale records a connection that had been idle for so long and was reset by the next request.
func (l idleLimits) recordStale(service string, idle time.Duration, now time.Time) {
	limit, ok := l[service]
	if !ok || !now.Before(limit.expires) || idle < limit.shortest {
		limit.shortest = idle
	}
	limit.expires = now.Add(idleLimitTTL)
	l[service] = limit
}

// maxIdle returns for how long a connection may have been idle to take a request in its last attempt, and false where there
// is no limit.
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
