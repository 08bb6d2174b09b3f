package controlapi

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"pulleygw.example/pulleygw/internal/tier/result"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// States of a retirement in responses to the operator.
const (
	retirementRunning   = "running"
	retirementCompleted = "completed"
)

// retirementRequest is the body of a request to retire a machine.
type retirementRequest struct {
	DeadlineS float64 `json:"deadlineS"`
}

// retirementBody is the response to requests about a retirement.
type retirementBody struct {
	State string `json:"state"`
}

func (a *API) postRetirement(w http.ResponseWriter, r *http.Request) {
	body, rejection := readBody(w, r, maxRetirementBytes)
	if rejection != nil {
		result.Write(w, rejection)
		return
	}
	if err := json.Unmarshal(body, &retirementRequest{}); err != nil && len(body) > 0 {
		result.Write(w, result.New(result.InvalidRetirement, err.Error()))
		return
	}
	name := chi.URLParam(r, "node")
	requested := &retirement{
		node: name, tolerance: a.options.Live.Current().FaultTolerance.MemberFailures(), pending: a.options.Membership.PendingStore(name),
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.timeoutFor(0))
	defer cancel()
	chosen, err := a.options.Register.Change(ctx, requested.apply)
	if err != nil {
		a.options.Log.Info("retirement not committed", "node", name, "reason", err)
		result.Write(w, a.retirementError(err))
		return
	}
	a.options.Log.Info("retirement committed", "node", name)
	writeRetirement(w, findRetirement(chosen, name))
}

// retirementError returns the response to a failed request. A machine that is no member is known only by its join requests,
// and a coordinator that has just started may not have received any yet, so it does not report the machine as unknown.
func (a *API) retirementError(err error) *result.Error {
	failure := resultOf(err)
	if failure.Code == result.UnknownMachine && a.options.Membership.Starting() {
		return result.New(result.NotReady, "")
	}
	return failure
}

// getRetirement answers from a read of the register rather than from the locally known control state, because the operator
// removes the machine together with its disk when the response reports the retirement as completed.
func (a *API) getRetirement(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "node")
	ctx, cancel := context.WithTimeout(r.Context(), a.timeoutFor(0))
	defer cancel()
	current, err := a.options.Register.Read(ctx)
	if err != nil {
		result.Write(w, resultOf(err))
		return
	}
	writeRetirement(w, currentRetirement(current, name))
}

// currentRetirement returns the newest retirement of a machine, or nil. A completed retirement no longer applies if a machine with
// the same name has joined again, because that machine holds records.
func currentRetirement(current *tierpb.ControlState, name string) *tierpb.Retirement {
	found := findRetirement(current, name)
	stores := current.GetStores()
	if found.GetCompleted() && (findNode(stores.GetCurrent(), name) != nil || findNode(stores.GetPrevious(), name) != nil) {
		return nil
	}
	return found
}

func writeRetirement(w http.ResponseWriter, found *tierpb.Retirement) {
	switch {
	case found == nil:
		writeError(w, result.RetirementNotFound)
	case found.Completed:
		writeJSON(w, retirementBody{State: retirementCompleted})
	default:
		writeJSON(w, retirementBody{State: retirementRunning})
	}
}
