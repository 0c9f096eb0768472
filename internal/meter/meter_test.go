package meter

import (
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/dispatcher"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

func TestMetrics(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := New(registry, func() int { return 3 }, func() time.Duration { return 250 * time.Millisecond })
	for firm := range 2 * maxFirms {
		m.RecordRequest(string(rune('a'+firm)), snapshotter.ClassShort, retrier.OutcomeDone, "", time.Millisecond)
	}
	m.RecordService(&exchanger.Request{Firm: "paza", Class: "no-such-class"}, time.Millisecond, time.Millisecond)
	m.RecordAttempt("cost")
	m.RecordCall("settle", retrier.OutcomeDone)
	m.RecordRunsLimited("settle", true)
	m.RecordUnread(OriginNode, time.Second)
	m.RecordBrokenAnswer(dispatcher.PartHead)
	m.RecordSent(&exchanger.Request{Attempt: 1})
	m.RecordSent(&exchanger.Request{Attempt: 2})
	RegisterConfig(registry, func() *blackboard.Config { return &blackboard.Config{} })
	m.WatchLink(registry, func() time.Duration { return time.Millisecond })
	traffic := NewTraffic(registry)
	traffic.CountTransfer(linker.TrafficControl, linker.DirectionSent, 1)
	traffic.CountPacket(linker.DirectionSent, 1)
	NewLimits(registry, func() int { return 1 }, func() (admitted, refused, alone uint64) { return 5, 2, 1 })
	families, err := registry.Gather()
	assert.NilError(t, err)

	t.Run("the list matches the registered metrics", func(t *testing.T) {
		var registered, listed []string
		for _, f := range families {
			registered = append(registered, f.GetName())
		}
		for _, l := range Metrics() {
			listed = append(listed, l.Name)
		}
		slices.Sort(listed)
		assert.DeepEqual(t, registered, listed)
	})
	t.Run("the number of series is bounded", func(t *testing.T) {
		for _, f := range families {
			assert.Assert(t, len(f.GetMetric()) <= maxFirms+1, f.GetName())
		}
	})
}
