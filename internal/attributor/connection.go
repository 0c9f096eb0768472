package attributor

import "slices"

const (
	// maxConnections bounds the connections of one generation.
	maxConnections = 4096
	// maxConnectionRoutes bounds the routes that are remembered of a connection.
	maxConnectionRoutes = 4
)

// connection is what is known of one connection to this node.
type connection struct {
	requests int
	// routes are the first different routes that it has carried.
	routes []string
}

func (c *connection) add(route string) {
	c.requests++
	if len(c.routes) < maxConnectionRoutes && !slices.Contains(c.routes, route) {
		c.routes = append(c.routes, route)
	}
}

// connections holds the connections that were used last, in two generations.
type connections struct {
	// recent holds at most maxConnections, earlier those of the generation before.
	recent, earlier map[uint64]*connection
}

func (cs *connections) find(id uint64) *connection {
	if c := cs.recent[id]; c != nil {
		return c
	}
	c := cs.earlier[id]
	if c == nil {
		c = &connection{}
	}
	if cs.recent == nil || len(cs.recent) >= maxConnections {
		cs.earlier, cs.recent = cs.recent, map[uint64]*connection{}
	}
	cs.recent[id] = c
	return c
}
