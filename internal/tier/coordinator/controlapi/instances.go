package controlapi

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"pulleygw.example/pulleygw/internal/tier/registry"
	"pulleygw.example/pulleygw/internal/tier/result"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func (a *API) putInstance(w http.ResponseWriter, r *http.Request) {
	body, rejection := readBody(w, r, registry.MaxBodyBytes)
	if rejection != nil {
		result.Write(w, rejection)
		return
	}
	instance, err := registry.ParseHeartbeat(chi.URLParam(r, "id"), body)
	if err != nil {
		result.Write(w, validationError(result.InvalidInstance, err))
		return
	}
	a.updateInstance(w, r, instance)
}

func (a *API) deleteInstance(w http.ResponseWriter, r *http.Request) {
	deregistered := &tierpb.Instance{Id: chi.URLParam(r, "id")}
	if len(deregistered.Id) > registry.MaxIDBytes {
		result.Write(w, result.InField(result.InvalidInstance, "instanceId", "is too long"))
		return
	}
	if known := a.options.State.Instance(deregistered.Id); known != nil {
		deregistered = known.CloneVT()
	}
	deregistered.State = tierpb.InstanceState_INSTANCE_DEREGISTERED
	a.updateInstance(w, r, deregistered)
}

// updateInstance merges the state that an instance reported. A terminal state is acknowledged once a quorum of the voters has it
// on disk, any other state at once.
func (a *API) updateInstance(w http.ResponseWriter, r *http.Request, update *tierpb.Instance) {
	before := a.options.State.Instance(update.Id)
	a.options.State.Upsert(update)
	if before.GetState() != update.State || before == nil {
		a.options.Log.Info("instance state changed", "id", update.Id, "backend", update.Backend, "address", update.Address,
			"state", update.State)
	}
	if update.State < tierpb.InstanceState_INSTANCE_DRAINING {
		a.acknowledgeHeartbeat(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.timeoutFor(0))
	defer cancel()
	if !a.options.Announcer.Announce(ctx, a.options.State.Instance(update.Id)) {
		writeError(w, result.NoQuorum)
		return
	}
	writeJSON(w, struct{}{})
}

// acknowledgeHeartbeat acknowledges a heartbeat. While this coordinator is isolated it cannot replicate heartbeats, so it answers
// with an error that makes the instance switch to another coordinator.
func (a *API) acknowledgeHeartbeat(w http.ResponseWriter) {
	if a.options.Membership.Isolated() {
		writeError(w, result.NoQuorum)
		return
	}
	writeJSON(w, struct{}{})
}
