// Package controlapi is the HTTP API of a coordinator. Operators use it to change the configuration and to retire machines;
// instances use it to register, send heartbeats, drain and deregister.
//
//	GET    /v1/readyz          returns 200 while this coordinator has quorum contact
//	GET    /v1/config          returns the current configuration, with its generation as ETag
//	PUT    /v1/config          replaces the configuration whose generation is given in If-Match
//	PUT    /v1/instances/{id}  receives a heartbeat of an instance
//	DELETE /v1/instances/{id}  deregisters an instance
//	POST   /v1/retire/{node}   starts the retirement of a turn store's machine: its records move to other machines
//	GET    /v1/retire/{node}   returns the state of that retirement
//
// # Errors
//
// Every error is a result.Error: a status, a code and often the invalid field. Errors in the request itself (400, 404 for
// an unknown path, 405, 408, 413) are detected without the control state. Other rejections (404, 409, 412) are based on
// a value known to be chosen. A 408 is no rejection: the change may have been committed elsewhere. If no quorum answers in
// time or the outcome is unknown, the response is 503, and the caller repeats the request here or at another coordinator. This
// is safe because all requests are idempotent. The timeout of a call with a small body (callTimeout) is below the second after
// which callers switch to another coordinator.
//
// # State
//
// The only state of the API is the newest generation that it has acknowledged or returned. It serves to check that reads of
// the register never return an older one. All other state belongs to the register, the membership and the announcer.
package controlapi

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/changelog"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/result"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// Timeouts and size limits of calls. Callers switch to another coordinator after one second without a response, and later than
// that if the body is large.
const (
	callTimeout            = 880 * time.Millisecond // of a call with an empty body
	callTimeoutPerMebibyte = time.Second            // added per MiB of the body
	maxCallTimeout         = 3 * time.Second
	isolatedCallTimeout    = 300 * time.Millisecond // without quorum contact, so that callers switch sooner

	maxConfigurationBytes = 32 << 20
	maxRetirementBytes    = 16 << 10
	bytesPerMebibyte      = 1 << 20
)

// Register holds the control state, replicated on the voters.
type Register interface {
	// Change applies a function to the newest value and returns the value that is chosen.
	Change(ctx context.Context, change register.ChangeFunc) (*tierpb.ControlState, error)
	// ChangeUnlessDecided does the same, but writes nothing if a chosen value already decides the outcome of the change.
	ChangeUnlessDecided(
		ctx context.Context, isDecided func(*tierpb.ControlState) bool, change register.ChangeFunc,
	) (*tierpb.ControlState, error)
	// Read returns the newest chosen value.
	Read(ctx context.Context) (*tierpb.ControlState, error)
}

// Membership provides what the API needs to know about the other nodes.
type Membership interface {
	// HasQuorumContact reports whether a quorum of the voters has answered this process recently.
	HasQuorumContact() bool
	// Isolated reports that there is no quorum contact although the startup grace is over.
	Isolated() bool
	// Starting reports that this process may not have had enough time since its start to find the others.
	Starting() bool
	// PendingStore returns the turn store with this name that is asking to join, or nil.
	PendingStore(name string) *tierpb.Node
}

// Announcer replicates terminal states of instances.
type Announcer interface {
	// Announce replicates the state of an instance and reports whether a quorum of the voters has saved it before ctx ends.
	Announce(ctx context.Context, instance *tierpb.Instance) bool
}

// Options of an API. All are required.
type Options struct {
	Live       *settings.Live // source of the fault tolerance
	State      *watch.State   // holds the instances
	Register   Register
	Membership Membership
	Announcer  Announcer
	Changes    changelog.Segments // older configuration changes
	Log        hclog.Logger
}

// API handles the requests of the control API. It is safe for concurrent use.
type API struct {
	options      Options
	acknowledged generationWatermark
}

// New returns an API. Its requests are served by Handler.
func New(options Options) *API { return &API{options: options} }

// Handler returns a handler with all routes of the control API.
func (a *API) Handler() http.Handler {
	router := chi.NewRouter()
	router.NotFound(func(w http.ResponseWriter, _ *http.Request) { writeError(w, result.UnknownPath) })
	router.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) { writeError(w, result.WrongMethod) })
	router.Get("/v1/readyz", a.getReadiness)
	router.Get("/v1/config", a.getConfiguration)
	router.Put("/v1/config", a.putConfiguration)
	router.Put("/v1/instances/{id}", a.putInstance)
	router.Delete("/v1/instances/{id}", a.deleteInstance)
	router.Post("/v1/retire/{node}", a.postRetirement)
	router.Get("/v1/retire/{node}", a.getRetirement)
	return router
}

func (a *API) getReadiness(w http.ResponseWriter, _ *http.Request) {
	if !a.options.Membership.HasQuorumContact() {
		writeError(w, result.NoQuorum)
		return
	}
	writeJSON(w, struct{}{})
}

// timeoutFor returns how long a call with a body of this size may take. It is shorter while this coordinator is isolated.
func (a *API) timeoutFor(bytes int) time.Duration {
	if a.options.Membership.Isolated() {
		return isolatedCallTimeout
	}
	return min(callTimeout+time.Duration(bytes)*callTimeoutPerMebibyte/bytesPerMebibyte, maxCallTimeout)
}
