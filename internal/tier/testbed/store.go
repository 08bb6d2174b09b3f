package testbed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// StoreOptions are the options of a fake store.
type StoreOptions struct {
	ID            string // instance id
	Backend       string // name of its service
	Zone          string
	Address       string          // ip:port to listen at; port 0: any free port
	Slots         int             // requests that run at the same time; more are rejected
	Engine        bool            // responds with a stream of events
	Registry      func() []string // control addresses that accept registrations
	ResponseDelay time.Duration   // before a plain response and between events; 0: none
}

// Run is a request that a store has begun to execute.
type Run struct {
	RequestID string
	Method    string
	Path      string
	Body      []byte
	Completed bool // the whole response was written
	At        time.Time
	Ended     time.Time // zero while it runs
}

// Store is a fake store instance: one incarnation of a server of a service. It is safe for concurrent use.
type Store struct {
	options  StoreOptions
	server   *http.Server
	listener net.Listener
	registry *registration

	mu      sync.Mutex
	runs    []*Run
	running int
	closed  bool
	fault   Fault
	gate    chan struct{} // not nil while responses are blocked; closed when they are released
}

// StartStore creates a store that listens and serves. It is not registered, see Register.
func StartStore(options StoreOptions) (*Store, error) {
	listener, err := net.Listen("tcp4", options.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "store %s", options.ID)
	}
	store := &Store{options: options, listener: listener}
	store.registry = newRegistration(store)
	store.server = &http.Server{Handler: store}
	go func() {
		if err := store.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			fmt.Println("store", options.ID, "ended:", err)
		}
	}()
	return store, nil
}

// ID returns the store's instance id.
func (s *Store) ID() string { return s.options.ID }

// Service returns the name of the service that it is an instance of.
func (s *Store) Service() string { return s.options.Backend }

// Address returns the ip:port at which it listens.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Runs returns the requests that the store has begun to execute, in order.
func (s *Store) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make([]Run, len(s.runs))
	for i, run := range s.runs {
		listed[i] = *run
	}
	return listed
}

// Running returns the number of requests that it is executing.
func (s *Store) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// BlockResponses blocks responses, streams after their first event, until the returned function is called.
func (s *Store) BlockResponses() (release func()) {
	gate := make(chan struct{})
	s.mu.Lock()
	s.gate = gate
	s.mu.Unlock()
	return sync.OnceFunc(func() {
		s.mu.Lock()
		s.gate = nil
		s.mu.Unlock()
		close(gate)
	})
}

// Register starts heartbeats and returns when the first one is acknowledged.
func (s *Store) Register(ctx context.Context) error { return s.registry.start(ctx) }

// Drain announces that the store is draining and returns when that is acknowledged. The store continues to serve.
func (s *Store) Drain(ctx context.Context) error { return s.registry.announce(ctx, stateDraining) }

// Shutdown stops the heartbeats, deregisters the store and closes it.
func (s *Store) Shutdown(ctx context.Context) error {
	err := s.registry.deregister(ctx)
	s.Kill()
	return err
}

// Deregister stops the heartbeats and deregisters the store, which continues to serve.
func (s *Store) Deregister(ctx context.Context) error { return s.registry.deregister(ctx) }

// DeregisterAt stops the heartbeats and deregisters the store at one control address only, without a retry. The store
// continues to serve.
func (s *Store) DeregisterAt(ctx context.Context, address string) error {
	return s.registry.deregisterAt(ctx, address)
}

// DelayedHeartbeat creates a heartbeat with the present sequence number, and returns a function that delivers it to a
// control address later, as a delayed packet would arrive.
func (s *Store) DelayedHeartbeat() (deliver func(ctx context.Context, address string) error) {
	return s.registry.delayedHeartbeat()
}

// AcknowledgedBy returns the host of the coordinator that acknowledged its last call, empty before the first.
func (s *Store) AcknowledgedBy() string { return s.registry.acknowledgedBy() }

// Kill closes the store and its connections at once, without deregistration, as a crash would.
func (s *Store) Kill() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.registry.stop()
	_ = s.server.Close() // its connections are closed in any case
}

// ServeHTTP implements http.Handler with the protocol of stores.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get(headerExpectInstance) == "" && r.URL.Path == healthPath:
		s.serveHealth(w)
	case s.isMisdirected(r):
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		w.Header().Set(headerInstance, s.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		s.serve(w, r)
	}
}

// isMisdirected reports whether a request expects another instance at this address.
func (s *Store) isMisdirected(r *http.Request) bool {
	expected := r.Header.Get(headerExpectInstance)
	return expected != "" && expected != s.options.ID
}

func (s *Store) serveHealth(w http.ResponseWriter) {
	w.Header().Set(headerInstance, s.options.ID)
	w.Header().Set(headerLoad, s.load())
	w.WriteHeader(http.StatusOK)
}

func (s *Store) load() string {
	return strconv.Itoa(s.Running()) + ",0," + strconv.Itoa(s.options.Slots)
}

// begin takes a slot and records the request. Without a free slot it returns nil.
func (s *Store) begin(r *http.Request, body []byte) *Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.options.Slots {
		return nil
	}
	s.running++
	run := &Run{RequestID: r.Header.Get(headerRequestID), Method: r.Method, Path: r.URL.RequestURI(), Body: body, At: time.Now()}
	s.runs = append(s.runs, run)
	return run
}

func (s *Store) finish(run *Run, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	run.Completed, run.Ended = completed, time.Now()
}

// delay waits for the ResponseDelay, or for the request's own delay if that is longer, and returns false if the client
// disconnects meanwhile.
func (s *Store) delay(r *http.Request) bool {
	wait := s.options.ResponseDelay
	if milliseconds, err := strconv.Atoi(r.Header.Get(headerRunDelay)); err == nil {
		wait = max(wait, time.Duration(milliseconds)*time.Millisecond)
	}
	if wait <= 0 {
		return true
	}
	select {
	case <-time.After(wait):
		return true
	case <-r.Context().Done():
		return false
	}
}

// waitUntilUnblocked waits while responses are blocked and returns false if the client disconnects meanwhile.
func (s *Store) waitUntilUnblocked(ctx context.Context) bool {
	s.mu.Lock()
	gate := s.gate
	s.mu.Unlock()
	if gate == nil {
		return true
	}
	select {
	case <-gate:
		return true
	case <-ctx.Done():
		return false
	}
}
