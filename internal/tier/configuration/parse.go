package configuration

import "time"

// Limits of a configuration that names none.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// Parse reads and checks the operator's configuration, whole. An error is a *FieldError that names the field. Keys
// that are not known are read over.
func Parse(body []byte) (*Configuration, error) {
	parsed := &Configuration{Limits: Limits{
		MaxHeaderBytes: defaultMaxHeaderBytes, MaxBodyBytes: defaultMaxBodyBytes,
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}}
	r := &reader{text: body}
	if r.next() == 0 && r.at == len(body) {
		return nil, faultAt("", "the body is empty")
	}
	present := topLevel{}
	err := r.object(func(key string) error { return present.read(r, key, parsed) })
	if err != nil {
		return nil, err
	}
	if err := r.end(); err != nil {
		return nil, err
	}
	if err := present.complete(); err != nil {
		return nil, err
	}
	if err := parsed.check(); err != nil {
		return nil, err
	}
	return parsed, nil
}

// topLevel notes which of the keys that every configuration has were read.
type topLevel struct{ generation, routes, services bool }

func (t *topLevel) complete() error {
	switch {
	case !t.generation:
		return faultAt("generation", "is missing")
	case !t.routes:
		return faultAt("routes", "is missing")
	case !t.services:
		return faultAt("services", "is missing")
	}
	return nil
}

func (t *topLevel) read(r *reader, key string, into *Configuration) error {
	switch key {
	case "generation":
		t.generation = true
		return r.wholeInto(&into.Generation)
	case "routes":
		t.routes = true
		return r.array(func() error {
			route, err := readRoute(r)
			into.Routes = append(into.Routes, route)
			return err
		})
	case "services":
		t.services = true
		return r.array(func() error {
			service, err := readService(r)
			into.Services = append(into.Services, service)
			return err
		})
	case "limits":
		if r.null() {
			return nil
		}
		return readLimits(r, &into.Limits)
	}
	return r.skip()
}

func readRoute(r *reader) (Route, error) {
	route := Route{MaxAttempts: 1, Kind: NonIdempotent}
	var single string
	err := r.object(func(key string) error {
		switch key {
		case "name":
			return r.textInto(&route.Name)
		case "hostname":
			return r.textInto(&route.Host)
		case "pathPrefix":
			return r.textInto(&route.PathPrefix)
		case "kind":
			return readKind(r, &route.Kind)
		case "timeoutMs":
			return r.durationInto(&route.Timeout, time.Millisecond)
		case "targetLatencyMs":
			return r.durationInto(&route.TargetLatency, time.Millisecond)
		case "priority":
			return r.intInto(&route.Priority)
		case "backend":
			return r.textInto(&single)
		case "weightedSplit":
			return readSplit(r, &route.Backends)
		case "maxAttempts":
			return r.intInto(&route.MaxAttempts)
		case "retained":
			return r.booleanInto(&route.Retained)
		case "retentionS":
			return r.durationInto(&route.Retention, time.Second)
		case "sessionAffinity":
			return r.booleanInto(&route.SessionAffinity)
		case "resumable":
			return r.booleanInto(&route.Resumable)
		case "gap_aim_ms":
			return r.durationInto(&route.TargetEventGap, time.Millisecond)
		}
		return r.skip()
	})
	if single != "" && len(route.Backends) == 0 {
		route.Backends = []Backend{{Service: single, Weight: 1}}
	}
	route.MaxAttempts = max(route.MaxAttempts, 1)
	return route, err
}

// readKind takes a kind; requests of one that is not known are sent once at most.
func readKind(r *reader, into *Kind) error {
	var name string
	if err := r.textInto(&name); err != nil {
		return err
	}
	switch name {
	case "idempotent":
		*into = Idempotent
	case "streaming":
		*into = Streaming
	default:
		*into = NonIdempotent
	}
	return nil
}

func readSplit(r *reader, into *[]Backend) error {
	if r.null() {
		return nil
	}
	return r.array(func() error {
		var backend Backend
		err := r.object(func(key string) error {
			switch key {
			case "backend":
				return r.textInto(&backend.Service)
			case "weight":
				return r.numberInto(&backend.Weight)
			}
			return r.skip()
		})
		*into = append(*into, backend)
		return err
	})
}

func readService(r *reader) (Service, error) {
	var service Service
	err := r.object(func(key string) error {
		switch key {
		case "name":
			return r.textInto(&service.Name)
		case "healthPath":
			return r.textInto(&service.HealthPath)
		case "maxConnections":
			return r.intInto(&service.MaxConnections)
		case "engine":
			if r.null() {
				return nil
			}
			service.Engine = &Engine{}
			return readEngine(r, service.Engine)
		}
		return r.skip()
	})
	return service, err
}

func readEngine(r *reader, into *Engine) error {
	return r.object(func(key string) error {
		switch key {
		case "slots":
			return r.intInto(&into.Slots)
		case "kvTokens":
			return r.intInto(&into.KVTokens)
		case "stride":
			return r.intInto(&into.Stride)
		case "models":
			if r.null() {
				return nil
			}
			return r.array(func() error { return readModel(r, &into.Models) })
		}
		return r.skip()
	})
}

func readModel(r *reader, into *[]string) error {
	var name string
	err := r.object(func(key string) error {
		if key == "name" {
			return r.textInto(&name)
		}
		return r.skip()
	})
	*into = append(*into, name)
	return err
}

func readLimits(r *reader, into *Limits) error {
	return r.object(func(key string) error {
		switch key {
		case "maxHeaderBytes":
			return r.intInto(&into.MaxHeaderBytes)
		case "maxBodyBytes":
			var bytes uint64
			err := r.wholeInto(&bytes)
			if bytes > 0 {
				into.MaxBodyBytes = int64(min(bytes, 1<<62))
			}
			return err
		case "headerTimeoutMs":
			return r.durationInto(&into.HeaderTimeout, time.Millisecond)
		case "idleTimeoutMs":
			return r.durationInto(&into.IdleTimeout, time.Millisecond)
		}
		return r.skip()
	})
}
