// Package configuration holds the operator's configuration: its types, its reader, its checks and the look-up of
// routes. It does no I/O.
package configuration

import "time"

// Kind says what a repeat of a route's requests does.
type Kind uint8

// The kinds of routes.
const (
	Idempotent    Kind = iota // may run more than once
	NonIdempotent             // runs once at most
	Streaming                 // answers with events; not idempotent unless it may be resumed
)

// Configuration is one version of the operator's configuration. It is not changed once parsed.
type Configuration struct {
	Generation uint64
	Routes     []Route
	Services   []Service
	Limits     Limits

	places   map[string]*place // by host in lower case
	services map[string]*Service
}

// Route sends requests of one host and path prefix to one service, or to several by weight.
type Route struct {
	Name            string
	Host            string
	PathPrefix      string
	Kind            Kind
	Timeout         time.Duration // longest that the operator wants a request held
	TargetLatency   time.Duration // answered within this a request earns its full worth
	Priority        int           // 0 is the most urgent
	Backends        []Backend     // one or more; weights as given, 1 for a single backend
	MaxAttempts     int           // most stores that one try may be sent to
	Retained        bool          // the system keeps the turns
	Retention       time.Duration
	SessionAffinity bool
	Resumable       bool
	TargetEventGap  time.Duration // longest pause between events that is still in time
}

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Service is a pool of stores.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // from all callers together, per store
	Engine         *Engine // nil for a plain service
}

// Engine describes stores that generate tokens.
type Engine struct {
	Slots    int
	KVTokens int
	Stride   int // tokens in an event
	Models   []string
}

// Limits on clients. Zero values mean the defaults of the parser.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
