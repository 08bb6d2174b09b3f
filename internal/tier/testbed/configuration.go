package testbed

import (
	"encoding/json"
	"time"
)

// Configuration is the configuration of routes and services that an operator puts, in the form of the control API.
type Configuration struct {
	Generation uint64    `json:"generation"`
	Routes     []Route   `json:"routes"`
	Services   []Service `json:"services"`
	Limits     Limits    `json:"limits"`
}

// Route is a route of a configuration.
type Route struct {
	Name             string  `json:"name"`
	Hostname         string  `json:"hostname"`
	PathPrefix       string  `json:"pathPrefix"`
	Kind             string  `json:"kind"`
	TimeoutMs        int     `json:"timeoutMs"`
	TargetLatencyMs  int     `json:"targetLatencyMs"`
	Priority         int     `json:"priority"`
	Backend          string  `json:"backend"`
	MaxAttempts      int     `json:"maxAttempts"`
	Retained         bool    `json:"retained"`
	RetentionS       float64 `json:"retentionS"`
	SessionAffinity  bool    `json:"sessionAffinity"`
	Resumable        bool    `json:"resumable"`
	EventGapTargetMs int     `json:"gap_aim_ms,omitempty"`
}

// Service is a service of a configuration.
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`
	MaxConnections int     `json:"maxConnections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	Engine         *Engine `json:"engine,omitempty"`
}

// Engine describes the engines of a service that generates tokens.
type Engine struct {
	Slots    int           `json:"slots"`
	KVTokens int           `json:"kvTokens"`
	KVBytes  int           `json:"kvBytes"`
	LinkMbps float64       `json:"linkMbps"`
	Stride   int           `json:"stride"`
	Models   []EngineModel `json:"models"`
}

// EngineModel is a model that an engine serves.
type EngineModel struct {
	Name string `json:"name"`
}

// Limits are the limits that edges apply to clients.
type Limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

// Names of the example configuration.
const (
	Host          = "toy.example"
	PlainService  = "plain"
	EngineService = "engine"
	FetchPrefix   = "/fetch/" // idempotent
	OrderPrefix   = "/order/" // at most once
	DraftPrefix   = "/draft/" // resumable streams
	TalkPrefix    = "/talk/"  // streams whose turns are stored
)

// Retain sets the retention of the turns.
func (c *Configuration) Retain(retention time.Duration) {
	for i := range c.Routes {
		if c.Routes[i].Retained {
			c.Routes[i].RetentionS = retention.Seconds()
		}
	}
}

// ExampleConfiguration returns a configuration with a route of each kind.
func ExampleConfiguration(generation uint64) *Configuration {
	plain := Route{Hostname: Host, TimeoutMs: 3000, TargetLatencyMs: 300, Priority: 2, Backend: PlainService, MaxAttempts: 2}
	stream := Route{
		Hostname: Host, Kind: "streaming", TimeoutMs: 10000, TargetLatencyMs: 500, Backend: EngineService,
		MaxAttempts: 2, RetentionS: 60, SessionAffinity: true, EventGapTargetMs: 400,
	}
	fetch, order, draft, talk := plain, plain, stream, stream
	fetch.Name, fetch.PathPrefix, fetch.Kind = "fetch", FetchPrefix, "idempotent"
	order.Name, order.PathPrefix, order.Kind = "order", OrderPrefix, "non_idempotent"
	draft.Name, draft.PathPrefix, draft.Resumable, draft.Priority = "draft", DraftPrefix, true, 1
	talk.Name, talk.PathPrefix, talk.Retained = "talk", TalkPrefix, true
	engine := &Engine{
		Slots: 32, KVTokens: 200000, KVBytes: 131072, LinkMbps: 260000, Stride: TokensPerEvent, Models: []EngineModel{{Name: "m"}},
	}
	return &Configuration{
		Generation: generation,
		Routes:     []Route{fetch, order, draft, talk},
		Services: []Service{
			{Name: PlainService, HealthPath: healthPath, MaxConnections: 96, Protocol: "h1"},
			{Name: EngineService, HealthPath: healthPath, MaxConnections: 230, Protocol: "h1", Engine: engine},
		},
		Limits: Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
}

// Body returns the encoded configuration.
func (c *Configuration) Body() []byte {
	text, err := json.Marshal(c)
	if err != nil {
		panic(err) // every field can be encoded
	}
	return text
}
