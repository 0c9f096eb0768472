package attributor

// lineage finds the run that makes a call by their ids: many targets give a call the id
// of the request that they run, continued by a separator and a part of its own.
type lineage struct {
	// routes holds the routes of the runs under way by request id.
	routes map[string]string
	// seen is set once a request has continued the id of a run. From then on a request that
	// does not is no call.
	seen bool
}

func (l *lineage) recordStart(id, route string) { l.routes[id] = route }

func (l *lineage) recordEnd(id string) { delete(l.routes, id) }

// parent returns the id and the route of the run that makes the call with the id; false
// if none does.
func (l *lineage) parent(id string) (parentID, route string, ok bool) {
	for end := len(id) - 1; end > 0; end-- {
		if isAlphanumeric(id[end]) {
			continue
		}
		if route, ok = l.routes[id[:end]]; ok {
			l.seen = true
			return id[:end], route, true
		}
	}
	return "", "", false
}

func isAlphanumeric(b byte) bool {
	return '0' <= b && b <= '9' || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
}
