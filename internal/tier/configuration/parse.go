package configuration

import "time"

// Default limits.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// Parse parses and validates the operator's configuration (JSON). An error is a *FieldError with the path of the invalid field.
// Unknown keys are ignored, so that configurations for newer versions can be read. A key that occurs twice in an object is an
// error, also within ignored values.
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

// requiredKeys records which required top-level keys are present.
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

func (r *requiredKeys) parseMember(p *parser, key string, target *Configuration) error {
	switch key {
	case "generation":
		r.generation = true
		return p.decodeUint(&target.Generation)
	case "routes":
		r.routes = true
		return p.parseArray(func() error {
			route, err := parseRoute(p)
			target.Routes = append(target.Routes, route)
			return err
		})
	case "services":
		r.services = true
		return p.parseArray(func() error {
			service, err := parseService(p)
			target.Services = append(target.Services, service)
			return err
		})
	case "limits":
		if p.acceptNull() {
			return nil
		}
		return parseLimits(p, &target.Limits)
	}
	return p.skipValue()
}

func parseRoute(p *parser) (Route, error) {
	route := Route{MaxAttempts: 1, Kind: NonIdempotent}
	var backendName string
	err := p.parseObject(func(key string) error {
		switch key {
		case "name":
			return p.decodeString(&route.Name)
		case "hostname":
			return p.decodeString(&route.Host)
		case "pathPrefix":
			return p.decodeString(&route.PathPrefix)
		case "kind":
			return parseKind(p, &route.Kind)
		case "timeoutMs":
			return p.decodeDuration(&route.Timeout, time.Millisecond)
		case "targetLatencyMs":
			return p.decodeDuration(&route.TargetLatency, time.Millisecond)
		case "priority":
			return p.decodeInt(&route.Priority)
		case "backend":
			return p.decodeString(&backendName)
		case "weightedSplit":
			return parseWeightedSplit(p, &route.Backends)
		case "maxAttempts":
			return p.decodeInt(&route.MaxAttempts)
		case "retained":
			return p.decodeBool(&route.Retained)
		case "retentionS":
			return p.decodeDuration(&route.Retention, time.Second)
		case "sessionAffinity":
			return p.decodeBool(&route.SessionAffinity)
		case "resumable":
			return p.decodeBool(&route.Resumable)
		case "gap_aim_ms":
			return p.decodeDuration(&route.TargetEventGap, time.Millisecond)
		}
		return p.skipValue()
	})
	if backendName != "" && len(route.Backends) == 0 {
		route.Backends = []Backend{{Service: backendName, Weight: 1}}
	}
	route.MaxAttempts = max(route.MaxAttempts, 1)
	return route, err
}

// parseKind parses the kind of a route. An unknown kind is treated as not idempotent, which is always safe.
func parseKind(p *parser, target *Kind) error {
	var name string
	if err := p.decodeString(&name); err != nil {
		return err
	}
	switch name {
	case "idempotent":
		*target = Idempotent
	case "streaming":
		*target = Streaming
	default:
		*target = NonIdempotent
	}
	return nil
}

func parseWeightedSplit(p *parser, target *[]Backend) error {
	if p.acceptNull() {
		return nil
	}
	return p.parseArray(func() error {
		var backend Backend
		err := p.parseObject(func(key string) error {
			switch key {
			case "backend":
				return p.decodeString(&backend.Service)
			case "weight":
				return p.decodeFloat(&backend.Weight)
			}
			return p.skipValue()
		})
		*target = append(*target, backend)
		return err
	})
}

func parseService(p *parser) (Service, error) {
	var service Service
	err := p.parseObject(func(key string) error {
		switch key {
		case "name":
			return p.decodeString(&service.Name)
		case "healthPath":
			return p.decodeString(&service.HealthPath)
		case "maxConnections":
			return p.decodeInt(&service.MaxConnections)
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

func parseEngine(p *parser, target *Engine) error {
	return p.parseObject(func(key string) error {
		switch key {
		case "slots":
			return p.decodeInt(&target.Slots)
		case "kvTokens":
			return p.decodeInt(&target.KVTokens)
		case "stride":
			return p.decodeInt(&target.Stride)
		case "models":
			if p.acceptNull() {
				return nil
			}
			return p.parseArray(func() error { return parseModel(p, &target.Models) })
		}
		return p.skipValue()
	})
}

func parseModel(p *parser, target *[]string) error {
	var name string
	err := p.parseObject(func(key string) error {
		if key == "name" {
			return p.decodeString(&name)
		}
		return p.skipValue()
	})
	*target = append(*target, name)
	return err
}

func parseLimits(p *parser, target *Limits) error {
	return p.parseObject(func(key string) error {
		switch key {
		case "maxHeaderBytes":
			return p.decodeInt(&target.MaxHeaderBytes)
		case "maxBodyBytes":
			var bytes uint64
			err := p.decodeUint(&bytes)
			if bytes > 0 {
				target.MaxBodyBytes = int64(min(bytes, 1<<62))
			}
			return err
		case "headerTimeoutMs":
			return p.decodeDuration(&target.HeaderTimeout, time.Millisecond)
		case "idleTimeoutMs":
			return p.decodeDuration(&target.IdleTimeout, time.Millisecond)
		}
		return p.skipValue()
	})
}
