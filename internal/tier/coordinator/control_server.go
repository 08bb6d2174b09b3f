package coordinator

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/settings"
)

// Timeouts of the control listener and its shutdown.
const (
	headerTimeout         = 5 * time.Second
	bodyTimeout           = 15 * time.Second
	idleTimeout           = time.Minute
	shutdownReserve       = 2 * time.Second        // part of graceS that is left for the vote transfer after the HTTP server has stopped
	shutdownAnswerTimeout = 200 * time.Millisecond // time to answer the calls that the shutdown ends
	defaultGrace          = 8 * time.Second        // if the settings have no graceS
)

// pastDeadline makes a pending read return at once.
var pastDeadline = time.Unix(1, 0)

// controlServer serves the control API. Every call that it has begun is answered, also one that the shutdown ends.
type controlServer struct {
	http *http.Server
	log  hclog.Logger
	end  context.CancelFunc // ends the calls in flight
}

func newControlServer(handler http.Handler, log hclog.Logger) *controlServer {
	ending, end := context.WithCancel(context.Background())
	return &controlServer{
		http: &http.Server{
			Handler: endReadsWith(ending, handler), ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
			ErrorLog:    log.StandardLogger(nil),
			BaseContext: func(net.Listener) context.Context { return ending },
		},
		log: log,
		end: end,
	}
}

// endReadsWith ends the reading of a call's body when a context ends, which the read itself does not notice.
func endReadsWith(ending context.Context, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		stop := context.AfterFunc(ending, func() { _ = control.SetReadDeadline(pastDeadline) })
		defer stop()
		handler.ServeHTTP(w, r)
	})
}

// serve accepts connections until the server is shut down or the listener fails.
func (s *controlServer) serve(listener net.Listener) error { return s.http.Serve(listener) }

// shutdown stops accepting connections and returns when all calls in flight are answered, or after the timeout. Calls that
// are in flight shortly before that are ended: they are answered with an error that makes the caller repeat them at another
// coordinator.
func (s *controlServer) shutdown(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ending := time.AfterFunc(timeout-shutdownAnswerTimeout, func() {
		s.log.Warn("grace period is over, ending calls in flight")
		s.end()
	})
	defer ending.Stop()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
}

// serveControl serves the control API until ctx ends, then waits for the calls in flight for a part of the grace period.
func (c *coordinator) serveControl(ctx context.Context, listener net.Listener) error {
	server := newControlServer(c.api.Handler(), c.log)
	failed := make(chan error, 1)
	go func() { failed <- server.serve(listener) }()
	select {
	case err := <-failed:
		return eris.Wrap(err, "control API")
	case <-ctx.Done():
	}
	c.log.Info("stopping")
	c.membership.BeginShutdown()
	grace := settings.Seconds(c.live.Current().Bounds.GraceS, defaultGrace)
	server.shutdown(max(grace-shutdownReserve, grace/2))
	return nil
}
