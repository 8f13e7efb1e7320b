package configuration

import "strings"

// wildcardSuffix ends a path that matches all paths below it.
const wildcardSuffix = "/*"

// Route is a method and a path of a plain service.
type Route struct {
	method     string
	path       string
	idempotent bool
}

// Method returns the HTTP method.
func (r Route) Method() string { return r.method }

// Path returns the path. A path that ends in /* is a prefix.
func (r Route) Path() string { return r.path }

// Idempotent reports whether a request may be retried.
func (r Route) Idempotent() bool { return r.idempotent }

type routeKey struct {
	method string
	path   string
}

type routeEntry struct {
	service *Service
	route   Route
}

// routeTable holds routes by method and path.
type routeTable map[routeKey]routeEntry

// add adds a route and reports whether its method and path were not in use.
func (t routeTable) add(s *Service, r Route) bool {
	key := routeKey{r.method, r.path}
	if _, taken := t[key]; taken {
		return false
	}
	t[key] = routeEntry{s, r}
	return true
}

// find looks up the exact path, then each prefix from the longest to "/*".
func (t routeTable) find(method, path string) (*Service, Route, bool) {
	if found, ok := t[routeKey{method, path}]; ok && !strings.HasSuffix(path, wildcardSuffix) {
		return found.service, found.route, true
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if found, ok := t[routeKey{method, path[:end] + wildcardSuffix}]; ok {
			return found.service, found.route, true
		}
	}
	return nil, Route{}, false
}
