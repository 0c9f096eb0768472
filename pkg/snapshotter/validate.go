package snapshotter

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"
)

// The maximum values that a ticket may set.
const (
	MaxNameBytes   = 63
	MaxPrefixBytes = 255
	MaxSlots       = 100_000
	MaxConnections = 1_000_000
	MaxQueue       = 1_000_000
	MaxTimeoutMs   = 24 * 60 * 60 * 1000 // 24 hours
	MaxAttempts    = 1000
	MaxPriority    = 1000
	MaxWeight      = 1_000_000
	MaxHostBytes   = 255
	MaxRate        = 100_000_000
	// MaxKeys is the maximum number of access keys of a firm.
	MaxKeys = 1000
	// MaxViolations is the maximum number of violations that one RefusedError lists.
	MaxViolations = 20
)

var (
	knownMethods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}
	knownClasses = []Class{ClassUrgent, ClassShort, ClassBulk}
)

// violations collects the violations of one change or snapshot.
type violations []RefusedError

func (v *violations) add(e RefusedError) {
	if len(*v) < MaxViolations {
		e.Resource, e.Detail = truncate(e.Resource), truncate(e.Detail)
		*v = append(*v, e)
	}
}

// maxTextBytes bounds the texts of a RefusedError, which quote input of any length.
const maxTextBytes = 400

func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}

// err returns the violations as one *RefusedError, or nil when there are none.
func (v violations) err() error {
	if len(v) == 0 {
		return nil
	}
	first := v[0]
	first.More = v[1:]
	return &first
}

// Validate checks a snapshot against every rule. It returns *RefusedError.
func Validate(s *Snapshot) error {
	var v violations
	v.checkSnapshot(s, maps.Keys(s.Services), maps.Keys(s.Routes), maps.Keys(s.Firms))
	if len(v) == 0 {
		return nil
	}
	// Check again in order of name, so that the same snapshot always gives the
	// same error. A valid snapshot does not pay for the sorting.
	v = nil
	services := slices.Sorted(maps.Keys(s.Services))
	routes := slices.Sorted(maps.Keys(s.Routes))
	v.checkSnapshot(s, slices.Values(services), slices.Values(routes), sortedFirms(s))
	return v.err()
}

func (v *violations) checkSnapshot(s *Snapshot, services, routes, firms iter.Seq[string]) {
	for name := range services {
		v.checkService(s.Services[name])
	}
	for name := range routes {
		r := s.Routes[name]
		v.checkRoute(r)
		v.checkRouteServices(s, r)
	}
	v.checkPrefixes(s)
	for name := range firms {
		v.checkFirm(s.Firms[name])
	}
	v.checkKeyOwners(s, firms)
}

func serviceLabel(name string) string { return "service " + name }

func routeLabel(name string) string { return "route " + name }

// isKebabCase reports whether a name consists of words of lower-case letters and
// digits, joined by single hyphens, and begins with a letter.
func isKebabCase(name string) bool {
	if name == "" || name[0] < 'a' || name[0] > 'z' || name[len(name)-1] == '-' {
		return false
	}
	for i := range len(name) {
		c := name[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alphanumeric && (c != '-' || name[i-1] == '-') {
			return false
		}
	}
	return true
}

// isPath reports whether a prefix is an absolute path without empty segments, in
// characters that need no escaping.
func isPath(prefix string) bool {
	if prefix == "" || prefix[0] != '/' {
		return false
	}
	for i := range len(prefix) {
		c := prefix[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && strings.IndexByte("/-._~!$&'()*+,;=:@", c) < 0 {
			return false
		}
		if c == '/' && i > 0 && prefix[i-1] == '/' {
			return false
		}
	}
	return true
}

func (v *violations) checkName(resource, field, name string) {
	if len(name) > MaxNameBytes || !isKebabCase(name) {
		v.add(RefusedError{
			Rule: RuleName, Resource: resource, Field: field,
			Detail: fmt.Sprintf("%q is not in kebab case of at most %d bytes", name, MaxNameBytes),
		})
	}
}

// checkRange checks that n is at least low and at most high.
func (v *violations) checkRange(resource, field string, n, low, high int) {
	if n < low || n > high {
		v.add(RefusedError{
			Rule: RuleLimit, Resource: resource, Field: field,
			Detail: fmt.Sprintf("%d is outside %d to %d", n, low, high),
		})
	}
}

func (v *violations) checkService(s Service) {
	label := serviceLabel(s.Name)
	v.checkName(label, "name", s.Name)
	v.checkName(label, "firm", s.Firm)
	v.checkRange(label, "slots", s.Slots, 1, MaxSlots)
	v.checkRange(label, "connections", s.Connections, max(1, s.Slots), MaxConnections)
	v.checkRange(label, "queue", s.Queue, 0, MaxQueue)
	v.checkRange(label, "bulk-percent", s.BulkPercent, 1, 100)
	if s.Slots >= 1 {
		v.checkRange(label, "urgent-slots", s.UrgentSlots, 0, s.Slots-1)
	}
	v.checkRange(label, "retry-percent", s.RetryPercent, 0, 100)
	if s.HealthPath != "" && (len(s.HealthPath) > MaxPrefixBytes || !isPath(s.HealthPath)) {
		v.add(RefusedError{
			Rule: RulePrefix, Resource: label, Field: "health-path",
			Detail: fmt.Sprintf("%q is not a path that begins with a slash, of at most %d bytes", s.HealthPath, MaxPrefixBytes),
		})
	}
}

func (v *violations) checkRoute(r Route) {
	label := routeLabel(r.Name)
	v.checkName(label, "name", r.Name)
	v.checkRange(label, "timeout-ms", r.TimeoutMs, 1, MaxTimeoutMs)
	v.checkRange(label, "max-attempts", r.MaxAttempts, 0, MaxAttempts)
	v.checkRange(label, "target-latency-ms", r.TargetLatencyMs, 0, MaxTimeoutMs)
	v.checkRange(label, "priority", r.Priority, 0, MaxPriority)
	v.checkRange(label, "host", len(r.Host), 0, MaxHostBytes)
	for _, s := range r.Split {
		v.checkRange(label, "split", s.Weight, 1, MaxWeight)
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

// checkRouteServices checks that the services of the route exist.
func (v *violations) checkRouteServices(s *Snapshot, r Route) {
	for _, service := range r.serviceNames() {
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

// checkPrefixes checks that no two routes of a host have the same prefix.
func (v *violations) checkPrefixes(s *Snapshot) {
	if s.loadIndex().routeCount == len(s.Routes) {
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
		// The violation is reported for the route that the later ticket set.
		if other.Ticket > r.Ticket {
			r, other = other, r
		}
		v.add(RefusedError{
			Rule: RuleSharedPrefix, Resource: routeLabel(r.Name), Field: "prefix", Ticket: other.Ticket,
			Detail: fmt.Sprintf("%q is already the prefix of route %s", r.Prefix, other.Name),
		})
	}
}
