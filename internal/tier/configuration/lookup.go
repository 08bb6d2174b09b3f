package configuration

import "strings"

// place holds the routes of one host by prefix.
type place struct {
	routes  map[string]*Route
	longest int
	open    bool // some prefix does not end with a slash
}

func (c *Configuration) place(host string) *place {
	host = strings.ToLower(host)
	if c.places[host] == nil {
		c.places[host] = &place{routes: make(map[string]*Route)}
	}
	return c.places[host]
}

// add says whether the prefix was free.
func (p *place) add(route *Route) bool {
	if p.routes[route.PathPrefix] != nil {
		return false
	}
	p.routes[route.PathPrefix] = route
	p.longest = max(p.longest, len(route.PathPrefix))
	p.open = p.open || !strings.HasSuffix(route.PathPrefix, "/")
	return true
}

// Route finds the route of a request by its Host header and its path as the client sent it, without the query:
// the longest prefix, on slash boundaries. It is nil where there is none.
func (c *Configuration) Route(host, path string) *Route {
	found := c.places[bareHost(host)]
	if found == nil {
		return nil
	}
	if found.open {
		if route := found.routes[path]; route != nil {
			return route
		}
	}
	end := min(len(path), found.longest+1)
	for end = strings.LastIndexByte(path[:end], '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := found.routes[path[:end+1]]; route != nil {
			return route
		}
		if !found.open {
			continue
		}
		if route := found.routes[path[:end]]; route != nil {
			return route
		}
	}
	return nil
}

// Service finds a service by name; nil where there is none.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// bareHost takes the port off and lowers the case.
func bareHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && strings.IndexByte(host[colon:], ']') < 0 {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
