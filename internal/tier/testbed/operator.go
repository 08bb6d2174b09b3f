package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Configuration is an operator's configuration.
type Configuration struct {
	Generation uint64    `json:"generation"`
	Routes     []Route   `json:"routes"`
	Services   []Service `json:"services"`
	Limits     Limits    `json:"limits"`
}

// Route of a configuration.
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

// Service of a configuration.
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`
	MaxConnections int     `json:"maxConnections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	Engine         *Engine `json:"engine,omitempty"`
}

// Engine of a service that generates tokens.
type Engine struct {
	Slots    int           `json:"slots"`
	KVTokens int           `json:"kvTokens"`
	KVBytes  int           `json:"kvBytes"`
	LinkMbps float64       `json:"linkMbps"`
	Stride   int           `json:"stride"`
	Models   []EngineModel `json:"models"`
}

// EngineModel is a model that an engine has.
type EngineModel struct {
	Name string `json:"name"`
}

// Limits on clients.
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
	DraftPrefix   = "/draft/" // streams that may be resumed
	TalkPrefix    = "/talk/"  // streams whose turns are kept
)

// ExampleConfiguration has a route of each kind.
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

// Body is the configuration as it is sent.
func (c *Configuration) Body() []byte {
	text, err := json.Marshal(c)
	if err != nil {
		panic(err) // no member can fail
	}
	return text
}

// ControlResponse is the clear answer to an order.
type ControlResponse struct {
	Status int
	Body   []byte
}

// Operator sends orders to whichever coordinator answers.
type Operator struct {
	controls []string
	client   *http.Client
	turn     atomic.Uint64
}

// NewOperator makes an operator that knows these control addresses.
func NewOperator(controls []string) *Operator {
	return &Operator{controls: controls, client: &http.Client{Timeout: callTimeout}}
}

// PutConfiguration sends a configuration that builds on a version, again and again until the answer is clear.
func (o *Operator) PutConfiguration(ctx context.Context, ifMatch uint64, body []byte) (ControlResponse, error) {
	return o.order(ctx, http.MethodPut, "/v1/config", body, strconv.FormatUint(ifMatch, 10))
}

// Configuration reads the newest configuration.
func (o *Operator) Configuration(ctx context.Context) (ControlResponse, error) {
	return o.order(ctx, http.MethodGet, "/v1/config", nil, "")
}

// Retire asks for a machine to be emptied.
func (o *Operator) Retire(ctx context.Context, node string, deadline time.Duration) (ControlResponse, error) {
	body, err := json.Marshal(struct {
		DeadlineS float64 `json:"deadlineS"`
	}{deadline.Seconds()})
	if err != nil {
		return ControlResponse{}, err
	}
	return o.order(ctx, http.MethodPost, "/v1/retire/"+node, body, "")
}

// Retirement asks how far the emptying of a machine is: running or completed.
func (o *Operator) Retirement(ctx context.Context, node string) (string, error) {
	answer, err := o.order(ctx, http.MethodGet, "/v1/retire/"+node, nil, "")
	if err != nil {
		return "", err
	}
	said := struct {
		State string `json:"state"`
	}{}
	if err := json.Unmarshal(answer.Body, &said); err != nil {
		return "", eris.Wrapf(err, "status %d", answer.Status)
	}
	return said.State, nil
}

func (o *Operator) order(ctx context.Context, method, path string, body []byte, ifMatch string) (ControlResponse, error) {
	clear := ControlResponse{}
	err := retry(ctx, func(ctx context.Context) error {
		address := o.controls[o.turn.Add(1)%uint64(len(o.controls))]
		answer, err := o.call(ctx, method, "http://"+address+path, body, ifMatch)
		if err != nil {
			return err
		}
		if answer.unclear() {
			return eris.Errorf("%s %s: %d %s", method, path, answer.Status, answer.Body)
		}
		clear = answer
		return nil
	})
	return clear, err
}

// unclear says whether the order is to be sent again.
func (a ControlResponse) unclear() bool {
	return a.Status >= http.StatusInternalServerError ||
		a.Status == http.StatusRequestTimeout || a.Status == http.StatusTooManyRequests
}

func (o *Operator) call(ctx context.Context, method, url string, body []byte, ifMatch string) (ControlResponse, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return ControlResponse{}, err
	}
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	answer, err := o.client.Do(request)
	if err != nil {
		return ControlResponse{}, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return ControlResponse{}, err
	}
	return ControlResponse{Status: answer.StatusCode, Body: text}, nil
}
