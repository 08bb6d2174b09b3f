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

// readBody reads a complete body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *result.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return nil, result.New(result.BodyTooLarge, "")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) { // not a rejection: the change may have been committed elsewhere
		return nil, result.New(result.BodyTooSlow, "")
	}
	if err != nil {
		return nil, result.New(result.UnreadableBody, "the body ends after "+strconv.Itoa(len(body))+" bytes")
	}
	return body, nil
}

// validationError converts an error in a body into a result.Error that names the invalid field if it is known.
func validationError(code result.Code, err error) *result.Error {
	if invalidField := (*configuration.FieldError)(nil); errors.As(err, &invalidField) {
		return result.InField(code, invalidField.Field, invalidField.Reason)
	}
	if invalidField := (*registry.FieldError)(nil); errors.As(err, &invalidField) {
		return result.InField(code, invalidField.Field, invalidField.Problem)
	}
	return result.New(code, err.Error())
}

// resultOf converts the error of a register call into a result.Error. An error is a rejection only if it is already
// a *result.Error: those are returned for decisions based on a chosen value.
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
		writeError(w, result.InternalError)
		return
	}
	writeBytes(w, text)
}

func writeBytes(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text) // fails only if the caller has disconnected
}
