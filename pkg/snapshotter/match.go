package snapshotter

import (
	"slices"
	"strings"
)

// index finds the route of a path. It is never changed after it is made.
type index struct {
	// byPrefix holds the routes by prefix without a trailing slash.
	byPrefix map[string]matched
	// longest is the length of the longest key.
	longest int
}

type matched struct {
	route   Route
	service Service
}

// prefixKey makes "/media" and "/media/" the same prefix.
func prefixKey(prefix string) string { return strings.TrimSuffix(prefix, "/") }

func newIndex(s *Snapshot) *index {
	x := &index{byPrefix: make(map[string]matched, len(s.Routes))}
	for _, r := range s.Routes {
		key := prefixKey(r.Prefix)
		x.byPrefix[key] = matched{route: r, service: s.Services[r.Service]}
		x.longest = max(x.longest, len(key))
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

// Match returns the route with the longest prefix of path, and its service. A
// prefix ends at a slash or at the end of the path, so "/media" matches
// "/media" and "/media/1" but not "/mediator". When that route does not take
// the method there is no match: a shorter prefix is not tried, since it may
// have another class or be idempotent. Match does not allocate.
func Match(s *Snapshot, method, path string) (Route, Service, bool) {
	x := s.routes()
	end := len(path)
	if end > x.longest {
		end = boundary(path, x.longest)
	}
	for end >= 0 {
		m, ok := x.byPrefix[prefixKey(path[:end])]
		if ok {
			return m.route, m.service, takes(m.route.Methods, method)
		}
		end = strings.LastIndexByte(path[:end], '/')
	}
	return Route{}, Service{}, false
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
