package meter

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

// useFirms records requests: each firm in turn, the first ones hotTimes as often.
func useFirms(m *Meter, rounds, first, count, hot, hotTimes int) {
	for range rounds {
		for i := range count {
			times := 1
			if i < hot {
				times = hotTimes
			}
			for range times {
				m.RecordRequest(fmt.Sprintf("firm-%d", first+i), snapshotter.ClassShort, retrier.OutcomeDone, "", time.Millisecond)
			}
		}
	}
}

// countByFirm returns the requests by firm.
func countByFirm(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	assert.NilError(t, err)
	counts := map[string]float64{}
	for _, f := range families {
		if f.GetName() != outcomes.Name {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetName() == "firm" {
					counts[l.GetValue()] += m.GetCounter().GetValue()
				}
			}
		}
	}
	return counts
}

func newTestMeter() (*Meter, *prometheus.Registry) {
	registry := prometheus.NewRegistry()
	return New(registry, func() int { return 0 }, func() time.Duration { return 0 }), registry
}

// TestFirmsByUse replays a load of many firms of which a few send the most requests, and
// which are not the first that were seen.
func TestFirmsByUse(t *testing.T) {
	const firms, hot = 82, 8
	t.Run("the most used firms have series of their own", func(t *testing.T) {
		m, registry := newTestMeter()
		useFirms(m, 1, 100, firms, 0, 1)
		useFirms(m, 100, 0, firms, hot, 20)
		counts := countByFirm(t, registry)
		assert.Assert(t, len(counts) <= maxFirms+1, "%d firms", len(counts))
		for i := range hot {
			assert.Assert(t, counts[fmt.Sprintf("firm-%d", i)] > 0, "firm-%d of %v", i, counts)
		}
	})
	t.Run("others take their place when the use changes", func(t *testing.T) {
		m, registry := newTestMeter()
		useFirms(m, 100, 0, firms, hot, 20)
		useFirms(m, 300, 200, firms, hot, 20)
		counts := countByFirm(t, registry)
		assert.Assert(t, len(counts) <= maxFirms+1, "%d firms", len(counts))
		for i := range hot {
			assert.Assert(t, counts[fmt.Sprintf("firm-%d", 200+i)] > 0, "firm-%d of %v", 200+i, counts)
		}
	})
	t.Run("the state is bounded for any number of firms", func(t *testing.T) {
		m, registry := newTestMeter()
		useFirms(m, 2, 0, 5000, 0, 1)
		assert.Assert(t, len(m.firms.values) <= maxFirms*countedFactor)
		assert.Assert(t, len(countByFirm(t, registry)) <= maxFirms+1)
	})
	t.Run("no series is written after its drop", func(t *testing.T) {
		m, registry := newTestMeter()
		var group sync.WaitGroup
		for worker := range 4 {
			group.Go(func() { useFirms(m, 40, worker*firms, firms, hot, 20) })
		}
		group.Wait()
		assert.Assert(t, len(countByFirm(t, registry)) <= maxFirms+1)
	})
}

func BenchmarkRecordRequest(b *testing.B) {
	m, _ := newTestMeter()
	useFirms(m, 1, 0, 82, 0, 1)
	b.ReportAllocs()
	for b.Loop() {
		m.RecordRequest("firm-3", snapshotter.ClassShort, retrier.OutcomeNotRun, exchanger.ReasonOverLimit, time.Millisecond)
	}
}
