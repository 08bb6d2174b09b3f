package configuration

import "strings"

// hostRoutes holds the routes of one host by path prefix.
type hostRoutes struct {
	byPrefix      map[string]*Route
	longestPrefix int
	hasUnslashed  bool // some prefix does not end with a slash
}

// routesOf returns the routes of a host, and makes an empty set for a new one.
func (c *Configuration) routesOf(host string) *hostRoutes {
	host = strings.ToLower(host)
	if c.hosts[host] == nil {
		c.hosts[host] = &hostRoutes{byPrefix: make(map[string]*Route)}
	}
	return c.hosts[host]
}

// add adds a route and reports whether its prefix was free.
func (h *hostRoutes) add(route *Route) bool {
	if h.byPrefix[route.PathPrefix] != nil {
		return false
	}
	h.byPrefix[route.PathPrefix] = route
	h.longestPrefix = max(h.longestPrefix, len(route.PathPrefix))
	h.hasUnslashed = h.hasUnslashed || !strings.HasSuffix(route.PathPrefix, "/")
	return true
}

// Route finds the route of a request by its Host header and its path as the client sent it, without the query: that
// with the longest matching prefix, on slash boundaries. It returns nil if there is none.
func (c *Configuration) Route(host, path string) *Route {
	routes := c.hosts[hostWithoutPort(host)]
	if routes == nil {
		return nil
	}
	if routes.hasUnslashed {
		if route := routes.byPrefix[path]; route != nil {
			return route
		}
	}
	end := min(len(path), routes.longestPrefix+1)
	for end = strings.LastIndexByte(path[:end], '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := routes.byPrefix[path[:end+1]]; route != nil {
			return route
		}
		if !routes.hasUnslashed {
			continue
		}
		if route := routes.byPrefix[path[:end]]; route != nil {
			return route
		}
	}
	return nil
}

// Service finds a service by name, or returns nil if there is none.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// hostWithoutPort removes the port and converts to lower case.
func hostWithoutPort(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && strings.IndexByte(host[colon:], ']') < 0 {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
