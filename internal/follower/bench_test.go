package follower

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/elector"
	"gentianbarrow.example/pkg/snapshotter"
)

// fullSizeSnapshots returns a configuration of 3,600 services with one route
// each, and the same configuration with one change.
func fullSizeSnapshots(b *testing.B) (base, next *snapshotter.Snapshot) {
	b.Helper()
	var c snapshotter.Change
	for i := range 3600 {
		name := fmt.Sprintf("service-%d", i)
		c.Services = append(c.Services, snapshotter.Service{
			Name: name, Firm: "paza-trecerii", Slots: 10, Connections: 120, BulkPercent: 50,
		})
		c.Routes = append(c.Routes, snapshotter.Route{
			Name: name, Prefix: "/" + name, Service: name, Class: snapshotter.ClassShort, TimeoutMs: 2000,
		})
	}
	base, err := snapshotter.Apply(snapshotter.Empty(), c, 1)
	assert.NilError(b, err)
	c.Services[0].Queue = 7
	next, err = snapshotter.Apply(base, snapshotter.Change{Services: c.Services[:1]}, 2)
	assert.NilError(b, err)
	base.Digest()
	return base, next
}

func BenchmarkTick(b *testing.B) {
	f := newFollower(Platform{})
	s := blackboard.State{
		Self:  blackboard.Self{Host: "host-1", Address: "host-1", Rack: "rack-1"},
		Lease: elector.NoLease(),
	}
	s.Members.ByHost = map[string]blackboard.Member{}
	for i := range 1000 {
		host := fmt.Sprintf("host-%d", i)
		s.Members.ByHost[host] = blackboard.Member{Host: host, Address: host, Status: blackboard.MemberAlive}
	}
	now := time.Unix(1_800_000_000, 0)
	for b.Loop() {
		now = now.Add(blackboard.TickInterval)
		s, _ = f.reduce(s, blackboard.Tick{Now: now})
	}
}

func BenchmarkApplyDelta(b *testing.B) {
	base, next := fullSizeSnapshots(b)
	f := newFollower(Platform{})
	effect := ApplyDelta{Version: 2, Bases: []*snapshotter.Snapshot{base}, Data: encodeDelta(SendUpdate{Base: base, Next: next})}
	for b.Loop() {
		f.applyDelta(effect, func(msg blackboard.Msg) {
			if _, ok := msg.(SnapshotLoaded); !ok {
				b.Fatalf("%+v", msg)
			}
		})
	}
	b.ReportMetric(float64(len(effect.Data)), "delta-bytes")
}

func BenchmarkEncodeDelta(b *testing.B) {
	base, next := fullSizeSnapshots(b)
	for b.Loop() {
		encodeDelta(SendUpdate{Base: base, Next: next})
	}
}

func BenchmarkWhole(b *testing.B) {
	_, next := fullSizeSnapshots(b)
	f := newFollower(Platform{})
	data := snapshotter.EncodeSnapshot(next)
	for b.Loop() {
		f.decodeSnapshot(SnapshotReceived{Version: 2, Digest: next.Digest(), Data: data}, func(msg blackboard.Msg) {
			if _, ok := msg.(SnapshotLoaded); !ok {
				b.Fatalf("%+v", msg)
			}
		})
	}
	b.ReportMetric(float64(len(data)), "snapshot-bytes")
}

// BenchmarkSnapshotMemory reports the heap size of each further version of a
// full-size configuration.
func BenchmarkSnapshotMemory(b *testing.B) {
	base, next := fullSizeSnapshots(b)
	data := encodeDelta(SendUpdate{Base: base, Next: next})
	var kept []*snapshotter.Snapshot
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		s, err := patch(ApplyDelta{Data: data, Bases: []*snapshotter.Snapshot{base}})
		assert.NilError(b, err)
		kept = append(kept, s)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(kept)), "heap-bytes/version")
}
