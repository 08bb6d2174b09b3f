package controlapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/registry"
	"pulleygw.example/pulleygw/internal/tier/result"
)

// readBody reads a complete body of at most so many bytes.
func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, *result.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return nil, result.New(result.BodyTooLarge, "")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) { // no rejection: the change may have been committed elsewhere
		return nil, result.New(result.BodyTooSlow, "")
	}
	if err != nil {
		return nil, result.New(result.UnreadableBody, "the body ends after "+strconv.Itoa(len(body))+" bytes")
	}
	return body, nil
}

// invalid says which field of a body is at fault.
func invalid(code result.Code, err error) *result.Error {
	if fault := (*configuration.FieldError)(nil); errors.As(err, &fault) {
		return result.InField(code, fault.Field, fault.Reason)
	}
	if fault := (*registry.FieldError)(nil); errors.As(err, &fault) {
		return result.InField(code, fault.Field, fault.Problem)
	}
	return result.New(code, err.Error())
}

// resultOf turns the end of a change into an answer. Only what was decided on a chosen value is a rejection.
func resultOf(err error) *result.Error {
	if rejection := (*result.Error)(nil); errors.As(err, &rejection) {
		return rejection
	}
	if eris.Is(err, register.ErrUncertain) {
		return result.New(result.Uncertain, "")
	}
	return result.New(result.NoQuorum, "")
}

func writeError(w http.ResponseWriter, code result.Code) { result.Write(w, result.New(code, "")) }

func writeJSON(w http.ResponseWriter, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		writeError(w, result.InternalMistake)
		return
	}
	writeBytes(w, text)
}

func writeBytes(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text) // a caller that left needs no answer
}
