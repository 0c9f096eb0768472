package snapshotter

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawChange draws a change over a few names, so that tickets collide often.
func drawChange(t *rapid.T, s *Snapshot) Change {
	var c Change
	name := rapid.SampledFrom([]string{"assign", "evidence", "gates", "roster"})
	for _, n := range rapid.SliceOfNDistinct(name, 0, 2, rapid.ID).Draw(t, "services") {
		c.Services = append(c.Services, service(n))
	}
	for _, n := range rapid.SliceOfNDistinct(name, 0, 2, rapid.ID).Draw(t, "routes") {
		c.Routes = append(c.Routes, route(n, "/"+n, name.Draw(t, "to")))
	}
	c.Firms = drawFirms(t)
	c.RemoveFirms = drawNames(t, slices.Sorted(maps.Keys(s.Firms)))
	c.RemoveServices = drawNames(t, slices.Sorted(maps.Keys(s.Services)))
	c.RemoveRoutes = drawNames(t, slices.Sorted(maps.Keys(s.Routes)))
	return c
}

func drawNames(t *rapid.T, names []string) []string {
	if len(names) == 0 || rapid.IntRange(0, 3).Draw(t, "keep") > 0 {
		return nil
	}
	return []string{rapid.SampledFrom(names).Draw(t, "remove")}
}

func TestDeltaProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := Empty()
		versions := []*Snapshot{base}
		for range 20 {
			next, err := Apply(base, drawChange(t, base), rapid.Uint64Range(1, 40).Draw(t, "ticket"))
			if err != nil {
				continue
			}
			assert.NilError(t, Validate(next))
			base = next
			versions = append(versions, next)
		}
		from := rapid.SampledFrom(versions).Draw(t, "from")
		to := rapid.SampledFrom(versions).Draw(t, "to")
		d, err := DecodeDelta(EncodeDelta(Diff(from, to)))
		assert.NilError(t, err)
		patched, err := Patch(from, d)
		assert.NilError(t, err)
		decoded, err := DecodeSnapshot(EncodeSnapshot(patched))
		assert.NilError(t, err)
		assert.DeepEqual(t, EncodeSnapshot(decoded), EncodeSnapshot(to))
		assert.Equal(t, decoded.Digest(), to.Digest())
	})
}

func FuzzDecode(f *testing.F) {
	s, err := Apply(Empty(), Change{
		Services: []Service{service("parts")}, Routes: []Route{route("parts", "/parts", "parts")},
		Firms: []Firm{firm("rocklea", "a", "b"), firm("yatala")},
	}, 1)
	assert.NilError(f, err)
	next, err := Apply(s, Change{Firms: []Firm{firm("rocklea", "c")}, RemoveFirms: []string{"yatala"}}, 2)
	assert.NilError(f, err)
	f.Add(EncodeSnapshot(s))
	f.Add(EncodeSnapshot(next))
	f.Add(EncodeDelta(Diff(Empty(), s)))
	f.Add(EncodeDelta(Diff(s, next)))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := DecodeSnapshot(data); err == nil {
			again, err := DecodeSnapshot(EncodeSnapshot(s))
			assert.NilError(t, err)
			assert.Equal(t, again.Digest(), s.Digest())
		}
		if d, err := DecodeDelta(data); err == nil {
			_, err := DecodeDelta(EncodeDelta(d))
			assert.NilError(t, err)
			_, _ = Patch(Empty(), d)
		}
	})
}

// TestUnknownFieldsAreRefused guards against a node that puts a part of a version in force:
// a node of a later program sends fields that this one does not know.
func TestUnknownFieldsAreRefused(t *testing.T) {
	encoded := EncodeSnapshot(sampleSnapshot(t))
	_, err := DecodeSnapshot(encoded)
	assert.NilError(t, err)
	var malformed *MalformedError
	_, err = DecodeSnapshot(appendNumber(encoded, 99, 1))
	assert.Assert(t, errors.As(err, &malformed), "%v", err)
}

// TestDiffSeesEachFieldOfRoute guards against a new field of Route that sameRoute
// does not compare: Diff would leave out a route in which only that field changed.
func TestDiffSeesEachFieldOfRoute(t *testing.T) {
	base := sampleSnapshot(t)
	for i := range reflect.TypeFor[Route]().NumField() {
		field := reflect.TypeFor[Route]().Field(i)
		t.Run(field.Name, func(t *testing.T) {
			next := clone(base)
			r := next.Routes["media"]
			v := reflect.ValueOf(&r).Elem().Field(i)
			switch v.Kind() {
			case reflect.String:
				v.SetString("other")
			case reflect.Bool:
				v.SetBool(!v.Bool())
			case reflect.Int:
				v.SetInt(v.Int() + 1)
			case reflect.Uint64:
				v.SetUint(v.Uint() + 1)
			default:
				v.Set(reflect.MakeSlice(v.Type(), 1, 1))
			}
			next.Routes["media"] = r
			assert.Equal(t, len(Diff(base, next).Routes), 1)
		})
	}
}

func TestPatchRefuses(t *testing.T) {
	base := sampleSnapshot(t)
	next := mustApply(t, base, 3, Change{Services: []Service{service("parts")}})
	assertMismatch := func(t *testing.T, s *Snapshot, d *Delta, subject string) {
		t.Helper()
		patched, err := Patch(s, d)
		var mismatch *DigestMismatchError
		assert.Assert(t, errors.As(err, &mismatch), "%v", err)
		assert.Equal(t, mismatch.Subject, subject)
		assert.Assert(t, patched == nil)
	}
	t.Run("another base", func(t *testing.T) {
		assertMismatch(t, next, Diff(base, next), "base")
	})
	t.Run("a changed service", func(t *testing.T) {
		d := Diff(base, next)
		d.Services[0].Slots++
		assertMismatch(t, base, d, "result")
	})
	t.Run("another version", func(t *testing.T) {
		d := Diff(base, next)
		d.Version++
		assertMismatch(t, base, d, "result")
	})
	t.Run("a missing part", func(t *testing.T) {
		d := Diff(base, next)
		d.Services = nil
		assertMismatch(t, base, d, "result")
	})
}

func TestTombstonesAreTrimmed(t *testing.T) {
	s := Empty()
	ticket := uint64(0)
	for i := range MaxTombstones + 1 {
		name := fmt.Sprintf("svc-%d", i)
		s = mustApply(t, s, ticket+1, Change{Services: []Service{service(name)}})
		s.Digest()
		s = mustApply(t, s, ticket+2, Change{RemoveServices: []string{name}})
		ticket += 2
	}
	assert.Equal(t, len(s.RemovedServices), MaxTombstones)
	assert.Equal(t, s.RemovedFloor, uint64(2))
	fresh, err := DecodeSnapshot(EncodeSnapshot(s))
	assert.NilError(t, err)
	assert.Equal(t, s.Digest(), fresh.Digest())
	assertRefused(t, s, 2, Change{Services: []Service{service("svc-0")}},
		RefusedError{Rule: RuleNewerTicket, Resource: "service svc-0", Ticket: 2})
}
