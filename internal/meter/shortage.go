package meter

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gentianbarrow.example/internal/limiter"
)

var (
	targetStarts = Metric{
		Name: "gentian_target_starts_total", Labels: []string{"order"},
		Help: "Requests that got a slot of the target on this host: at-once, queued, late (its soft deadline could not be met any more), over-part (its firm had used more than its part) or starved (it went before more urgent ones).",
	}
	firmsOverPart = Metric{
		Name: "gentian_target_firms_over_part",
		Help: "Firms with waiting requests that have used more than their part of the target on this host.",
	}
	linkQueue = Metric{
		Name: "gentian_link_queue_seconds",
		Help: "Time for which a further piece of a long answer waits for the link of this host.",
	}
)

// shortage counts the starts of requests at the target of this host.
type shortage struct {
	starts        *prometheus.CounterVec
	firmsOverPart prometheus.Gauge
	mu            sync.Mutex
	// last holds the counts that were last recorded. Guarded by mu.
	last map[limiter.StartOrder]int
}

func newShortage(registry prometheus.Registerer) *shortage {
	s := &shortage{
		starts:        newCounter(targetStarts),
		firmsOverPart: prometheus.NewGauge(prometheus.GaugeOpts{Name: firmsOverPart.Name, Help: firmsOverPart.Help}),
	}
	registry.MustRegister(s.starts, s.firmsOverPart)
	for _, order := range []limiter.StartOrder{
		limiter.StartAtOnce, limiter.StartQueued, limiter.StartLate, limiter.StartOverPart, limiter.StartStarved,
	} {
		s.starts.WithLabelValues(string(order))
	}
	return s
}

// WatchLink registers the queue of the link of this host.
func (m *Meter) WatchLink(registry prometheus.Registerer, queue func() time.Duration) {
	registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: linkQueue.Name, Help: linkQueue.Help},
		func() float64 { return queue().Seconds() },
	))
}

// RecordShortage records who is put behind at the target, and the starts since the last
// call. Counts that are lower than then are those of a new gate.
func (m *Meter) RecordShortage(current limiter.Shortage) {
	if m == nil {
		return
	}
	s := m.shortage
	s.mu.Lock()
	defer s.mu.Unlock()
	for order, n := range current.Starts {
		if before := s.last[order]; n >= before {
			n -= before
		}
		s.starts.WithLabelValues(string(order)).Add(float64(n))
	}
	s.last = current.Starts
	s.firmsOverPart.Set(float64(len(current.FirmsOverPart)))
}
