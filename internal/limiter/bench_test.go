package limiter

import (
	"strconv"
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

// BenchmarkRanked offers requests of 82 firms to a gate in which a hundred wait by rank, and
// ends the oldest.
func BenchmarkRanked(b *testing.B) {
	l := pazaLimits()
	l.Order, l.Queue, l.BulkPercent = OrderSoftDeadline, 200, 100
	g, id := NewGate(l), uint64(0)
	firms := make([]string, 82)
	for i := range firms {
		firms[i] = "firm-" + strconv.Itoa(i)
	}
	var running []uint64
	offer := func(ms int) {
		id++
		r := request(id, snapshotter.ClassShort, firms[id%82])
		r.FirmRate, r.Route, r.Priority, r.SoftDeadline = 10, "lookup", int(id%2), at(ms+60_000)
		r.Deadline, r.WaitPastSoftDeadline = at(ms+120_000), true
		if d := g.Offer(at(ms), r); d.Verdict == VerdictAdmitted {
			running = append(running, id)
		}
	}
	for g.Load(at(0)).Queued < 100 {
		offer(0)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		offer(i / 100)
		c := g.Done(at(i/100), running[0], done())
		running = append(running[1:], c.Started...)
	}
}
