package limiter

import (
	"testing"

	"gentianbarrow.example/pkg/snapshotter"
)

func BenchmarkOfferDone(b *testing.B) {
	g, id := NewGate(pazaLimits()), uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		g.Offer(at(0), request(id, snapshotter.ClassShort, "paza"))
		g.Done(at(1), id, done())
	}
}

// BenchmarkQueued offers a request to a gate with a full queue and ends the
// oldest, so that each iteration refuses or queues one and starts another.
func BenchmarkQueued(b *testing.B) {
	g, id, oldest := NewGate(pazaLimits()), uint64(0), uint64(1)
	for g.Load(at(0)).Queued < 10 {
		id++
		g.Offer(at(0), request(id, snapshotter.ClassShort, "paza"))
	}
	b.ReportAllocs()
	for b.Loop() {
		id++
		g.Offer(at(0), request(id, snapshotter.ClassShort, "paza"))
		g.Done(at(0), oldest, done())
		oldest++
	}
}
