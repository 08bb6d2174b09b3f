package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Limits of a heartbeat. They keep a faulty store from filling the memory of all processes that have the list of instances.
const (
	MaxBodyBytes = 64 << 10 // of the request body
	MaxIDBytes   = 1 << 10  // of the instance id

	maxNameBytes    = 1 << 10
	maxQuotedBytes  = 64 // of an invalid value that is quoted in an error
	maxModels       = 1 << 10
	maxSequence     = 1 << 53 // float64 represents all integers up to this one exactly
	maxMilliseconds = math.MaxUint32
)

// Values of the key "state".
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// FieldError is the error for a heartbeat that cannot be parsed or has an invalid value.
type FieldError struct {
	Field   string // JSON key; empty if the body as a whole is invalid
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Problem
	}
	return e.Field + ": " + e.Problem
}

// heartbeat is the JSON body of a registration. Unknown keys are ignored. Numbers are parsed as float64, so that
// fractions are accepted (and truncated) and the error for a value out of range can name the valid range.
type heartbeat struct {
	Backend              string   `json:"backend"`
	Address              string   `json:"address"`
	Zone                 string   `json:"zone"`
	Generation           string   `json:"generation"`
	Slots                float64  `json:"slots"`
	State                string   `json:"state"`
	SlowStartRemainingMs float64  `json:"coldRemainingMs"`
	Sequence             *float64 `json:"sequence"`
	Models               []model  `json:"models"`
}

type model struct {
	Name string `json:"name"`
}

// ParseHeartbeat parses and validates the body of a store's registration. The id is that in the request path. Every error
// is a *FieldError.
func ParseHeartbeat(id string, body []byte) (*tierpb.Instance, error) {
	parsed := heartbeat{}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, syntaxError(err)
	}
	if err := parsed.validate(id); err != nil {
		return nil, err
	}
	instance := &tierpb.Instance{
		Id: id, Backend: parsed.Backend, Address: parsed.Address, Zone: parsed.Zone, Generation: parsed.Generation,
		Slots: uint32(parsed.Slots), SlowStartRemainingMs: uint32(parsed.SlowStartRemainingMs), Sequence: uint64(*parsed.Sequence),
	}
	if parsed.State == stateDraining {
		instance.State = tierpb.InstanceState_INSTANCE_DRAINING
	}
	for _, m := range parsed.Models {
		instance.Models = append(instance.Models, m.Name)
	}
	return instance, nil
}

func syntaxError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return &FieldError{Field: mismatch.Field, Problem: "is a " + mismatch.Value}
	}
	return &FieldError{Problem: err.Error()}
}

func (h *heartbeat) validate(id string) error {
	if id == "" || len(id) > MaxIDBytes {
		return &FieldError{Field: "instanceId", Problem: fmt.Sprintf("has %d bytes, want 1 to %d", len(id), MaxIDBytes)}
	}
	if h.Backend == "" || len(h.Backend) > maxNameBytes {
		return &FieldError{Field: "backend", Problem: fmt.Sprintf("has %d bytes, want 1 to %d", len(h.Backend), maxNameBytes)}
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return &FieldError{Field: "address", Problem: fmt.Sprintf("%.*q is not ip:port", maxQuotedBytes, h.Address)}
	}
	if h.State != stateReady && h.State != stateDraining {
		return &FieldError{Field: "state", Problem: fmt.Sprintf("%.*q is neither %s nor %s", maxQuotedBytes, h.State, stateReady, stateDraining)}
	}
	if h.Sequence == nil {
		return &FieldError{Field: "sequence", Problem: "is missing"}
	}
	if len(h.Models) > maxModels {
		return &FieldError{Field: "models", Problem: fmt.Sprintf("has %d entries, want %d at most", len(h.Models), maxModels)}
	}
	for _, number := range []struct {
		field string
		value float64
		max   float64
	}{
		{"slots", h.Slots, math.MaxInt32},
		{"coldRemainingMs", h.SlowStartRemainingMs, maxMilliseconds},
		{"sequence", *h.Sequence, maxSequence},
	} {
		if !(number.value >= 0 && number.value <= number.max) {
			return &FieldError{Field: number.field, Problem: fmt.Sprintf("%v is not within 0 to %.0f", number.value, number.max)}
		}
	}
	return nil
}
