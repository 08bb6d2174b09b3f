package proxy

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/admission"
	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/upstream"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// endpointList indexes the stores of the watched state by service and by instance. It is not safe for concurrent use.
type endpointList struct {
	version    uint64 // of the watched state at the last update
	byService  map[string]map[string]*tierpb.Instance
	byInstance map[string]*tierpb.Instance
}

// update applies the changes of the watched state since the last update and returns the names of the services whose
// stores changed.
func (l *endpointList) update(state *watch.State) map[string]struct{} {
	changed, version := state.ChangedSince(l.version)
	l.version = version
	changedServices := make(map[string]struct{})
	for _, instance := range changed {
		changedServices[instance.Backend] = struct{}{}
		if previous := l.byInstance[instance.Id]; previous != nil && previous.Backend != instance.Backend {
			changedServices[previous.Backend] = struct{}{}
			delete(l.byService[previous.Backend], instance.Id)
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
	return changedServices
}

// everHadStores reports whether any store has ever been known: a service stays in byService when its last store
// deregisters.
func (l *endpointList) everHadStores() bool { return len(l.byService) > 0 }

// servicesOf returns the names of all services of both configurations, because a new configuration may change the
// settings of any service. previous may be nil.
func servicesOf(current, previous *configuration.Configuration) map[string]struct{} {
	services := make(map[string]struct{})
	for i := range current.Services {
		services[current.Services[i].Name] = struct{}{}
	}
	if previous != nil {
		for i := range previous.Services {
			services[previous.Services[i].Name] = struct{}{}
		}
	}
	return services
}

// stores returns the stores of a service as admission expects them.
func (l *endpointList) stores(service string, now time.Time) []admission.Store {
	stores := make([]admission.Store, 0, len(l.byService[service]))
	for _, instance := range l.byService[service] {
		store := admission.Store{
			Instance: instance.Id, Address: instance.Address, Zone: instance.Zone,
			Slots: int(instance.Slots), State: admission.State(instance.State),
		}
		if instance.SlowStartRemainingMs > 0 {
			store.SlowStartUntil = now.Add(time.Duration(instance.SlowStartRemainingMs) * time.Millisecond)
		}
		stores = append(stores, store)
	}
	return stores
}

// inUse reports whether a store is known and not draining. Idle connections to other stores are closed.
func (l *endpointList) inUse(store upstream.Store) bool {
	instance := l.byInstance[store.Instance]
	return instance != nil && instance.State < tierpb.InstanceState_INSTANCE_DRAINING
}
