// Package configuration holds the operator's configuration of routes, services and limits: its types, a strict JSON
// parser, its validation, and the look-up of the route of a request. It does no I/O.
//
// Parse is used by every role that receives a configuration: coordinators reject an invalid one before it is proposed, so
// proxies only get valid ones. A parsed Configuration is immutable and safe for concurrent use.
package configuration

import "time"

// Kind says whether the requests of a route may be executed more than once.
type Kind uint8

// The kinds of routes.
const (
	Idempotent    Kind = iota // may be executed more than once, so may be retried
	NonIdempotent             // is executed at most once
	Streaming                 // answered by a stream of events; not idempotent unless it is resumable
)

// Configuration is one version of the operator's configuration. It is immutable once parsed.
type Configuration struct {
	// Generation numbers the versions; it increases with every change. Required.
	Generation uint64
	// Routes lists the routes; host and path prefix together are unique. Required, may be empty.
	Routes []Route
	// Services lists the services that routes refer to; names are unique. Required, may be empty.
	Services []Service
	// Limits bounds what clients may send.
	Limits Limits

	hosts    map[string]*hostRoutes // by host name in lower case
	services map[string]*Service
}

// Route sends the requests of one host and path prefix to one service, or to several by weight.
type Route struct {
	// Name appears in logs. Optional; unique if set.
	Name string
	// Host is the host name without port, matched without regard to case. Required.
	Host string
	// PathPrefix begins with a slash and matches on slash boundaries. Required.
	PathPrefix string
	// Kind says whether requests may be retried. Default and for unknown values: NonIdempotent.
	Kind Kind
	// Timeout is the longest time that a request may take; clients may ask for less. In JSON milliseconds; required, above 0.
	Timeout time.Duration
	// TargetLatency is the latency target (SLO): a request answered within it has its full value. In JSON milliseconds;
	// 0, the default, means that there is no target.
	TargetLatency time.Duration
	// Priority orders requests under overload; 0, the default, is the most urgent.
	Priority int
	// Backends has one or more services. A single backend has the weight 1.
	Backends []Backend
	// MaxAttempts is the highest number of stores that may execute one request. Default, and the meaning of 0: 1.
	MaxAttempts int
	// Retained says whether the tier keeps the turns of this route, so that later turns can refer to them.
	Retained bool
	// Retention is how long turns are kept. In JSON seconds; default 0.
	Retention time.Duration
	// SessionAffinity says whether requests of one program or session prefer the same store.
	SessionAffinity bool
	// Resumable says whether a stream that was truncated may be resumed at another store.
	Resumable bool
	// TargetEventGap is the longest time between two events of a stream that meets the latency target. In JSON
	// milliseconds (gap_aim_ms); 0, the default, means that there is no target.
	TargetEventGap time.Duration
}

// Backend is a service with its share of a route's requests.
type Backend struct {
	// Service is the name of a service of the same configuration.
	Service string
	// Weight is relative to the weights of the route's other backends; 0 means no requests. Not all may be 0.
	Weight float64
}

// Service is a pool of stores.
type Service struct {
	// Name is unique among the services. Required.
	Name string
	// HealthPath is the path of the stores' health check.
	HealthPath string
	// MaxConnections is how many connections all callers together may open to one store. 0, the default, means no limit.
	MaxConnections int
	// Engine describes the stores if they generate tokens; nil for any other service.
	Engine *Engine
}

// Engine describes stores that generate tokens with a language model.
type Engine struct {
	// Slots is how many requests a store runs at once; 0, the default, means unknown.
	Slots int
	// KVTokens is the capacity of a store's KV cache in tokens; 0, the default, means unknown.
	KVTokens int
	// Stride is how many tokens an event of a stream carries; 0, the default, means 1.
	Stride int
	// Models names the models that the stores serve.
	Models []string
}

// Limits bounds what clients may send.
type Limits struct {
	// MaxHeaderBytes is the largest request header in bytes. Default 16 KiB; 0 leaves net/http's limit only.
	MaxHeaderBytes int
	// MaxBodyBytes is the largest request body in bytes. Default, and the meaning of 0: 4 MiB.
	MaxBodyBytes int64
	// HeaderTimeout is how long a client may take to send a request's header. In JSON milliseconds; default 3 s.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request. In JSON milliseconds; default 15 s.
	IdleTimeout time.Duration
}
