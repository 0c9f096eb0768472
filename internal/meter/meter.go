// Package meter counts and times requests for each firm and class.
package meter

import (
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

const (
	// other stands for label values beyond the bounds.
	other = "other"
	// maxFirms bounds the firms that have series of their own.
	maxFirms = 32
	// maxReasons bounds the reasons that have series of their own.
	maxReasons = 48
)

// Metric describes one metric for docs/METRICS.md.
type Metric struct {
	Name   string
	Help   string
	Labels []string
}

var (
	latency = Metric{
		Name: "gentian_request_seconds", Labels: []string{"firm", "class"},
		Help: "Time from a caller's request to the end of its answer, at the node that took it.",
	}
	queueWait = Metric{
		Name: "gentian_queue_wait_seconds", Labels: []string{"firm", "class"},
		Help: "Time that a request waited for a slot of the target, at the target's node.",
	}
	serviceTime = Metric{
		Name: "gentian_service_seconds", Labels: []string{"firm", "class"},
		Help: "Time that a request held a slot of the target, at the target's node.",
	}
	outcomes = Metric{
		Name: "gentian_requests_total", Labels: []string{"firm", "class", "outcome", "reason"},
		Help: "Requests of callers by outcome and reason, at the node that took them.",
	}
	attempts = Metric{
		Name: "gentian_attempts_total", Labels: []string{"why"},
		Help: "Attempts to send a request to a target, by what chose the target.",
	}
	inFlight = Metric{
		Name: "gentian_requests_in_flight",
		Help: "Requests of callers and peers that this node has not finished.",
	}
)

// Metrics lists what a Meter and a Traffic register.
func Metrics() []Metric {
	return []Metric{
		latency, queueWait, serviceTime, outcomes, attempts, inFlight,
		linkBytes, linkTransfers, packetBytes, packets,
	}
}

// buckets reach from 0.1 ms to 100 s.
var buckets = []float64{
	0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 100,
}

// Meter holds the metrics of the request path.
type Meter struct {
	latency     *prometheus.HistogramVec
	queueWait   *prometheus.HistogramVec
	serviceTime *prometheus.HistogramVec
	outcomes    *prometheus.CounterVec
	attempts    *prometheus.CounterVec

	firms   bounded
	reasons bounded
}

// New registers the metrics. InFlight counts the requests that are not finished.
func New(registry prometheus.Registerer, inFlightNow func() int) *Meter {
	m := &Meter{
		latency: histogram(latency), queueWait: histogram(queueWait), serviceTime: histogram(serviceTime),
		outcomes: counter(outcomes), attempts: counter(attempts),
		firms: bounded{limit: maxFirms}, reasons: bounded{limit: maxReasons},
	}
	gauge := prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: inFlight.Name, Help: inFlight.Help},
		func() float64 { return float64(inFlightNow()) },
	)
	registry.MustRegister(m.latency, m.queueWait, m.serviceTime, m.outcomes, m.attempts, gauge)
	return m
}

func histogram(m Metric) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: m.Name, Help: m.Help, Buckets: buckets}, m.Labels)
}

func counter(m Metric) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: m.Name, Help: m.Help}, m.Labels)
}

// Finished records a caller's request.
func (m *Meter) RecordRequest(firm string, class snapshotter.Class, o retrier.Outcome, reason exchanger.Reason, took time.Duration) {
	if m == nil {
		return
	}
	f, c := m.firms.label(firm), classLabel(class)
	m.latency.WithLabelValues(f, c).Observe(took.Seconds())
	m.outcomes.WithLabelValues(f, c, string(o), m.reasons.label(string(reason))).Inc()
}

// Served records a request that held a slot of the target.
func (m *Meter) Served(r *exchanger.Request, queued, served time.Duration) {
	if m == nil {
		return
	}
	f, c := m.firms.label(r.Firm), classLabel(r.Class)
	m.queueWait.WithLabelValues(f, c).Observe(queued.Seconds())
	m.serviceTime.WithLabelValues(f, c).Observe(served.Seconds())
}

// Attempted records that a request is sent to a target.
func (m *Meter) RecordAttempt(why string) {
	if m != nil {
		m.attempts.WithLabelValues(why).Inc()
	}
}

func classLabel(c snapshotter.Class) string {
	known := []snapshotter.Class{snapshotter.ClassUrgent, snapshotter.ClassShort, snapshotter.ClassBulk}
	if slices.Contains(known, c) {
		return string(c)
	}
	return other
}

// bounded gives a label of its own to the first values that it sees.
type bounded struct {
	limit int
	mu    sync.RWMutex
	// seen holds at most limit values. Guarded by mu.
	seen map[string]bool
}

func (b *bounded) label(value string) string {
	b.mu.RLock()
	known := b.seen[value]
	b.mu.RUnlock()
	if known {
		return value
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seen == nil {
		b.seen = map[string]bool{}
	}
	if !b.seen[value] && len(b.seen) >= b.limit {
		return other
	}
	b.seen[value] = true
	return value
}
