package configuration

import "strings"

// hostRoutes indexes the routes of one host by path prefix.
type hostRoutes struct {
	byPrefix              map[string]*Route
	maxPrefixLength       int
	hasPrefixWithoutSlash bool // at least one prefix does not end with a slash
}

// routesOfHost returns the routes of a host. It creates an empty index for a new host.
func (c *Configuration) routesOfHost(host string) *hostRoutes {
	host = strings.ToLower(host)
	if c.hosts[host] == nil {
		c.hosts[host] = &hostRoutes{byPrefix: make(map[string]*Route)}
	}
	return c.hosts[host]
}

// add adds a route, or returns false if the host already has a route with that prefix.
func (h *hostRoutes) add(route *Route) bool {
	if h.byPrefix[route.PathPrefix] != nil {
		return false
	}
	h.byPrefix[route.PathPrefix] = route
	h.maxPrefixLength = max(h.maxPrefixLength, len(route.PathPrefix))
	h.hasPrefixWithoutSlash = h.hasPrefixWithoutSlash || !strings.HasSuffix(route.PathPrefix, "/")
	return true
}

// Route returns the route of a request, or nil if there is none. host is the Host header; path is the path as the client sent
// it, without the query. The route with the longest matching prefix is chosen; a prefix matches whole path segments only.
func (c *Configuration) Route(host, path string) *Route {
	routes := c.hosts[hostWithoutPort(host)]
	if routes == nil {
		return nil
	}
	if routes.hasPrefixWithoutSlash {
		if route := routes.byPrefix[path]; route != nil {
			return route
		}
	}
	end := min(len(path), routes.maxPrefixLength+1)
	for end = strings.LastIndexByte(path[:end], '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := routes.byPrefix[path[:end+1]]; route != nil {
			return route
		}
		if !routes.hasPrefixWithoutSlash {
			continue
		}
		if route := routes.byPrefix[path[:end]]; route != nil {
			return route
		}
	}
	return nil
}

// Service returns the service with the given name, or nil if there is none.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// hostWithoutPort returns the host name in lower case and without the port.
func hostWithoutPort(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && strings.IndexByte(host[colon:], ']') < 0 {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
