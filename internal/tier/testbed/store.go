// Package testbed holds what surrounds the serving tier outside production: stores of plain services and of engines,
// an operator, clients, and machines on loopback addresses whose processes it starts from written settings files.
// Tests and examples/tier use it; no role does.
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

// StoreOptions describe a store.
type StoreOptions struct {
	ID            string // instanceId
	Backend       string // service
	Zone          string
	Address       string // ip:port to listen at; port 0 for any
	Slots         int
	Engine        bool            // answers with events
	Registry      func() []string // control addresses that take registrations
	ResponseDelay time.Duration   // before a plain answer and between events
}

// Run is one request that a store has begun to work on.
type Run struct {
	RequestID string
	Method    string
	Path      string
	Body      []byte
	Completed bool // answered to the end
	At        time.Time
	Ended     time.Time // zero while the store works on it
}

// Store is a stand-in for one incarnation of a store.
type Store struct {
	options  StoreOptions
	server   *http.Server
	listener net.Listener
	registry *registration

	mu      sync.Mutex
	runs    []*Run
	running int
	closed  bool
	disturb Fault
	gate    chan struct{} // not nil while answers are held
}

// StartStore starts to listen; Register is called separately.
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

// ID is the store's instanceId.
func (s *Store) ID() string { return s.options.ID }

// Service is the service that it is one of.
func (s *Store) Service() string { return s.options.Backend }

// Address is where it listens.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Runs lists what the store has begun to work on, in order.
func (s *Store) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make([]Run, len(s.runs))
	for i, run := range s.runs {
		listed[i] = *run
	}
	return listed
}

// Running is the number of requests that it works on.
func (s *Store) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// BlockResponses keeps answers back, streams behind their first event, until the returned function is called.
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

// Register starts heartbeats and returns when the first is acknowledged.
func (s *Store) Register(ctx context.Context) error { return s.registry.start(ctx) }

// Drain announces that the store will leave and returns when that is acknowledged. It serves on.
func (s *Store) Drain(ctx context.Context) error { return s.registry.announce(ctx, stateDraining) }

// Shutdown tells the registry that the store is gone, stops its heartbeats and ends it.
func (s *Store) Shutdown(ctx context.Context) error {
	err := s.registry.leave(ctx)
	s.Kill()
	return err
}

// Deregister tells the registry that the store is gone, and nothing before; it serves on.
func (s *Store) Deregister(ctx context.Context) error { return s.registry.leave(ctx) }

// DeregisterAt tells one control address alone, once, that the store is gone; it serves on.
func (s *Store) DeregisterAt(ctx context.Context, address string) error {
	return s.registry.leaveAt(ctx, address)
}

// DelayedHeartbeat makes a heartbeat of now, and returns what delivers it later, once, to a control address.
func (s *Store) DelayedHeartbeat() (deliver func(ctx context.Context, address string) error) {
	return s.registry.delayed()
}

// AcknowledgedBy is the address of the machine that acknowledged its last call.
func (s *Store) AcknowledgedBy() string { return s.registry.acknowledgedBy() }

// Kill ends the store without a word; connections are closed at once.
func (s *Store) Kill() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.registry.stop()
	s.server.Close()
}

// ServeHTTP answers as a store does.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get(headerExpectInstance) == "" && r.URL.Path == healthPath:
		s.serveHealth(w)
	case s.isOther(r):
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		w.Header().Set(headerInstance, s.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		s.serve(w, r)
	}
}

func (s *Store) isOther(r *http.Request) bool {
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

// begin takes a slot and records the request; without a free slot it returns nil.
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

func (s *Store) finish(run *Run, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	run.Completed, run.Ended = whole, time.Now()
}

// pause waits as long as the store's work takes, and returns false when the caller has left before.
func (s *Store) pause(ctx context.Context) bool {
	if s.options.ResponseDelay <= 0 {
		return true
	}
	select {
	case <-time.After(s.options.ResponseDelay):
		return true
	case <-ctx.Done():
		return false
	}
}

// waitForRelease returns when answers are not held, and false when the caller has left before.
func (s *Store) waitForRelease(ctx context.Context) bool {
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
