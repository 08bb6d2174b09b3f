package proxy

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/admission"
	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/upstream"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// endpointList holds the stores of each service, as taken from the watched state. It is used by one goroutine only.
type endpointList struct {
	version    uint64
	byService  map[string]map[string]*tierpb.Instance
	byInstance map[string]*tierpb.Instance
}

// update takes in what changed in the state and returns the names of the services whose stores changed.
func (l *endpointList) update(state *watch.State) map[string]struct{} {
	changed, version := state.ChangedSince(l.version)
	l.version = version
	changedServices := make(map[string]struct{})
	for _, instance := range changed {
		changedServices[instance.Backend] = struct{}{}
		if before := l.byInstance[instance.Id]; before != nil && before.Backend != instance.Backend {
			changedServices[before.Backend] = struct{}{}
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
	return changedServices
}

// hasStores reports whether a store of any service was ever known.
func (l *endpointList) hasStores() bool { return len(l.byService) > 0 }

// servicesOf returns the names of all services of both configurations: after a change of the configuration the
// settings of each may differ.
func servicesOf(current, before *configuration.Configuration) map[string]struct{} {
	changedServices := make(map[string]struct{})
	for i := range current.Services {
		changedServices[current.Services[i].Name] = struct{}{}
	}
	if before != nil {
		for i := range before.Services {
			changedServices[before.Services[i].Name] = struct{}{}
		}
	}
	return changedServices
}

// stores lists the stores of a service in the form that admission takes.
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

// inUse reports whether idle connections to a store are kept: it is known and not draining.
func (l *endpointList) inUse(store upstream.Store) bool {
	instance := l.byInstance[store.Instance]
	return instance != nil && instance.State < tierpb.InstanceState_INSTANCE_DRAINING
}
