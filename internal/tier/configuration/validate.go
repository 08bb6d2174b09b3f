package configuration

import (
	"fmt"
	"strings"
)

// validate checks required fields and the constraints between fields, and builds the lookup tables.
func (c *Configuration) validate() error {
	if err := c.indexServices(); err != nil {
		return err
	}
	names := make(map[string]int, len(c.Routes))
	c.hosts = make(map[string]*hostRoutes)
	for i := range c.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		route := &c.Routes[i]
		if err := c.validateRoute(field, route); err != nil {
			return err
		}
		if other, exists := names[route.Name]; exists && route.Name != "" {
			return fieldErrorf(field+".name", "%q is the name of routes[%d] too", route.Name, other)
		}
		names[route.Name] = i
		if !c.routesOfHost(route.Host).add(route) {
			return fieldErrorf(field+".pathPrefix", "%s%s is the place of another route too", route.Host, route.PathPrefix)
		}
	}
	return nil
}

func (c *Configuration) indexServices() error {
	c.services = make(map[string]*Service, len(c.Services))
	for i := range c.Services {
		service := &c.Services[i]
		field := fmt.Sprintf("services[%d].name", i)
		if service.Name == "" {
			return fieldErrorf(field, "is missing")
		}
		if c.services[service.Name] != nil {
			return fieldErrorf(field, "%q is the name of another service too", service.Name)
		}
		c.services[service.Name] = service
	}
	return nil
}

func (c *Configuration) validateRoute(field string, route *Route) error {
	switch {
	case route.Host == "":
		return fieldErrorf(field+".hostname", "is missing")
	case !strings.HasPrefix(route.PathPrefix, "/"):
		return fieldErrorf(field+".pathPrefix", "%q does not begin with a slash", route.PathPrefix)
	case route.Timeout <= 0:
		return fieldErrorf(field+".timeoutMs", "is 0 or missing")
	case len(route.Backends) == 0:
		return fieldErrorf(field+".backend", "no service is named")
	}
	totalWeight := 0.0
	for _, backend := range route.Backends {
		if c.services[backend.Service] == nil {
			return fieldErrorf(field, "service %q is not among services", backend.Service)
		}
		if backend.Weight < 0 {
			return fieldErrorf(field+".weightedSplit", "the weight of %q is negative", backend.Service)
		}
		totalWeight += backend.Weight
	}
	if !(totalWeight > 0) {
		return fieldErrorf(field+".weightedSplit", "the weights add up to 0")
	}
	return nil
}
