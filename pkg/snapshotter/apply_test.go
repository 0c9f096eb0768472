package snapshotter

import (
	"errors"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "gentianbarrow.example/internal/seeder"
)

func service(name string) Service {
	return Service{Name: name, Firm: "frothvik", Slots: 20, Connections: 110, Queue: 40, BulkPercent: 50, UrgentSlots: 2, RetryPercent: 10}
}

func route(name, prefix, service string) Route {
	return Route{Name: name, Prefix: prefix, Service: service, Class: ClassShort, TimeoutMs: 2000}
}

// sampleSnapshot returns a snapshot of the firm frothvik that tickets 1 and 2 have set.
func sampleSnapshot(t *testing.T) *Snapshot {
	t.Helper()
	s := mustApply(t, Empty(), 1, Change{
		Services: []Service{service("status-page"), service("booking")},
		Routes:   []Route{route("status", "/status", "status-page"), route("booking", "/booking", "booking")},
	})
	return mustApply(t, s, 2, Change{
		Services: []Service{service("bench-media")},
		Routes:   []Route{route("media", "/media", "bench-media")},
	})
}

func mustApply(t *testing.T, base *Snapshot, ticket uint64, c Change) *Snapshot {
	t.Helper()
	next, err := Apply(base, c, ticket)
	assert.NilError(t, err)
	assert.NilError(t, Validate(next))
	return next
}

// assertRefused checks that a change is refused for one rule and that the base is not modified.
func assertRefused(t *testing.T, base *Snapshot, ticket uint64, c Change, want RefusedError) {
	t.Helper()
	before := EncodeSnapshot(base)
	next, err := Apply(base, c, ticket)
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Assert(t, next == nil)
	got := *refused
	got.Detail, got.More = "", nil
	assert.DeepEqual(t, got, want)
	assert.Equal(t, string(EncodeSnapshot(base)), string(before))
}

func TestApply(t *testing.T) {
	t.Run("an older ticket that touches other resources is accepted", func(t *testing.T) {
		s := mustApply(t, sampleSnapshot(t), 9, Change{Services: []Service{service("parts")}})
		s = mustApply(t, s, 5, Change{Services: []Service{service("warranty")}})
		assert.Equal(t, s.Version, uint64(4))
		assert.Equal(t, s.Services["warranty"].Ticket, uint64(5))
	})
	t.Run("a service and its routes are removed together", func(t *testing.T) {
		s := mustApply(t, sampleSnapshot(t), 3, Change{RemoveServices: []string{"booking"}, RemoveRoutes: []string{"booking"}})
		assert.Equal(t, s.RemovedServices["booking"], uint64(3))
	})
	t.Run("a later ticket sets a removed resource again", func(t *testing.T) {
		s := mustApply(t, sampleSnapshot(t), 3, Change{RemoveRoutes: []string{"booking"}})
		s = mustApply(t, s, 4, Change{Routes: []Route{route("booking", "/booking", "booking")}})
		assert.Equal(t, len(s.RemovedRoutes), 0)
	})
}

func TestApplyRefusesCollisions(t *testing.T) {
	s := sampleSnapshot(t)
	t.Run("overwriting a later ticket", func(t *testing.T) {
		assertRefused(t, s, 1, Change{Services: []Service{service("bench-media")}},
			RefusedError{Rule: RuleNewerTicket, Resource: "service bench-media", Ticket: 2})
	})
	t.Run("the same ticket twice", func(t *testing.T) {
		assertRefused(t, s, 2, Change{Services: []Service{service("bench-media")}},
			RefusedError{Rule: RuleNewerTicket, Resource: "service bench-media", Ticket: 2})
	})
	t.Run("removing what a later ticket set", func(t *testing.T) {
		assertRefused(t, s, 1, Change{RemoveRoutes: []string{"media"}},
			RefusedError{Rule: RuleNewerTicket, Resource: "route media", Ticket: 2})
	})
	t.Run("setting what a later ticket removed", func(t *testing.T) {
		removed := mustApply(t, s, 7, Change{RemoveRoutes: []string{"media"}})
		assertRefused(t, removed, 6, Change{Routes: []Route{route("media", "/media", "bench-media")}},
			RefusedError{Rule: RuleNewerTicket, Resource: "route media", Ticket: 7})
	})
	t.Run("setting what was removed so long ago that it is no longer listed", func(t *testing.T) {
		trimmed := clone(s)
		trimmed.RemovedFloor = 7
		assertRefused(t, trimmed, 6, Change{Services: []Service{service("parts")}},
			RefusedError{Rule: RuleNewerTicket, Resource: "service parts", Ticket: 7})
	})
}

func TestApplyRefusesBrokenReferences(t *testing.T) {
	s := sampleSnapshot(t)
	t.Run("a route to a missing service", func(t *testing.T) {
		assertRefused(t, s, 3, Change{Routes: []Route{route("parts", "/parts", "parts")}},
			RefusedError{Rule: RuleMissingService, Resource: "route parts", Field: "service"})
	})
	t.Run("removing a service that is routed to", func(t *testing.T) {
		assertRefused(t, s, 3, Change{RemoveServices: []string{"booking"}},
			RefusedError{Rule: RuleStillRouted, Resource: "service booking", Field: "remove-services", Ticket: 1})
	})
	t.Run("a prefix of another route", func(t *testing.T) {
		assertRefused(t, s, 3, Change{Routes: []Route{route("aa", "/media/", "booking")}},
			RefusedError{Rule: RuleSharedPrefix, Resource: "route aa", Field: "prefix", Ticket: 2})
	})
	t.Run("removing what does not exist", func(t *testing.T) {
		assertRefused(t, s, 3, Change{RemoveServices: []string{"parts"}},
			RefusedError{Rule: RuleMissingResource, Resource: "service parts", Field: "remove-services"})
	})
	t.Run("an empty change", func(t *testing.T) {
		assertRefused(t, s, 3, Change{}, RefusedError{Rule: RuleEmptyChange})
	})
	t.Run("the error truncates a long invalid name", func(t *testing.T) {
		err := ValidateChange(Change{RemoveServices: []string{strings.Repeat("X", 1<<20)}})
		var refused *RefusedError
		assert.Assert(t, errors.As(err, &refused))
		assert.Equal(t, refused.Rule, RuleName)
		assert.Assert(t, len(err.Error()) < 4*maxTextBytes)
	})
	t.Run("a resource named twice", func(t *testing.T) {
		assertRefused(t, s, 3, Change{Services: []Service{service("parts")}, RemoveServices: []string{"parts"}},
			RefusedError{Rule: RuleDuplicate, Resource: "service parts", Field: "name"})
	})
}

func TestApplyRefusesBadFields(t *testing.T) {
	s := sampleSnapshot(t)
	services := []struct {
		field string
		set   func(*Service)
		rule  Rule
	}{
		{"name", func(s *Service) { s.Name = "Parts" }, RuleName},
		{"firm", func(s *Service) { s.Firm = "" }, RuleName},
		{"slots", func(s *Service) { s.Slots = 0 }, RuleLimit},
		{"connections", func(s *Service) { s.Connections = 19 }, RuleLimit},
		{"queue", func(s *Service) { s.Queue = -1 }, RuleLimit},
		{"bulk-percent", func(s *Service) { s.BulkPercent = 0 }, RuleLimit},
		{"urgent-slots", func(s *Service) { s.UrgentSlots = 20 }, RuleLimit},
		{"retry-percent", func(s *Service) { s.RetryPercent = 101 }, RuleLimit},
	}
	for _, c := range services {
		t.Run("service "+c.field, func(t *testing.T) {
			bad := service("parts")
			c.set(&bad)
			assertRefused(t, s, 3, Change{Services: []Service{bad}},
				RefusedError{Rule: c.rule, Resource: "service " + bad.Name, Field: c.field})
		})
	}
	routes := []struct {
		field string
		set   func(*Route)
		rule  Rule
	}{
		{"name", func(r *Route) { r.Name = "a--b" }, RuleName},
		{"prefix", func(r *Route) { r.Prefix = "parts" }, RulePrefix},
		{"methods", func(r *Route) { r.Methods = []string{"GET", "GET"} }, RuleMethod},
		{"class", func(r *Route) { r.Class = "slow" }, RuleClass},
		{"timeout-ms", func(r *Route) { r.TimeoutMs = 0 }, RuleLimit},
	}
	for _, c := range routes {
		t.Run("route "+c.field, func(t *testing.T) {
			bad := route("parts", "/parts", "booking")
			c.set(&bad)
			assertRefused(t, s, 3, Change{Routes: []Route{bad}},
				RefusedError{Rule: c.rule, Resource: "route " + bad.Name, Field: c.field})
		})
	}
}

func TestNamesAndPrefixes(t *testing.T) {
	name := regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)
	path := regexp.MustCompile(`^(/[A-Za-z0-9._~!$&'()*+,;=:@-]+)+/?$|^/$`)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.StringOfN(rapid.SampledFrom([]rune("az09-AZ/é ")), 0, 6, -1).Draw(t, "name")
		assert.Equal(t, isKebabCase(n), name.MatchString(n))
		p := "/" + rapid.StringOfN(rapid.SampledFrom([]rune("aZ9/-%?#~é ")), 0, 6, -1).Draw(t, "prefix")
		assert.Equal(t, isPath(p), path.MatchString(p))
	})
}

func TestMatch(t *testing.T) {
	getOnly := route("only", "/media/only-get", "booking")
	getOnly.Methods = []string{"GET"}
	s := mustApply(t, sampleSnapshot(t), 3, Change{Routes: []Route{route("root", "/", "status-page"), getOnly}})
	cases := []struct{ method, path, want string }{
		{"GET", "/media", "media"},
		{"GET", "/media/", "media"},
		{"GET", "/media/1/2/3/4/5/6/7/8/9", "media"},
		{"GET", "/mediator", "root"},
		{"GET", "/", "root"},
		{"GET", "/media/only-get/7", "only"},
		{"POST", "/media/only-get/7", ""},
	}
	for _, c := range cases {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			r, service, ok := Match(s, "", c.method, c.path)
			assert.Equal(t, ok, c.want != "")
			if ok {
				assert.Equal(t, r.Name, c.want)
				assert.Equal(t, service.Name, r.Service)
			}
		})
	}
	t.Run("no route", func(t *testing.T) {
		_, _, ok := Match(sampleSnapshot(t), "", "GET", "/parts")
		assert.Assert(t, !ok)
	})
	t.Run("nothing is allocated", func(t *testing.T) {
		assert.Equal(t, testing.AllocsPerRun(100, func() { Match(s, "", "GET", "/media/1/2/3") }), 0.0)
	})
}
