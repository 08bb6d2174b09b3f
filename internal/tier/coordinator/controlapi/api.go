// Package controlapi is the HTTP interface of a coordinator: operators send configurations and retire machines, instances
// register, send heartbeats, drain and deregister.
//
//	GET    /v1/readyz          200 while a quorum of the voters answers this coordinator
//	GET    /v1/config          the configuration in force, with its generation as ETag
//	PUT    /v1/config          replaces the configuration that If-Match names
//	PUT    /v1/instances/{id}  a heartbeat of an instance
//	DELETE /v1/instances/{id}  deregisters an instance
//	POST   /v1/retire/{node}   has a turn store's machine emptied
//	GET    /v1/retire/{node}   whether it is empty
//
// # Answers
//
// Every error is a result.Error: a status, a code and often the field at fault. A fault of the request itself (400, 404
// for a path, 405, 408, 413) is found without the control state; any other rejection (404, 409, 412) rests on a value that is
// known to be chosen. After a 408 the outcome is open. Where no quorum answers in time, or the outcome is not known, the answer is 503, and the caller
// sends the same request again, here or to another coordinator: all requests are idempotent. Bounds of time (callTimeout) lie
// below the second after which callers go on by themselves.
//
// # State
//
// The API keeps one number, the newest generation that it has acknowledged or returned, as a check that what it reads from the
// register is never older. All else belongs to what it calls: the register, the membership and the announcer.
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

// Bounds of calls. Callers move on after a second without an answer, later where the body is large.
const (
	callTimeout            = 880 * time.Millisecond // of a call with an empty body
	callTimeoutPerMebibyte = time.Second            // added for the body
	maxCallTimeout         = 3 * time.Second
	isolatedCallTimeout    = 300 * time.Millisecond // without quorum contact, so that callers go on sooner

	maxConfigurationBytes = 32 << 20
	maxRetirementBytes    = 16 << 10
	bytesPerMebibyte      = 1 << 20
)

// Register is the control state that a quorum of the voters keeps.
type Register interface {
	// Change replaces the newest value by what the function makes of it, and returns the value chosen.
	Change(ctx context.Context, change register.ChangeFunc) (*tierpb.ControlState, error)
	// ChangeUnlessDecided does the same, without a write where the outcome is decided already on a chosen value.
	ChangeUnlessDecided(
		ctx context.Context, isDecided func(*tierpb.ControlState) bool, change register.ChangeFunc,
	) (*tierpb.ControlState, error)
	// Read returns the newest chosen value.
	Read(ctx context.Context) (*tierpb.ControlState, error)
}

// Membership is what the API needs to know of the other nodes.
type Membership interface {
	// InContact reports whether a quorum of the voters answers this process.
	InContact() bool
	// Isolated reports that no quorum answers, though there was time to find one.
	Isolated() bool
	// Starting reports that this process may not have had the time to find the others yet.
	Starting() bool
	// PendingStore returns the turn store of a name that asks to join, nil where none does.
	PendingStore(name string) *tierpb.Node
}

// Announcer replicates final states of instances.
type Announcer interface {
	// Announce reports whether a quorum of the voters has the state on disk before ctx ends.
	Announce(ctx context.Context, instance *tierpb.Instance) bool
}

// Options of an API. All are required.
type Options struct {
	Live       *settings.Live // fault tolerance
	State      *watch.State   // the instances
	Register   Register
	Membership Membership
	Announcer  Announcer
	Changes    changelog.Segments // older configuration changes
	Log        hclog.Logger
}

// API serves the control API. It is safe for concurrent use.
type API struct {
	options      Options
	acknowledged generationWatermark
}

// New returns an API; Handler serves it.
func New(options Options) *API { return &API{options: options} }

// Handler returns the routes of the control API.
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
	if !a.options.Membership.InContact() {
		writeError(w, result.NoQuorum)
		return
	}
	writeJSON(w, struct{}{})
}

// timeoutFor is how long a call with a body of this size may take. An isolated coordinator sends callers on sooner.
func (a *API) timeoutFor(bytes int) time.Duration {
	if a.options.Membership.Isolated() {
		return isolatedCallTimeout
	}
	return min(callTimeout+time.Duration(bytes)*callTimeoutPerMebibyte/bytesPerMebibyte, maxCallTimeout)
}
