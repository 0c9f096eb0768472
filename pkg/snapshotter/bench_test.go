package snapshotter

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// The size of the configuration of a whole fleet.
const (
	fleetServices = 3600
	fleetRoutes   = 7200
)

// fleetSnapshot returns a snapshot of that size, set by ticket 1.
func fleetSnapshot(b *testing.B) *Snapshot {
	b.Helper()
	var c Change
	for i := range fleetServices {
		name := fmt.Sprintf("paza-trecerii-unite-service-%04d", i)
		c.Services = append(c.Services, service(name))
		for j := range fleetRoutes / fleetServices {
			prefix := fmt.Sprintf("/%s/%d", name, j)
			c.Routes = append(c.Routes, route(fmt.Sprintf("%s-%d", name, j), prefix, name))
		}
	}
	s, err := Apply(Empty(), c, 1)
	assert.NilError(b, err)
	return s
}

// oneTicketChange changes one service and one of its routes.
func oneTicketChange() Change {
	s := service("paza-trecerii-unite-service-1234")
	s.Slots++
	r := route(s.Name+"-0", "/"+s.Name+"/0", s.Name)
	r.TimeoutMs++
	return Change{Services: []Service{s}, Routes: []Route{r}}
}

// clearDigestCache makes the next digest of s be computed from its resources.
func clearDigestCache(s *Snapshot) { s.shardDigests.Store(nil) }

func BenchmarkFleet(b *testing.B) {
	base := fleetSnapshot(b)
	base.Digest()
	next, err := Apply(base, oneTicketChange(), 2)
	assert.NilError(b, err)
	delta := Diff(base, next)
	encoded := EncodeSnapshot(next)
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			_, err := Apply(base, oneTicketChange(), 2)
			assert.NilError(b, err)
		}
	})
	b.Run("validate", func(b *testing.B) {
		for b.Loop() {
			assert.NilError(b, Validate(next))
		}
	})
	b.Run("digest of a fresh snapshot", func(b *testing.B) {
		for b.Loop() {
			clearDigestCache(next)
			next.Digest()
		}
	})
	b.Run("diff", func(b *testing.B) {
		for b.Loop() {
			delta = Diff(base, next)
		}
		b.ReportMetric(float64(len(EncodeDelta(delta))), "delta-bytes")
	})
	b.Run("patch", func(b *testing.B) {
		for b.Loop() {
			_, err := Patch(base, delta)
			assert.NilError(b, err)
		}
	})
	b.Run("decode of a whole snapshot", func(b *testing.B) {
		for b.Loop() {
			_, err := DecodeSnapshot(encoded)
			assert.NilError(b, err)
		}
		b.ReportMetric(float64(len(encoded)), "snapshot-bytes")
	})
	b.Run("match", func(b *testing.B) {
		for b.Loop() {
			_, _, ok := Match(next, "", "GET", "/paza-trecerii-unite-service-1234/0/this/morning")
			assert.Assert(b, ok)
		}
	})
}
