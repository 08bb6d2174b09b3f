package proxy

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/admission"
	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/upstream"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// listing is the list of stores by service, as far as it was taken from the state. It has one user at a time.
type listing struct {
	version   uint64
	services  map[string]map[string]*tierpb.Instance
	instances map[string]*tierpb.Instance
}

// take brings the listing up to date and returns the services whose stores changed.
func (l *listing) take(state *watch.State) map[string]struct{} {
	changed, version := state.ChangedSince(l.version)
	l.version = version
	touched := make(map[string]struct{})
	for _, instance := range changed {
		touched[instance.Backend] = struct{}{}
		if before := l.instances[instance.Id]; before != nil && before.Backend != instance.Backend {
			touched[before.Backend] = struct{}{}
			delete(l.services[before.Backend], instance.Id)
		}
		stores := l.services[instance.Backend]
		if instance.State == tierpb.InstanceState_INSTANCE_DEREGISTERED {
			delete(stores, instance.Id)
			delete(l.instances, instance.Id)
			continue
		}
		if stores == nil {
			stores = make(map[string]*tierpb.Instance)
			l.services[instance.Backend] = stores
		}
		stores[instance.Id] = instance
		l.instances[instance.Id] = instance
	}
	return touched
}

func (l *listing) known() bool { return len(l.services) > 0 }

// allTouched names all services of two views, as after a change of the configuration.
func (l *listing) allTouched(current *view, before *configuration.Configuration) map[string]struct{} {
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
func (l *listing) stores(service string, now time.Time) []admission.Store {
	listed := make([]admission.Store, 0, len(l.services[service]))
	for _, instance := range l.services[service] {
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

// holds says whether connections to a store are worth keeping.
func (l *listing) holds(store upstream.Store) bool {
	instance := l.instances[store.Instance]
	return instance != nil && instance.State < tierpb.InstanceState_INSTANCE_DRAINING
}
