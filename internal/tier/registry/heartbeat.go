// Package registry reads what stores tell of themselves and notices stores that say nothing any more. The list itself
// is a watch.State, which merges and serves it.
package registry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Bounds of a heartbeat.
const (
	MaxBodyBytes        = 64 << 10
	MaxIDBytes          = 1 << 10
	maximumNameBytes    = 1 << 10
	maximumQuotedBytes  = 64 // of a wrong value, in the answer
	maximumModels       = 1 << 10
	maximumWholeNumber  = 1 << 53 // largest that JSON carries without loss
	stateDraining       = "draining"
	stateReady          = "ready"
	maximumMilliseconds = math.MaxUint32
)

// FieldError says which field of a heartbeat is wrong.
type FieldError struct {
	Field   string
	Problem string
}

// Error names the field and the problem.
func (f *FieldError) Error() string {
	if f.Field == "" {
		return f.Problem
	}
	return f.Field + ": " + f.Problem
}

// heartbeat is the body of a registration. Keys that are not known are read over.
type heartbeat struct {
	Backend         string   `json:"backend"`
	Address         string   `json:"address"`
	Zone            string   `json:"zone"`
	Generation      string   `json:"generation"`
	Slots           float64  `json:"slots"`
	State           string   `json:"state"`
	ColdRemainingMs float64  `json:"coldRemainingMs"`
	Sequence        *float64 `json:"sequence"`
	Models          []model  `json:"models"`
}

type model struct {
	Name string `json:"name"`
}

// ParseHeartbeat reads and checks the body of a store's registration; the id is the one in the path.
func ParseHeartbeat(id string, body []byte) (*tierpb.Instance, error) {
	read := heartbeat{}
	if err := json.Unmarshal(body, &read); err != nil {
		return nil, unreadable(err)
	}
	if err := read.check(id); err != nil {
		return nil, err
	}
	instance := &tierpb.Instance{
		Id: id, Backend: read.Backend, Address: read.Address, Zone: read.Zone, Generation: read.Generation,
		Slots: uint32(read.Slots), SlowStartRemainingMs: uint32(read.ColdRemainingMs), Sequence: uint64(*read.Sequence),
	}
	if read.State == stateDraining {
		instance.State = tierpb.InstanceState_INSTANCE_DRAINING
	}
	for _, m := range read.Models {
		instance.Models = append(instance.Models, m.Name)
	}
	return instance, nil
}

func unreadable(err error) error {
	if wrong, ok := err.(*json.UnmarshalTypeError); ok {
		return &FieldError{Field: wrong.Field, Problem: "is a " + wrong.Value}
	}
	return &FieldError{Problem: err.Error()}
}

func (h *heartbeat) check(id string) error {
	if id == "" || len(id) > MaxIDBytes {
		return &FieldError{Field: "instanceId", Problem: fmt.Sprintf("has %d bytes, want 1 to %d", len(id), MaxIDBytes)}
	}
	if h.Backend == "" || len(h.Backend) > maximumNameBytes {
		return &FieldError{Field: "backend", Problem: fmt.Sprintf("has %d bytes, want 1 to %d", len(h.Backend), maximumNameBytes)}
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return &FieldError{Field: "address", Problem: fmt.Sprintf("%.*q is not ip:port", maximumQuotedBytes, h.Address)}
	}
	if h.State != stateReady && h.State != stateDraining {
		return &FieldError{Field: "state", Problem: fmt.Sprintf("%.*q is neither %s nor %s", maximumQuotedBytes, h.State, stateReady, stateDraining)}
	}
	if h.Sequence == nil {
		return &FieldError{Field: "sequence", Problem: "is missing"}
	}
	if len(h.Models) > maximumModels {
		return &FieldError{Field: "models", Problem: fmt.Sprintf("has %d entries, want %d at most", len(h.Models), maximumModels)}
	}
	for _, number := range []struct {
		field string
		value float64
		most  float64
	}{
		{"slots", h.Slots, math.MaxInt32},
		{"coldRemainingMs", h.ColdRemainingMs, maximumMilliseconds},
		{"sequence", *h.Sequence, maximumWholeNumber},
	} {
		if !(number.value >= 0 && number.value <= number.most) {
			return &FieldError{Field: number.field, Problem: fmt.Sprintf("%v is not within 0 to %.0f", number.value, number.most)}
		}
	}
	return nil
}
