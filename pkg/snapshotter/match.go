package snapshotter

import (
	"slices"
	"strings"
)

// index finds the route of a host and path. It is never changed after it is made.
type index struct {
	// byHost holds the routes of each host; those of any host are under "".
	byHost map[string]*prefixes
	// count is how many routes the index tells apart.
	count int
}

// prefixes finds the route of a path.
type prefixes struct {
	// byPrefix holds the routes by prefix without a trailing slash.
	byPrefix map[string]matched
	// longest is the length of the longest key.
	longest int
}

type matched struct {
	route   Route
	service Service
}

// routeKey is what no two routes share.
type routeKey struct{ host, prefix string }

// prefixKey makes "/media" and "/media/" the same prefix.
func prefixKey(prefix string) string { return strings.TrimSuffix(prefix, "/") }

func newIndex(s *Snapshot) *index {
	x := &index{byHost: map[string]*prefixes{}}
	for _, r := range s.Routes {
		p := x.byHost[r.Host]
		if p == nil {
			p = &prefixes{byPrefix: map[string]matched{}}
			x.byHost[r.Host] = p
		}
		key := prefixKey(r.Prefix)
		p.byPrefix[key] = matched{route: r, service: s.Services[r.Service]}
		p.longest = max(p.longest, len(key))
	}
	for _, p := range x.byHost {
		x.count += len(p.byPrefix)
	}
	return x
}

func (s *Snapshot) routes() *index {
	x := s.index.Load()
	if x == nil {
		x = newIndex(s)
		s.index.Store(x)
	}
	return x
}

// Match returns the route of the host with the longest prefix of path, and its
// service. A prefix ends at a slash or at the end of the path, so "/media"
// matches "/media" and "/media/1" but not "/mediator"; "/media/" matches
// "/media/1" but not "/media". When that route does not take the method there
// is no match: a shorter prefix is not tried, since it may have another class
// or be idempotent. Routes of any host are tried when the host has none that
// match. Match does not allocate.
func Match(s *Snapshot, host, method, path string) (Route, Service, bool) {
	x := s.routes()
	m, ok := x.byHost[host].match(path)
	if !ok && host != "" {
		m, ok = x.byHost[""].match(path)
	}
	if !ok {
		return Route{}, Service{}, false
	}
	return m.route, m.service, takes(m.route.Methods, method)
}

func (p *prefixes) match(path string) (matched, bool) {
	if p == nil {
		return matched{}, false
	}
	end := len(path)
	if end > p.longest {
		end = boundary(path, p.longest)
	}
	for end >= 0 {
		m, ok := p.byPrefix[prefixKey(path[:end])]
		if ok && strings.HasPrefix(path, m.route.Prefix) {
			return m, true
		}
		end = strings.LastIndexByte(path[:end], '/')
	}
	return matched{}, false
}

// boundary returns the last end of a path segment that is at most limit.
func boundary(path string, limit int) int {
	if path[limit] == '/' {
		return limit
	}
	return strings.LastIndexByte(path[:limit], '/')
}

func takes(methods []string, method string) bool {
	return len(methods) == 0 || slices.Contains(methods, method)
}
