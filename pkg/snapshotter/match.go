package snapshotter

import (
	"slices"
	"strings"
)

// routeIndex finds the route of a host and path. It is not modified after it is built.
type routeIndex struct {
	// byHost holds the routes of each host; routes without a host are under "".
	byHost map[string]*prefixIndex
	// routeCount is the number of routes in the index. It is less than that of the
	// snapshot when routes have the same host and prefix.
	routeCount int
}

// prefixIndex finds the route of a path.
type prefixIndex struct {
	// byPrefix holds the routes by prefix, without a trailing slash.
	byPrefix map[string]routeEntry
	// maxKeyBytes is the length of the longest key, in bytes.
	maxKeyBytes int
}

// routeEntry is a route with the service that it names.
type routeEntry struct {
	route   Route
	service Service
}

// routeKey identifies a route: no two routes have the same host and prefix.
type routeKey struct{ host, prefix string }

// prefixKey removes a trailing slash, so that "/media" and "/media/" are the same prefix.
func prefixKey(prefix string) string { return strings.TrimSuffix(prefix, "/") }

func newRouteIndex(s *Snapshot) *routeIndex {
	idx := &routeIndex{byHost: map[string]*prefixIndex{}}
	for _, r := range s.Routes {
		p := idx.byHost[r.Host]
		if p == nil {
			p = &prefixIndex{byPrefix: map[string]routeEntry{}}
			idx.byHost[r.Host] = p
		}
		key := prefixKey(r.Prefix)
		p.byPrefix[key] = routeEntry{route: r, service: s.Services[r.Service]}
		p.maxKeyBytes = max(p.maxKeyBytes, len(key))
	}
	for _, p := range idx.byHost {
		idx.routeCount += len(p.byPrefix)
	}
	return idx
}

func (s *Snapshot) loadIndex() *routeIndex {
	idx := s.index.Load()
	if idx == nil {
		idx = newRouteIndex(s)
		s.index.Store(idx)
	}
	return idx
}

// Match returns the host's route with the longest prefix of path, and the
// service that it names. A prefix ends at a slash or at the end of the path, so
// "/media" matches "/media" and "/media/1" but not "/mediator"; "/media/"
// matches "/media/1" but not "/media". When that route does not accept the
// method there is no match: a shorter prefix is not tried, since its route may
// have another class or be idempotent. Routes without a host are tried when no
// route of the host matches the path. Match does not allocate.
func Match(s *Snapshot, host, method, path string) (Route, Service, bool) {
	idx := s.loadIndex()
	m, ok := idx.byHost[host].match(path)
	if !ok && host != "" {
		m, ok = idx.byHost[""].match(path)
	}
	if !ok {
		return Route{}, Service{}, false
	}
	return m.route, m.service, acceptsMethod(m.route.Methods, method)
}

func (p *prefixIndex) match(path string) (routeEntry, bool) {
	if p == nil {
		return routeEntry{}, false
	}
	end := len(path)
	if end > p.maxKeyBytes {
		end = lastSegmentEnd(path, p.maxKeyBytes)
	}
	for end >= 0 {
		m, ok := p.byPrefix[prefixKey(path[:end])]
		if ok && strings.HasPrefix(path, m.route.Prefix) {
			return m, true
		}
		end = strings.LastIndexByte(path[:end], '/')
	}
	return routeEntry{}, false
}

// lastSegmentEnd returns the last end of a path segment that is at most limit;
// -1 when there is none.
func lastSegmentEnd(path string, limit int) int {
	if path[limit] == '/' {
		return limit
	}
	return strings.LastIndexByte(path[:limit], '/')
}

func acceptsMethod(methods []string, method string) bool {
	return len(methods) == 0 || slices.Contains(methods, method)
}
