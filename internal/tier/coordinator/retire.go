package coordinator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"pulleygw.example/pulleygw/internal/tier/result"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// States of a retirement, as the operator reads them.
const (
	retirementRunning   = "running"
	retirementCompleted = "completed"
)

// retirementOrder is the body of an order to empty a machine.
type retirementOrder struct {
	DeadlineS float64 `json:"deadlineS"`
}

type retirementBody struct {
	State string `json:"state"`
}

func (c *coordinator) postRetirement(w http.ResponseWriter, r *http.Request) {
	body, refused := readBody(w, r, maximumOrderBytes)
	if refused != nil {
		result.Write(w, refused)
		return
	}
	if err := json.Unmarshal(body, &retirementOrder{}); err != nil && len(body) > 0 {
		result.Write(w, result.New(result.InvalidRetirement, err.Error()))
		return
	}
	name := chi.URLParam(r, "node")
	sent := &retirement{
		node: name, tolerance: c.live.Current().FaultTolerance.MemberFailures(), waiting: c.directory.waitingStore(name),
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.patienceFor(0))
	defer cancel()
	chosen, err := c.register.Change(ctx, sent.change)
	if err != nil {
		c.log.Info("retirement not taken", "node", name, "reason", err)
		result.Write(w, c.retirementRefusal(err))
		return
	}
	c.log.Info("retirement taken", "node", name)
	writeRetirement(w, findRetirement(chosen, name))
}

// retirementRefusal is the answer to an order that failed. Whether a machine that is no member is known rests on its
// calls, of which a coordinator that has just started has had none.
func (c *coordinator) retirementRefusal(err error) *result.Error {
	refusal := resultOf(err)
	if refusal.Code == result.UnknownMachine && c.starting() {
		return result.New(result.NotReady, "")
	}
	return refusal
}

// getRetirement reads the register: the operator takes a machine away on what this answers, with its disk.
func (c *coordinator) getRetirement(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "node")
	ctx, cancel := context.WithTimeout(r.Context(), c.patienceFor(0))
	defer cancel()
	current, err := c.register.Read(ctx)
	if err != nil {
		result.Write(w, resultOf(err))
		return
	}
	writeRetirement(w, retirementInForce(current, name))
}

// retirementInForce returns the newest retirement of a machine, nil where there is none: an order that was completed
// is not about a machine of that name which came again and holds records.
func retirementInForce(current *tierpb.ControlState, name string) *tierpb.Retirement {
	found := findRetirement(current, name)
	stores := current.GetStores()
	if found.GetCompleted() && (nodeNamed(stores.GetCurrent(), name) != nil || nodeNamed(stores.GetPrevious(), name) != nil) {
		return nil
	}
	return found
}

func writeRetirement(w http.ResponseWriter, found *tierpb.Retirement) {
	switch {
	case found == nil:
		result.Write(w, result.New(result.RetirementNotKnown, ""))
	case found.Completed:
		writeJSON(w, retirementBody{State: retirementCompleted})
	default:
		writeJSON(w, retirementBody{State: retirementRunning})
	}
}
