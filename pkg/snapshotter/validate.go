package snapshotter

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"
)

// The greatest values that a ticket may set.
const (
	MaxNameBytes   = 63
	MaxPrefixBytes = 255
	MaxSlots       = 100_000
	MaxConnections = 1_000_000
	MaxQueue       = 1_000_000
	MaxTimeoutMs   = 24 * 60 * 60 * 1000
	MaxAttempts    = 1000
	MaxPriority    = 1000
	MaxWeight      = 1_000_000
	MaxHostBytes   = 255
	// MaxRefusals is how many violations one RefusedError lists.
	MaxRefusals = 20
)

var (
	knownMethods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}
	knownClasses = []Class{ClassUrgent, ClassShort, ClassBulk}
)

// violations collects what is wrong with one change.
type violations []RefusedError

func (v *violations) add(e RefusedError) {
	if len(*v) < MaxRefusals {
		e.Resource, e.Detail = shorten(e.Resource), shorten(e.Detail)
		*v = append(*v, e)
	}
}

// maxTextBytes bounds the texts of a refusal, which may quote anything.
const maxTextBytes = 400

func shorten(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}

func (v violations) err() error {
	if len(v) == 0 {
		return nil
	}
	first := v[0]
	first.More = v[1:]
	return &first
}

// Validate checks every rule for a snapshot. It returns *RefusedError.
func Validate(s *Snapshot) error {
	var v violations
	v.snapshot(s, maps.Keys(s.Services), maps.Keys(s.Routes))
	if len(v) == 0 {
		return nil
	}
	// In order of name, the same snapshot always gives the same error.
	v = nil
	services := slices.Sorted(maps.Keys(s.Services))
	routes := slices.Sorted(maps.Keys(s.Routes))
	v.snapshot(s, slices.Values(services), slices.Values(routes))
	return v.err()
}

func (v *violations) snapshot(s *Snapshot, services, routes iter.Seq[string]) {
	for name := range services {
		v.service(s.Services[name])
	}
	for name := range routes {
		r := s.Routes[name]
		v.route(r)
		v.routed(s, r)
	}
	v.prefixes(s)
}

func serviceLabel(name string) string { return "service " + name }

func routeLabel(name string) string { return "route " + name }

// isKebabCase tells whether a name is words of small letters and digits, joined
// by single hyphens, with a letter first.
func isKebabCase(name string) bool {
	if name == "" || name[0] < 'a' || name[0] > 'z' || name[len(name)-1] == '-' {
		return false
	}
	for i := range len(name) {
		c := name[i]
		letter := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !letter && (c != '-' || name[i-1] == '-') {
			return false
		}
	}
	return true
}

// isPath tells whether a prefix is an absolute path, in the characters that
// need no escape, without empty segments.
func isPath(prefix string) bool {
	if prefix == "" || prefix[0] != '/' {
		return false
	}
	for i := range len(prefix) {
		c := prefix[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && strings.IndexByte("/-._~!$&'()*+,;=:@", c) < 0 {
			return false
		}
		if c == '/' && i > 0 && prefix[i-1] == '/' {
			return false
		}
	}
	return true
}

func (v *violations) name(resource, field, name string) {
	if len(name) > MaxNameBytes || !isKebabCase(name) {
		v.add(RefusedError{
			Rule: RuleName, Resource: resource, Field: field,
			Detail: fmt.Sprintf("%q is not in kebab case of at most %d bytes", name, MaxNameBytes),
		})
	}
}

func (v *violations) limit(resource, field string, n, low, high int) {
	if n < low || n > high {
		v.add(RefusedError{
			Rule: RuleLimit, Resource: resource, Field: field,
			Detail: fmt.Sprintf("%d is outside %d to %d", n, low, high),
		})
	}
}

func (v *violations) service(s Service) {
	label := serviceLabel(s.Name)
	v.name(label, "name", s.Name)
	v.name(label, "firm", s.Firm)
	v.limit(label, "slots", s.Slots, 1, MaxSlots)
	v.limit(label, "connections", s.Connections, max(1, s.Slots), MaxConnections)
	v.limit(label, "queue", s.Queue, 0, MaxQueue)
	v.limit(label, "bulk-percent", s.BulkPercent, 1, 100)
	if s.Slots >= 1 {
		v.limit(label, "urgent-slots", s.UrgentSlots, 0, s.Slots-1)
	}
	v.limit(label, "retry-percent", s.RetryPercent, 0, 100)
	if s.HealthPath != "" && (len(s.HealthPath) > MaxPrefixBytes || !isPath(s.HealthPath)) {
		v.add(RefusedError{
			Rule: RulePrefix, Resource: label, Field: "health-path",
			Detail: fmt.Sprintf("%q is not a path that begins with a slash, of at most %d bytes", s.HealthPath, MaxPrefixBytes),
		})
	}
}

func (v *violations) route(r Route) {
	label := routeLabel(r.Name)
	v.name(label, "name", r.Name)
	v.limit(label, "timeout-ms", r.TimeoutMs, 1, MaxTimeoutMs)
	v.limit(label, "max-attempts", r.MaxAttempts, 0, MaxAttempts)
	v.limit(label, "target-latency-ms", r.TargetLatencyMs, 0, MaxTimeoutMs)
	v.limit(label, "priority", r.Priority, 0, MaxPriority)
	v.limit(label, "host", len(r.Host), 0, MaxHostBytes)
	for _, s := range r.Split {
		v.limit(label, "split", s.Weight, 1, MaxWeight)
	}
	if len(r.Prefix) > MaxPrefixBytes || !isPath(r.Prefix) {
		v.add(RefusedError{
			Rule: RulePrefix, Resource: label, Field: "prefix",
			Detail: fmt.Sprintf("%q is not a path that begins with a slash, of at most %d bytes", r.Prefix, MaxPrefixBytes),
		})
	}
	for i, m := range r.Methods {
		if !slices.Contains(knownMethods, m) || slices.Contains(r.Methods[:i], m) {
			v.add(RefusedError{
				Rule: RuleMethod, Resource: label, Field: "methods",
				Detail: fmt.Sprintf("%q is unknown or stands twice", m),
			})
		}
	}
	if !slices.Contains(knownClasses, r.Class) {
		v.add(RefusedError{
			Rule: RuleClass, Resource: label, Field: "class",
			Detail: fmt.Sprintf("%q is not one of urgent, short, bulk", r.Class),
		})
	}
}

// routed checks that the route's service exists.
func (v *violations) routed(s *Snapshot, r Route) {
	for _, service := range r.services() {
		if _, ok := s.Services[service]; ok {
			continue
		}
		v.add(RefusedError{
			Rule: RuleMissingService, Resource: routeLabel(r.Name), Field: "service",
			Ticket: s.RemovedServices[service],
			Detail: fmt.Sprintf("service %q does not exist", service),
		})
	}
}

// prefixes checks that no two routes share a prefix.
func (v *violations) prefixes(s *Snapshot) {
	if s.routes().count == len(s.Routes) {
		return
	}
	first := make(map[routeKey]Route, len(s.Routes))
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		r := s.Routes[name]
		key := routeKey{host: r.Host, prefix: prefixKey(r.Prefix)}
		other, ok := first[key]
		if !ok {
			first[key] = r
			continue
		}
		// The route that came with the later ticket is the one at fault.
		if other.Ticket > r.Ticket {
			r, other = other, r
		}
		v.add(RefusedError{
			Rule: RuleSharedPrefix, Resource: routeLabel(r.Name), Field: "prefix", Ticket: other.Ticket,
			Detail: fmt.Sprintf("%q is already the prefix of route %s", r.Prefix, other.Name),
		})
	}
}
