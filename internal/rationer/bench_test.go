package rationer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkTake measures a decision at a node that hears of its keeper.
func BenchmarkTake(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	firm := Firm{Name: "firm-1", Rate: 1e6, Burst: 1e6}
	for _, c := range []struct {
		name  string
		ratio float64
	}{{"below the limit", 1}, {"at the limit", 0.5}} {
		b.Run(c.name, func(b *testing.B) {
			n := NewNode("host-1", testMargin, func(string) string { return "keeper" })
			n.SetNodes(1)
			r := n.Report(now, "keeper")
			pace := Pace{Sequence: r.Sequence}
			if c.ratio < 1 {
				pace.Ratios = map[string]float64{firm.Name: c.ratio}
			}
			n.Apply(now, "keeper", pace, func(string) (Firm, bool) { return firm, true })
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				n.Take(now, firm)
			}
		})
	}
}

// TestTakeAllocatesNothing guards the cost of a decision, which each request pays.
func TestTakeAllocatesNothing(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	firm := Firm{Name: "firm-1", Rate: 100, Burst: 100}
	n := NewNode("host-1", testMargin, func(string) string { return "keeper" })
	n.SetNodes(3)
	n.Take(now, firm)
	assert.Equal(t, testing.AllocsPerRun(100, func() { n.Take(now, firm) }), 0.0)
}
