package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Parameters of the graceful shutdown.
const (
	defaultGracePeriod    = 8 * time.Second
	maxDrainDelay         = 2500 * time.Millisecond // the platform checks readiness every second and reacts to two failures
	drainDelayDivisor     = 3                       // the drain delay is at most this fraction of the grace period
	shutdownMargin        = 500 * time.Millisecond  // pending requests are cancelled this long before the end of the grace period
	shutdownAnswerTimeout = 200 * time.Millisecond  // time to send responses to cancelled requests
	settlementTimeout     = 200 * time.Millisecond  // time to settle budgets afterwards
	drainPollInterval     = 100 * time.Millisecond
	minIdleBeforeClose    = 100 * time.Millisecond // a next request may be on its way; its response asks for the close
)

// errShutdown is the cause with which the contexts of requests end at the end of the grace period.
var errShutdown = errors.New("process is shutting down")

// drainSchedule says when the steps of a graceful shutdown begin.
type drainSchedule struct {
	stopAccepting time.Time // load balancers have noticed that the proxy is not ready
	cancel        time.Time // requests still in progress are cancelled
}

// newDrainSchedule returns the schedule of a shutdown that begins now and must end within the grace period.
func newDrainSchedule(now time.Time, grace time.Duration) drainSchedule {
	return drainSchedule{
		stopAccepting: now.Add(min(maxDrainDelay, grace/drainDelayDivisor)),
		cancel:        now.Add(grace - shutdownMargin),
	}
}

// drainState tells requests how far the shutdown is. It is safe for concurrent use. The zero value is a proxy that does
// not drain.
type drainState struct {
	began          atomic.Pointer[time.Time] // nil before the shutdown
	latestDeadline atomic.Pointer[time.Time] // of requests that may begin; nil, for any, until the listener is closed
}

// begin records that the shutdown has begun.
func (d *drainState) begin(now time.Time) { d.began.CompareAndSwap(nil, &now) }

// active reports whether the proxy drains.
func (d *drainState) active() bool { return d.began.Load() != nil }

// since returns for how long the proxy had been draining at a time, or 0 if it was not.
func (d *drainState) since(at time.Time) time.Duration {
	began := d.began.Load()
	if began == nil {
		return 0
	}
	return max(0, at.Sub(*began))
}

// limitDeadlines makes admits refuse requests that may still be in progress when the others are cancelled.
func (d *drainState) limitDeadlines(cancel time.Time) { d.latestDeadline.Store(&cancel) }

// admits reports whether a request with this deadline may begin. After the listener is closed, requests still arrive on
// connections that were kept open. One that begins must be sure to end before requests are cancelled, whatever its store
// does; only its deadline guarantees that.
func (d *drainState) admits(deadline time.Time) bool {
	latest := d.latestDeadline.Load()
	return latest == nil || !deadline.After(*latest)
}

// isShutdown reports whether a request's context ended because the process shuts down. Its client may still be connected.
func isShutdown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errShutdown) }

// drain shuts down gracefully: it reports not ready, waits until load balancers have noticed, stops accepting connections,
// and returns when all requests that were read are answered, or shortly after the time of the schedule at which they are
// cancelled.
func (s *clientServer) drain(schedule drainSchedule) {
	s.proxy.drain.begin(time.Now())
	s.proxy.log.Info("draining", "cancel_after_ms", time.Until(schedule.cancel).Milliseconds())
	time.Sleep(time.Until(schedule.stopAccepting))
	s.proxy.drain.limitDeadlines(schedule.cancel)
	s.stopAccepting()
	s.awaitConnectionsClosed(schedule.cancel)
	s.cancelAll()
	s.awaitConnectionsClosed(schedule.cancel.Add(shutdownAnswerTimeout))
	s.close()
}

// stopAccepting closes the listener.
func (s *clientServer) stopAccepting() {
	s.stopped.Store(true)
	_ = s.listener.Close()
}

// awaitConnectionsClosed closes idle connections until no connection is open or the deadline passes.
func (s *clientServer) awaitConnectionsClosed(deadline time.Time) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.closeIdle(time.Now()) > 0 && time.Now().Before(deadline) {
		<-ticker.C
	}
}

// closeIdle closes connections that have been idle for minIdleBeforeClose and returns the number of open connections,
// which includes those being closed.
func (s *clientServer) closeIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, connection := range s.connections {
		connection.closeIfIdle(now)
	}
	return len(s.connections)
}

// cancelAll cancels the requests in progress, which are then answered or aborted, and ends the reading of requests whose
// body is not complete, which are then answered with a 408.
func (s *clientServer) cancelAll() {
	s.cancelRequests(errShutdown)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.connections) > 0 {
		s.proxy.log.Warn("grace period is over, cancelling requests", "connections", len(s.connections))
	}
	for connection := range s.connections {
		_ = connection.SetReadDeadline(pastDeadline)
	}
}
