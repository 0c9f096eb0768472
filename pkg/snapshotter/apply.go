package snapshotter

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// MaxTombstones is the maximum number of removals of each kind that a snapshot
// lists. Older ones are covered by RemovedFloor.
const MaxTombstones = 1024

// Empty returns the configuration before the first ticket.
func Empty() *Snapshot {
	return &Snapshot{
		Services:        map[string]Service{},
		Routes:          map[string]Route{},
		Firms:           map[string]Firm{},
		RemovedServices: map[string]uint64{},
		RemovedRoutes:   map[string]uint64{},
		RemovedFirms:    map[string]uint64{},
	}
}

// clone copies everything except the caches.
func clone(s *Snapshot) *Snapshot {
	return &Snapshot{
		Version:         s.Version,
		RemovedFloor:    s.RemovedFloor,
		CallerLimits:    s.CallerLimits,
		Services:        cloneMap(s.Services),
		Routes:          cloneMap(s.Routes),
		Firms:           cloneMap(s.Firms),
		RemovedServices: cloneMap(s.RemovedServices),
		RemovedRoutes:   cloneMap(s.RemovedRoutes),
		RemovedFirms:    cloneMap(s.RemovedFirms),
	}
}

// cloneMap returns a copy of m, which is never nil.
func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// Apply returns the next version: base with the complete change, whose resources
// get the given ticket. It returns *RefusedError and no snapshot when any part
// of the change breaks a rule. base must be valid and is not modified.
func Apply(base *Snapshot, c Change, ticket uint64) (*Snapshot, error) {
	var v violations
	v.checkShape(c)
	v.checkCollisions(base, c, ticket)
	if err := v.err(); err != nil {
		return nil, err
	}
	next := clone(base)
	next.Version = base.Version + 1
	setServices(next, c.Services, ticket)
	setRoutes(next, c.Routes, ticket)
	setFirms(next, c.Firms, ticket)
	removeRoutes(next, c.RemoveRoutes, ticket)
	removeServices(next, c.RemoveServices, ticket)
	removeFirms(next, c.RemoveFirms, ticket)
	trimTombstones(next)
	v.checkTouched(next, c)
	if err := v.err(); err != nil {
		return nil, err
	}
	reuseShardDigests(base, next, touchedNames(c))
	return next, nil
}

// ValidateChange checks a change against the rules that hold for any base
// snapshot. It returns *RefusedError.
func ValidateChange(c Change) error {
	var v violations
	v.checkShape(c)
	v.checkFields(c)
	return v.err()
}

// checkFields checks the values of the resources that the change sets and the
// names of those that it removes.
func (v *violations) checkFields(c Change) {
	for _, s := range c.Services {
		v.checkService(s)
	}
	for _, r := range c.Routes {
		v.checkRoute(r)
	}
	for _, f := range c.Firms {
		v.checkFirm(f)
	}
	for _, name := range c.RemoveFirms {
		v.checkName(firmLabel(name), "remove-firms", name)
	}
	for _, name := range c.RemoveServices {
		v.checkName(serviceLabel(name), "remove-services", name)
	}
	for _, name := range c.RemoveRoutes {
		v.checkName(routeLabel(name), "remove-routes", name)
	}
}

// checkShape checks that the change is not empty and names no resource twice.
func (v *violations) checkShape(c Change) {
	if len(c.Services)+len(c.Routes)+len(c.Firms)+len(c.RemoveServices)+len(c.RemoveRoutes)+len(c.RemoveFirms) == 0 {
		v.add(RefusedError{Rule: RuleEmptyChange, Detail: "the change touches no resource"})
	}
	services := make([]string, 0, len(c.Services)+len(c.RemoveServices))
	for _, s := range c.Services {
		services = append(services, s.Name)
	}
	v.checkDuplicates(serviceLabel, append(services, c.RemoveServices...))
	routes := make([]string, 0, len(c.Routes)+len(c.RemoveRoutes))
	for _, r := range c.Routes {
		routes = append(routes, r.Name)
	}
	v.checkDuplicates(routeLabel, append(routes, c.RemoveRoutes...))
	firms := make([]string, 0, len(c.Firms)+len(c.RemoveFirms))
	for _, f := range c.Firms {
		firms = append(firms, f.Name)
	}
	v.checkDuplicates(firmLabel, append(firms, c.RemoveFirms...))
}

func (v *violations) checkDuplicates(label func(string) string, names []string) {
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

// checkCollisions checks the change against the tickets that set or removed its resources.
func (v *violations) checkCollisions(base *Snapshot, c Change, ticket uint64) {
	for _, s := range c.Services {
		old, exists := base.Services[s.Name]
		v.checkTicket(serviceLabel(s.Name), ticket, old.Ticket, lastRemoval(base, base.RemovedServices, s.Name, exists))
	}
	for _, r := range c.Routes {
		old, exists := base.Routes[r.Name]
		v.checkTicket(routeLabel(r.Name), ticket, old.Ticket, lastRemoval(base, base.RemovedRoutes, r.Name, exists))
	}
	for _, f := range c.Firms {
		old, exists := base.Firms[f.Name]
		v.checkTicket(firmLabel(f.Name), ticket, old.Ticket, lastRemoval(base, base.RemovedFirms, f.Name, exists))
	}
	for _, name := range c.RemoveFirms {
		old, exists := base.Firms[name]
		v.checkExists(firmLabel(name), "remove-firms", exists, base.RemovedFirms[name])
		v.checkTicket(firmLabel(name), ticket, old.Ticket, 0)
	}
	for _, name := range c.RemoveServices {
		old, exists := base.Services[name]
		v.checkExists(serviceLabel(name), "remove-services", exists, base.RemovedServices[name])
		v.checkTicket(serviceLabel(name), ticket, old.Ticket, 0)
	}
	for _, name := range c.RemoveRoutes {
		old, exists := base.Routes[name]
		v.checkExists(routeLabel(name), "remove-routes", exists, base.RemovedRoutes[name])
		v.checkTicket(routeLabel(name), ticket, old.Ticket, 0)
	}
}

// lastRemoval returns the ticket that removed a resource last. When the snapshot
// does not list the removal it returns RemovedFloor, the latest that the ticket
// can be; when the resource exists it returns 0.
func lastRemoval(base *Snapshot, removed map[string]uint64, name string, exists bool) uint64 {
	if exists {
		return 0
	}
	return cmp.Or(removed[name], base.RemovedFloor)
}

// checkTicket checks that ticket is later than those that set and removed the resource.
func (v *violations) checkTicket(label string, ticket, set, removed uint64) {
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

// checkExists checks that a resource to be removed exists.
func (v *violations) checkExists(label, field string, exists bool, removed uint64) {
	if !exists {
		v.add(RefusedError{
			Rule: RuleMissingResource, Resource: label, Field: field, Ticket: removed,
			Detail: "it does not exist, so it cannot be removed",
		})
	}
}

// checkTouched checks the rules that the change can have broken in the next snapshot.
func (v *violations) checkTouched(next *Snapshot, c Change) {
	v.checkFields(c)
	for _, r := range c.Routes {
		v.checkRouteServices(next, r)
	}
	v.checkStillRouted(next, c)
	v.checkPrefixes(next)
	if len(c.Firms) > 0 {
		v.checkKeyOwners(next, sortedFirms(next))
	}
}

// checkStillRouted checks that no route names a removed service. The routes that
// the change sets are checked by checkRouteServices.
func (v *violations) checkStillRouted(next *Snapshot, c Change) {
	if len(c.RemoveServices) == 0 {
		return
	}
	changedRoutes := touchedNames(c).routes
	for _, name := range slices.Sorted(maps.Keys(next.Routes)) {
		r := next.Routes[name]
		if slices.Contains(changedRoutes, name) {
			continue
		}
		for _, service := range r.serviceNames() {
			if slices.Contains(c.RemoveServices, service) {
				v.add(RefusedError{
					Rule: RuleStillRouted, Resource: serviceLabel(service), Field: "remove-services", Ticket: r.Ticket,
					Detail: fmt.Sprintf("route %s still sends requests to it", name),
				})
			}
		}
	}
}

// serviceNames returns the name of every service that the route sends requests to.
func (r Route) serviceNames() []string {
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

func setFirms(next *Snapshot, firms []Firm, ticket uint64) {
	for _, f := range firms {
		f.Ticket = ticket
		f.Keys = slices.Clone(f.Keys)
		next.Firms[f.Name] = f
		delete(next.RemovedFirms, f.Name)
	}
}

func removeFirms(next *Snapshot, names []string, ticket uint64) {
	for _, name := range names {
		delete(next.Firms, name)
		next.RemovedFirms[name] = ticket
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
	s.RemovedFloor = max(s.RemovedFloor, tombstoneFloor(s.RemovedServices), tombstoneFloor(s.RemovedRoutes), tombstoneFloor(s.RemovedFirms))
	isCovered := func(_ string, ticket uint64) bool { return ticket <= s.RemovedFloor }
	maps.DeleteFunc(s.RemovedServices, isCovered)
	maps.DeleteFunc(s.RemovedRoutes, isCovered)
	maps.DeleteFunc(s.RemovedFirms, isCovered)
}

// tombstoneFloor returns the newest ticket among the removals in excess of
// MaxTombstones; 0 when there are none.
func tombstoneFloor(removed map[string]uint64) uint64 {
	if len(removed) <= MaxTombstones {
		return 0
	}
	tickets := slices.Sorted(maps.Values(removed))
	return tickets[len(tickets)-MaxTombstones-1]
}

// resourceNames lists the resources that a change or delta touches.
type resourceNames struct{ services, routes, firms []string }

func touchedNames(c Change) resourceNames {
	n := resourceNames{services: slices.Clone(c.RemoveServices), routes: slices.Clone(c.RemoveRoutes), firms: slices.Clone(c.RemoveFirms)}
	for _, s := range c.Services {
		n.services = append(n.services, s.Name)
	}
	for _, r := range c.Routes {
		n.routes = append(n.routes, r.Name)
	}
	for _, f := range c.Firms {
		n.firms = append(n.firms, f.Name)
	}
	return n
}
