package configuration

import "time"

// Limits of a configuration that does not set them.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// Parse parses and validates the operator's configuration (JSON). An error is a *FieldError that names the field at
// fault. Unknown keys are ignored, so that newer configurations can be read; a key that occurs twice in an object is
// an error, also in ignored values.
func Parse(body []byte) (*Configuration, error) {
	parsed := &Configuration{Limits: Limits{
		MaxHeaderBytes: defaultMaxHeaderBytes, MaxBodyBytes: defaultMaxBodyBytes,
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}}
	p := &parser{input: body}
	if p.peek() == 0 && p.offset == len(body) {
		return nil, fieldErrorf("", "the body is empty")
	}
	required := requiredKeys{}
	err := p.parseObject(func(key string) error { return required.parseMember(p, key, parsed) })
	if err != nil {
		return nil, err
	}
	if err := p.expectEnd(); err != nil {
		return nil, err
	}
	if err := required.check(); err != nil {
		return nil, err
	}
	if err := parsed.validate(); err != nil {
		return nil, err
	}
	return parsed, nil
}

// requiredKeys records which of the required top-level keys were present.
type requiredKeys struct{ generation, routes, services bool }

func (r *requiredKeys) check() error {
	switch {
	case !r.generation:
		return fieldErrorf("generation", "is missing")
	case !r.routes:
		return fieldErrorf("routes", "is missing")
	case !r.services:
		return fieldErrorf("services", "is missing")
	}
	return nil
}

func (r *requiredKeys) parseMember(p *parser, key string, into *Configuration) error {
	switch key {
	case "generation":
		r.generation = true
		return p.uintInto(&into.Generation)
	case "routes":
		r.routes = true
		return p.parseArray(func() error {
			route, err := parseRoute(p)
			into.Routes = append(into.Routes, route)
			return err
		})
	case "services":
		r.services = true
		return p.parseArray(func() error {
			service, err := parseService(p)
			into.Services = append(into.Services, service)
			return err
		})
	case "limits":
		if p.acceptNull() {
			return nil
		}
		return parseLimits(p, &into.Limits)
	}
	return p.skipValue()
}

func parseRoute(p *parser) (Route, error) {
	route := Route{MaxAttempts: 1, Kind: NonIdempotent}
	var single string
	err := p.parseObject(func(key string) error {
		switch key {
		case "name":
			return p.stringInto(&route.Name)
		case "hostname":
			return p.stringInto(&route.Host)
		case "pathPrefix":
			return p.stringInto(&route.PathPrefix)
		case "kind":
			return parseKind(p, &route.Kind)
		case "timeoutMs":
			return p.durationInto(&route.Timeout, time.Millisecond)
		case "targetLatencyMs":
			return p.durationInto(&route.TargetLatency, time.Millisecond)
		case "priority":
			return p.intInto(&route.Priority)
		case "backend":
			return p.stringInto(&single)
		case "weightedSplit":
			return parseSplit(p, &route.Backends)
		case "maxAttempts":
			return p.intInto(&route.MaxAttempts)
		case "retained":
			return p.boolInto(&route.Retained)
		case "retentionS":
			return p.durationInto(&route.Retention, time.Second)
		case "sessionAffinity":
			return p.boolInto(&route.SessionAffinity)
		case "resumable":
			return p.boolInto(&route.Resumable)
		case "gap_aim_ms":
			return p.durationInto(&route.TargetEventGap, time.Millisecond)
		}
		return p.skipValue()
	})
	if single != "" && len(route.Backends) == 0 {
		route.Backends = []Backend{{Service: single, Weight: 1}}
	}
	route.MaxAttempts = max(route.MaxAttempts, 1)
	return route, err
}

// parseKind parses the kind of a route. A route of unknown kind is treated as not idempotent, which is always safe.
func parseKind(p *parser, into *Kind) error {
	var name string
	if err := p.stringInto(&name); err != nil {
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

func parseSplit(p *parser, into *[]Backend) error {
	if p.acceptNull() {
		return nil
	}
	return p.parseArray(func() error {
		var backend Backend
		err := p.parseObject(func(key string) error {
			switch key {
			case "backend":
				return p.stringInto(&backend.Service)
			case "weight":
				return p.floatInto(&backend.Weight)
			}
			return p.skipValue()
		})
		*into = append(*into, backend)
		return err
	})
}

func parseService(p *parser) (Service, error) {
	var service Service
	err := p.parseObject(func(key string) error {
		switch key {
		case "name":
			return p.stringInto(&service.Name)
		case "healthPath":
			return p.stringInto(&service.HealthPath)
		case "maxConnections":
			return p.intInto(&service.MaxConnections)
		case "engine":
			if p.acceptNull() {
				return nil
			}
			service.Engine = &Engine{}
			return parseEngine(p, service.Engine)
		}
		return p.skipValue()
	})
	return service, err
}

func parseEngine(p *parser, into *Engine) error {
	return p.parseObject(func(key string) error {
		switch key {
		case "slots":
			return p.intInto(&into.Slots)
		case "kvTokens":
			return p.intInto(&into.KVTokens)
		case "stride":
			return p.intInto(&into.Stride)
		case "models":
			if p.acceptNull() {
				return nil
			}
			return p.parseArray(func() error { return parseModel(p, &into.Models) })
		}
		return p.skipValue()
	})
}

func parseModel(p *parser, into *[]string) error {
	var name string
	err := p.parseObject(func(key string) error {
		if key == "name" {
			return p.stringInto(&name)
		}
		return p.skipValue()
	})
	*into = append(*into, name)
	return err
}

func parseLimits(p *parser, into *Limits) error {
	return p.parseObject(func(key string) error {
		switch key {
		case "maxHeaderBytes":
			return p.intInto(&into.MaxHeaderBytes)
		case "maxBodyBytes":
			var bytes uint64
			err := p.uintInto(&bytes)
			if bytes > 0 {
				into.MaxBodyBytes = int64(min(bytes, 1<<62))
			}
			return err
		case "headerTimeoutMs":
			return p.durationInto(&into.HeaderTimeout, time.Millisecond)
		case "idleTimeoutMs":
			return p.durationInto(&into.IdleTimeout, time.Millisecond)
		}
		return p.skipValue()
	})
}
