package snapshotter

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// MaxTombstones is how many removals of each kind a snapshot lists. Older ones
// are covered by RemovedFloor.
const MaxTombstones = 1024

// Empty returns the configuration before the first ticket.
func Empty() *Snapshot {
	return &Snapshot{
		Services:        map[string]Service{},
		Routes:          map[string]Route{},
		RemovedServices: map[string]uint64{},
		RemovedRoutes:   map[string]uint64{},
	}
}

// clone copies everything but what is made on first use.
func clone(s *Snapshot) *Snapshot {
	return &Snapshot{
		Version:         s.Version,
		RemovedFloor:    s.RemovedFloor,
		CallerLimits:    s.CallerLimits,
		Services:        cloneMap(s.Services),
		Routes:          cloneMap(s.Routes),
		RemovedServices: cloneMap(s.RemovedServices),
		RemovedRoutes:   cloneMap(s.RemovedRoutes),
	}
}

// cloneMap never returns nil.
func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// Apply returns the next version: base with the whole change, set by the given
// ticket. It returns *RefusedError, and no snapshot, when any part of the
// change breaks a rule. base is not changed and must be valid.
func Apply(base *Snapshot, c Change, ticket uint64) (*Snapshot, error) {
	var v violations
	v.shape(c)
	v.collisions(base, c, ticket)
	if err := v.err(); err != nil {
		return nil, err
	}
	next := clone(base)
	next.Version = base.Version + 1
	setServices(next, c.Services, ticket)
	setRoutes(next, c.Routes, ticket)
	removeRoutes(next, c.RemoveRoutes, ticket)
	removeServices(next, c.RemoveServices, ticket)
	trimTombstones(next)
	v.touched(next, c)
	if err := v.err(); err != nil {
		return nil, err
	}
	keepShards(base, next, touchedNames(c))
	return next, nil
}

// Check tells what is wrong with a change whatever snapshot it is applied to.
// It returns *RefusedError.
func ValidateChange(c Change) error {
	var v violations
	v.shape(c)
	v.fields(c)
	return v.err()
}

func (v *violations) fields(c Change) {
	for _, s := range c.Services {
		v.service(s)
	}
	for _, r := range c.Routes {
		v.route(r)
	}
	for _, name := range c.RemoveServices {
		v.name(serviceLabel(name), "remove-services", name)
	}
	for _, name := range c.RemoveRoutes {
		v.name(routeLabel(name), "remove-routes", name)
	}
}

// shape checks what can be told from the change alone.
func (v *violations) shape(c Change) {
	if len(c.Services)+len(c.Routes)+len(c.RemoveServices)+len(c.RemoveRoutes) == 0 {
		v.add(RefusedError{Rule: RuleEmptyChange, Detail: "the change touches no resource"})
	}
	services := make([]string, 0, len(c.Services)+len(c.RemoveServices))
	for _, s := range c.Services {
		services = append(services, s.Name)
	}
	v.duplicates(serviceLabel, append(services, c.RemoveServices...))
	routes := make([]string, 0, len(c.Routes)+len(c.RemoveRoutes))
	for _, r := range c.Routes {
		routes = append(routes, r.Name)
	}
	v.duplicates(routeLabel, append(routes, c.RemoveRoutes...))
}

func (v *violations) duplicates(label func(string) string, names []string) {
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if seen[name] {
			v.add(RefusedError{
				Rule: RuleDuplicate, Resource: label(name), Field: "name",
				Detail: "the change names this resource more than once",
			})
		}
		seen[name] = true
	}
}

// collisions checks the change against the tickets that set or removed its resources.
func (v *violations) collisions(base *Snapshot, c Change, ticket uint64) {
	for _, s := range c.Services {
		old, exists := base.Services[s.Name]
		v.collision(serviceLabel(s.Name), ticket, old.Ticket, removal(base, base.RemovedServices, s.Name, exists))
	}
	for _, r := range c.Routes {
		old, exists := base.Routes[r.Name]
		v.collision(routeLabel(r.Name), ticket, old.Ticket, removal(base, base.RemovedRoutes, r.Name, exists))
	}
	for _, name := range c.RemoveServices {
		old, exists := base.Services[name]
		v.removal(serviceLabel(name), "remove-services", exists, base.RemovedServices[name])
		v.collision(serviceLabel(name), ticket, old.Ticket, 0)
	}
	for _, name := range c.RemoveRoutes {
		old, exists := base.Routes[name]
		v.removal(routeLabel(name), "remove-routes", exists, base.RemovedRoutes[name])
		v.collision(routeLabel(name), ticket, old.Ticket, 0)
	}
}

// removal returns the ticket that may have removed a resource last.
func removal(base *Snapshot, removed map[string]uint64, name string, exists bool) uint64 {
	if exists {
		return 0
	}
	return cmp.Or(removed[name], base.RemovedFloor)
}

func (v *violations) collision(label string, ticket, set, removed uint64) {
	if set >= ticket {
		v.add(RefusedError{
			Rule: RuleNewerTicket, Resource: label, Ticket: set,
			Detail: fmt.Sprintf("ticket %d has set it; ticket %d cannot overwrite it", set, ticket),
		})
	}
	if removed >= ticket && removed != 0 {
		v.add(RefusedError{
			Rule: RuleNewerTicket, Resource: label, Ticket: removed,
			Detail: fmt.Sprintf("ticket %d may have removed it; ticket %d cannot bring it back", removed, ticket),
		})
	}
}

func (v *violations) removal(label, field string, exists bool, removed uint64) {
	if !exists {
		v.add(RefusedError{
			Rule: RuleMissingResource, Resource: label, Field: field, Ticket: removed,
			Detail: "it does not exist, so it cannot be removed",
		})
	}
}

// touched checks the rules for every resource that the change can have broken.
func (v *violations) touched(next *Snapshot, c Change) {
	v.fields(c)
	for _, r := range c.Routes {
		v.routed(next, r)
	}
	v.stillRouted(next, c)
	v.prefixes(next)
}

// stillRouted checks that no route names a removed service. Routes of the
// change itself are checked by routed.
func (v *violations) stillRouted(next *Snapshot, c Change) {
	if len(c.RemoveServices) == 0 {
		return
	}
	own := touchedNames(c).routes
	for _, name := range slices.Sorted(maps.Keys(next.Routes)) {
		r := next.Routes[name]
		if slices.Contains(own, name) {
			continue
		}
		for _, service := range r.services() {
			if slices.Contains(c.RemoveServices, service) {
				v.add(RefusedError{
					Rule: RuleStillRouted, Resource: serviceLabel(service), Field: "remove-services", Ticket: r.Ticket,
					Detail: fmt.Sprintf("route %s still sends requests to it", name),
				})
			}
		}
	}
}

// services names every service that the route sends requests to.
func (r Route) services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	names := make([]string, 0, len(r.Split))
	for _, s := range r.Split {
		names = append(names, s.Service)
	}
	return names
}

func setServices(next *Snapshot, services []Service, ticket uint64) {
	for _, s := range services {
		s.Ticket = ticket
		next.Services[s.Name] = s
		delete(next.RemovedServices, s.Name)
	}
}

func setRoutes(next *Snapshot, routes []Route, ticket uint64) {
	for _, r := range routes {
		r.Ticket = ticket
		r.Methods = slices.Clone(r.Methods)
		r.Split = slices.Clone(r.Split)
		next.Routes[r.Name] = r
		delete(next.RemovedRoutes, r.Name)
	}
}

func removeServices(next *Snapshot, names []string, ticket uint64) {
	for _, name := range names {
		delete(next.Services, name)
		next.RemovedServices[name] = ticket
	}
}

func removeRoutes(next *Snapshot, names []string, ticket uint64) {
	for _, name := range names {
		delete(next.Routes, name)
		next.RemovedRoutes[name] = ticket
	}
}

// trimTombstones raises RemovedFloor until at most MaxTombstones of each kind are left.
func trimTombstones(s *Snapshot) {
	s.RemovedFloor = max(s.RemovedFloor, floorFor(s.RemovedServices), floorFor(s.RemovedRoutes))
	covered := func(_ string, ticket uint64) bool { return ticket <= s.RemovedFloor }
	maps.DeleteFunc(s.RemovedServices, covered)
	maps.DeleteFunc(s.RemovedRoutes, covered)
}

func floorFor(removed map[string]uint64) uint64 {
	if len(removed) <= MaxTombstones {
		return 0
	}
	tickets := slices.Sorted(maps.Values(removed))
	return tickets[len(tickets)-MaxTombstones-1]
}

// names lists the resources that a change or delta touches.
type names struct{ services, routes []string }

func touchedNames(c Change) names {
	n := names{services: slices.Clone(c.RemoveServices), routes: slices.Clone(c.RemoveRoutes)}
	for _, s := range c.Services {
		n.services = append(n.services, s.Name)
	}
	for _, r := range c.Routes {
		n.routes = append(n.routes, r.Name)
	}
	return n
}
