package proxy

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/admission"
	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/upstream"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// endpointList is the list of stores by service, as far as it was taken from the state. It has one user at a time.
type endpointList struct {
	version    uint64
	byService  map[string]map[string]*tierpb.Instance
	byInstance map[string]*tierpb.Instance
}

// update brings the listing up to date and returns the services whose stores changed.
func (l *endpointList) update(state *watch.State) map[string]struct{} {
	changed, version := state.ChangedSince(l.version)
	l.version = version
	touched := make(map[string]struct{})
	for _, instance := range changed {
		touched[instance.Backend] = struct{}{}
		if before := l.byInstance[instance.Id]; before != nil && before.Backend != instance.Backend {
			touched[before.Backend] = struct{}{}
			delete(l.byService[before.Backend], instance.Id)
		}
		stores := l.byService[instance.Backend]
		if instance.State == tierpb.InstanceState_INSTANCE_DEREGISTERED {
			delete(stores, instance.Id)
			delete(l.byInstance, instance.Id)
			continue
		}
		if stores == nil {
			stores = make(map[string]*tierpb.Instance)
			l.byService[instance.Backend] = stores
		}
		stores[instance.Id] = instance
		l.byInstance[instance.Id] = instance
	}
	return touched
}

func (l *endpointList) any() bool { return len(l.byService) > 0 }

// servicesOf names all services of two views, as after a change of the configuration.
func (l *endpointList) servicesOf(current *snapshot, before *configuration.Configuration) map[string]struct{} {
	touched := make(map[string]struct{})
	for i := range current.configuration.Services {
		touched[current.configuration.Services[i].Name] = struct{}{}
	}
	if before != nil {
		for i := range before.Services {
			touched[before.Services[i].Name] = struct{}{}
		}
	}
	return touched
}

// stores are those of a service as admission takes them.
func (l *endpointList) stores(service string, now time.Time) []admission.Store {
	listed := make([]admission.Store, 0, len(l.byService[service]))
	for _, instance := range l.byService[service] {
		store := admission.Store{
			Instance: instance.Id, Address: instance.Address, Zone: instance.Zone,
			Slots: int(instance.Slots), State: admission.State(instance.State),
		}
		if instance.SlowStartRemainingMs > 0 {
			store.SlowStartUntil = now.Add(time.Duration(instance.SlowStartRemainingMs) * time.Millisecond)
		}
		listed = append(listed, store)
	}
	return listed
}

// inUse says whether connections to a store are worth keeping.
func (l *endpointList) inUse(store upstream.Store) bool {
	instance := l.byInstance[store.Instance]
	return instance != nil && instance.State < tierpb.InstanceState_INSTANCE_DRAINING
}
