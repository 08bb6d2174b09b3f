// Package configuration defines the operator's configuration of routes, services and limits: its types, a strict JSON parser,
// the validation, and the lookup of the route of a request. It does no I/O.
//
// Every role that receives a configuration parses it with Parse. Coordinators reject an invalid one before it is proposed, so
// that proxies receive valid ones only. A parsed Configuration is immutable and safe for concurrent use.
package configuration

import "time"

// Kind is the kind of a route; it determines whether its requests may be executed more than once.
type Kind uint8

// The kinds of routes.
const (
	Idempotent    Kind = iota // may be executed more than once and so be retried
	NonIdempotent             // is executed at most once
	Streaming                 // answered with a stream of events; not idempotent unless the route is resumable
)

// Configuration is one version of the operator's configuration. It is immutable once parsed.
type Configuration struct {
	// Generation is the version number; it increases with every change. Required.
	Generation uint64
	// Routes lists the routes; the combination of host and path prefix is unique. Required, may be empty.
	Routes []Route
	// Services lists the services that routes refer to; names are unique. Required, may be empty.
	Services []Service
	// Limits are the limits on requests and connections of clients.
	Limits Limits

	hosts    map[string]*hostRoutes // by lower-case host name
	services map[string]*Service    // by name
}

// Route assigns the requests for a host and path prefix to one service, or distributes them over several by weight.
type Route struct {
	// Name appears in logs. Optional; unique if set.
	Name string
	// Host is the host name without a port; matching ignores case. Required.
	Host string
	// PathPrefix begins with a slash and matches whole path segments only. Required.
	PathPrefix string
	// Kind determines whether requests may be retried. NonIdempotent if missing or unknown.
	Kind Kind
	// Timeout limits the duration of a request; clients may ask for less. Milliseconds in JSON; required, above 0.
	Timeout time.Duration
	// TargetLatency is the latency objective (SLO): a request answered within it has its full value. Milliseconds in JSON;
	// 0, the default, means that there is no objective.
	TargetLatency time.Duration
	// Priority is the priority of requests under overload; 0, the default, is the highest.
	Priority int
	// Backends lists one or more services. The weight is 1 if JSON names one service only ("backend").
	Backends []Backend
	// MaxAttempts is the highest number of stores that may execute one request. Default 1; 0 means 1.
	MaxAttempts int
	// Retained is true if the tier stores the turns of this route, so that later turns can refer to them.
	Retained bool
	// Retention is how long turns are stored. Seconds in JSON; default 0.
	Retention time.Duration
	// SessionAffinity is true if requests of one program or session are preferably sent to the same store.
	SessionAffinity bool
	// Resumable is true if an interrupted stream may be resumed at another store.
	Resumable bool
	// TargetEventGap is the latency objective between two events of a stream. Milliseconds in JSON (gap_aim_ms); 0, the
	// default, means that there is no objective.
	TargetEventGap time.Duration
}

// Backend is a service that receives a share of the requests of a route.
type Backend struct {
	// Service is the name of a service of the same configuration.
	Service string
	// Weight is the share of requests relative to the other backends of the route; 0 means none. At least one weight of a
	// route is above 0.
	Weight float64
}

// Service is a pool of stores.
type Service struct {
	// Name is unique among the services. Required.
	Name string
	// HealthPath is the URL path of the health check of the stores.
	HealthPath string
	// MaxConnections limits the connections that all callers together open to one store. 0, the default, means no limit.
	MaxConnections int
	// Engine describes stores that generate tokens; nil for other services.
	Engine *Engine
}

// Engine describes stores that generate tokens with a language model.
type Engine struct {
	// Slots is the number of requests that a store runs concurrently; 0, the default, means unknown.
	Slots int
	// KVTokens is the capacity of a store's KV cache in tokens; 0, the default, means unknown.
	KVTokens int
	// Stride is the number of tokens in an event of a stream; 0, the default, means 1.
	Stride int
	// Models lists the names of the models that the stores serve.
	Models []string
}

// Limits are the limits on requests and connections of clients.
type Limits struct {
	// MaxHeaderBytes is the largest request header in bytes. Default 16 KiB; 0 means no limit besides that of net/http.
	MaxHeaderBytes int
	// MaxBodyBytes is the largest request body in bytes. Default 4 MiB; 0 means the default.
	MaxBodyBytes int64
	// HeaderTimeout is how long a client may take to send a request header. Milliseconds in JSON; default 3 s.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request. Milliseconds in JSON; default 15 s.
	IdleTimeout time.Duration
}
