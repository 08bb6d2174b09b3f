package configuration

import (
	"fmt"
	"strings"
)

// check finds faults between the fields, and prepares the look-up.
func (c *Configuration) check() error {
	if err := c.indexServices(); err != nil {
		return err
	}
	names := make(map[string]int, len(c.Routes))
	c.places = make(map[string]*place)
	for i := range c.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		route := &c.Routes[i]
		if err := c.checkRoute(field, route); err != nil {
			return err
		}
		if other, taken := names[route.Name]; taken && route.Name != "" {
			return faultAt(field+".name", "%q is the name of routes[%d] too", route.Name, other)
		}
		names[route.Name] = i
		if !c.place(route.Host).add(route) {
			return faultAt(field+".pathPrefix", "%s%s is the place of another route too", route.Host, route.PathPrefix)
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
			return faultAt(field, "is missing")
		}
		if c.services[service.Name] != nil {
			return faultAt(field, "%q is the name of another service too", service.Name)
		}
		c.services[service.Name] = service
	}
	return nil
}

func (c *Configuration) checkRoute(field string, route *Route) error {
	switch {
	case route.Host == "":
		return faultAt(field+".hostname", "is missing")
	case !strings.HasPrefix(route.PathPrefix, "/"):
		return faultAt(field+".pathPrefix", "%q does not begin with a slash", route.PathPrefix)
	case route.Timeout <= 0:
		return faultAt(field+".timeoutMs", "is 0 or missing")
	case len(route.Backends) == 0:
		return faultAt(field+".backend", "no service is named")
	}
	sum := 0.0
	for _, backend := range route.Backends {
		if c.services[backend.Service] == nil {
			return faultAt(field, "service %q is not among services", backend.Service)
		}
		if backend.Weight < 0 {
			return faultAt(field+".weightedSplit", "the weight of %q is negative", backend.Service)
		}
		sum += backend.Weight
	}
	if !(sum > 0) {
		return faultAt(field+".weightedSplit", "the weights add up to 0")
	}
	return nil
}
