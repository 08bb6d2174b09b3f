package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/registry"
	"pulleygw.example/pulleygw/internal/tier/result"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Bounds of calls. Callers move on after a second of silence, later where the body is large.
const (
	patience           = 880 * time.Millisecond
	patienceCutOff     = 300 * time.Millisecond
	patiencePerMebi    = time.Second
	longestPatience    = 3 * time.Second
	maximumConfigBytes = 32 << 20
	maximumOrderBytes  = 16 << 10
	bytesPerMebi       = 1 << 20
)

// routes are the paths of the control API.
func (c *coordinator) routes() http.Handler {
	router := chi.NewRouter()
	router.NotFound(func(w http.ResponseWriter, _ *http.Request) { result.Write(w, result.New(result.UnknownPath, "")) })
	router.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		result.Write(w, result.New(result.WrongMethod, ""))
	})
	router.Get("/v1/readyz", c.getReady)
	router.Get("/v1/config", c.getConfiguration)
	router.Put("/v1/config", c.putConfiguration)
	router.Put("/v1/instances/{id}", c.putInstance)
	router.Delete("/v1/instances/{id}", c.deleteInstance)
	router.Post("/v1/retire/{node}", c.postRetirement)
	router.Get("/v1/retire/{node}", c.getRetirement)
	return router
}

func (c *coordinator) getReady(w http.ResponseWriter, _ *http.Request) {
	if !c.inTouch() {
		result.Write(w, result.New(result.NoQuorum, ""))
		return
	}
	writeJSON(w, struct{}{})
}

// toldGeneration is the newest generation that this process has acknowledged or told of.
type toldGeneration struct{ newest atomic.Uint64 }

func (t *toldGeneration) raise(to uint64) {
	for {
		known := t.newest.Load()
		if to <= known || t.newest.CompareAndSwap(known, to) {
			return
		}
	}
}

// generationBody is the answer to a configuration that was taken.
type generationBody struct {
	Generation uint64 `json:"generation"`
}

func (c *coordinator) putConfiguration(w http.ResponseWriter, r *http.Request) {
	body, refused := readBody(w, r, maximumConfigBytes)
	if refused != nil {
		result.Write(w, refused)
		return
	}
	sent, refused := c.parseOrder(r.Header.Get("If-Match"), body)
	if refused != nil {
		c.log.Info("configuration refused", "reason", refused)
		result.Write(w, refused)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.patienceFor(len(body)))
	defer cancel()
	if _, err := c.register.ChangeUnlessDecided(ctx, sent.isSettled, sent.change); err != nil {
		c.log.Info("configuration not taken", "generation", sent.Generation, "if-match", sent.IfMatch, "reason", err)
		result.Write(w, resultOf(err))
		return
	}
	c.told.raise(sent.Generation)
	c.log.Info("configuration taken", "generation", sent.Generation, "bytes", len(body))
	writeJSON(w, generationBody{Generation: sent.Generation})
}

func (c *coordinator) parseOrder(ifMatch string, body []byte) (*order, *result.Error) {
	base, err := strconv.ParseUint(strings.Trim(ifMatch, `" `), 10, 64)
	if err != nil {
		return nil, result.InField(result.MalformedHeader, "If-Match", strconv.Quote(ifMatch)+" is no version")
	}
	parsed, err := configuration.Parse(body)
	if err != nil {
		return nil, invalid(result.InvalidConfiguration, err)
	}
	return newOrder(base, parsed.Generation, body, c.history), nil
}

func (c *coordinator) getConfiguration(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), c.patienceFor(0))
	defer cancel()
	floor := c.told.newest.Load()
	current, err := c.register.Read(ctx)
	if err != nil {
		result.Write(w, resultOf(err))
		return
	}
	taken := current.GetConfiguration()
	if !invariant.Check(taken.GetGeneration() >= floor, invariant.ReadNotOlder, taken.GetGeneration(), floor) {
		result.Write(w, result.New(result.Uncertain, ""))
		return
	}
	c.told.raise(taken.GetGeneration())
	if taken.GetGeneration() == 0 {
		result.Write(w, result.New(result.NoConfiguration, ""))
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(taken.Generation, 10)))
	writeBytes(w, taken.Body)
}

func (c *coordinator) putInstance(w http.ResponseWriter, r *http.Request) {
	body, refused := readBody(w, r, registry.MaxBodyBytes)
	if refused != nil {
		result.Write(w, refused)
		return
	}
	instance, err := registry.ParseHeartbeat(chi.URLParam(r, "id"), body)
	if err != nil {
		result.Write(w, invalid(result.InvalidInstance, err))
		return
	}
	c.takeInstance(w, r, instance)
}

func (c *coordinator) deleteInstance(w http.ResponseWriter, r *http.Request) {
	gone := &tierpb.Instance{Id: chi.URLParam(r, "id")}
	if len(gone.Id) > registry.MaxIDBytes {
		result.Write(w, result.InField(result.InvalidInstance, "instanceId", "is too long"))
		return
	}
	if known := c.state.Instance(gone.Id); known != nil {
		gone = known.CloneVT()
	}
	gone.State = tierpb.InstanceState_INSTANCE_DEREGISTERED
	c.takeInstance(w, r, gone)
}

// takeInstance merges what a store said. A final state is acknowledged when a majority of the voters has it.
func (c *coordinator) takeInstance(w http.ResponseWriter, r *http.Request, told *tierpb.Instance) {
	before := c.state.Instance(told.Id)
	c.state.Upsert(told)
	if before.GetState() != told.State || before == nil {
		c.log.Info("store", "id", told.Id, "backend", told.Backend, "address", told.Address, "state", told.State)
	}
	if told.State < tierpb.InstanceState_INSTANCE_DRAINING {
		c.acknowledgeReady(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.patienceFor(0))
	defer cancel()
	if !c.announce(ctx, c.state.Instance(told.Id)) {
		result.Write(w, result.New(result.NoQuorum, ""))
		return
	}
	writeJSON(w, struct{}{})
}

// acknowledgeReady sends a store to another coordinator where this one cannot pass its heartbeats on.
func (c *coordinator) acknowledgeReady(w http.ResponseWriter) {
	if c.cutOff() {
		result.Write(w, result.New(result.NoQuorum, ""))
		return
	}
	writeJSON(w, struct{}{})
}

// readBody reads a body whole.
func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, *result.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return nil, result.New(result.BodyTooLarge, "")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) { // no refusal: the order may have been taken elsewhere
		return nil, result.New(result.BodyTooSlow, "")
	}
	if err != nil {
		return nil, result.New(result.UnreadableBody, "the body ends after "+strconv.Itoa(len(body))+" bytes")
	}
	return body, nil
}

// patienceFor is how long a call with a body of this size may take. One that is cut off sends callers on sooner.
func (c *coordinator) patienceFor(bytes int) time.Duration {
	if c.cutOff() {
		return patienceCutOff
	}
	return min(patience+time.Duration(bytes)*patiencePerMebi/bytesPerMebi, longestPatience)
}

// invalid tells which field of a body is at fault.
func invalid(code result.Code, err error) *result.Error {
	switch fault := err.(type) {
	case *configuration.FieldError:
		return result.InField(code, fault.Field, fault.Reason)
	case *registry.FieldError:
		return result.InField(code, fault.Field, fault.Problem)
	}
	return result.New(code, err.Error())
}

// resultOf turns the end of a change into an answer. Only what was decided on a chosen value is a refusal.
func resultOf(err error) *result.Error {
	if refused := (*result.Error)(nil); errors.As(err, &refused) {
		return refused
	}
	if eris.Is(err, register.ErrUncertain) {
		return result.New(result.Uncertain, "")
	}
	return result.New(result.NoQuorum, "")
}

func writeJSON(w http.ResponseWriter, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		result.Write(w, result.New(result.InternalMistake, ""))
		return
	}
	writeBytes(w, text)
}

func writeBytes(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text) // a caller that left needs no answer
}
