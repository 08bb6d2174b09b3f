package controlapi

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/result"
)

// generationBody is the response to a committed configuration.
type generationBody struct {
	Generation uint64 `json:"generation"`
}

func (a *API) putConfiguration(w http.ResponseWriter, r *http.Request) {
	body, rejection := readBody(w, r, maxConfigurationBytes)
	if rejection != nil {
		result.Write(w, rejection)
		return
	}
	change, rejection := a.parseChange(r.Header.Get("If-Match"), body)
	if rejection != nil {
		a.options.Log.Info("configuration rejected", "reason", rejection)
		result.Write(w, rejection)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.timeoutFor(len(body)))
	defer cancel()
	if _, err := a.options.Register.ChangeUnlessDecided(ctx, change.isDecided, change.apply); err != nil {
		a.options.Log.Info("configuration not committed", "generation", change.Generation, "if-match", change.IfMatch, "reason", err)
		result.Write(w, resultOf(err))
		return
	}
	a.acknowledged.raise(change.Generation)
	a.options.Log.Info("configuration committed", "generation", change.Generation, "bytes", len(body))
	writeJSON(w, generationBody{Generation: change.Generation})
}

// parseChange parses a configuration and the generation in If-Match that it replaces.
func (a *API) parseChange(ifMatch string, body []byte) (*configurationChange, *result.Error) {
	base, err := strconv.ParseUint(strings.Trim(ifMatch, `" `), 10, 64)
	if err != nil {
		return nil, result.InField(result.MalformedHeader, "If-Match", strconv.Quote(ifMatch)+" is no version")
	}
	parsed, err := configuration.Parse(body)
	if err != nil {
		return nil, validationError(result.InvalidConfiguration, err)
	}
	return newConfigurationChange(base, parsed.Generation, body, a.options.Changes), nil
}

func (a *API) getConfiguration(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), a.timeoutFor(0))
	defer cancel()
	floor := a.acknowledged.load()
	current, err := a.options.Register.Read(ctx)
	if err != nil {
		result.Write(w, resultOf(err))
		return
	}
	committed := current.GetConfiguration()
	if !invariant.Check(committed.GetGeneration() >= floor, invariant.ReadNotOlder, committed.GetGeneration(), floor) {
		writeError(w, result.Uncertain)
		return
	}
	a.acknowledged.raise(committed.GetGeneration())
	if committed.GetGeneration() == 0 {
		writeError(w, result.NoConfiguration)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(committed.Generation, 10)))
	writeBytes(w, committed.Body)
}
