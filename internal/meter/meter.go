// Package meter holds the Prometheus metrics of requests, by firm and class, and of
// the traffic between nodes.
package meter

import (
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gentianbarrow.example/internal/dispatcher"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

const (
	// otherLabel replaces label values beyond the limits.
	otherLabel = "other"
	// maxFirms is the maximum number of firms with series of their own.
	maxFirms = 32
	// maxServices is the maximum number of called services with series of their own.
	maxServices = 32
	// maxReasons is the maximum number of reasons with series of their own.
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
		Help: "Time from the arrival of a caller's request to the end of its answer, at the node that received it.",
	}
	queueWait = Metric{
		Name: "gentian_queue_wait_seconds", Labels: []string{"firm", "class"},
		Help: "Time that a request waited for a slot of the target, at the node of the target.",
	}
	serviceTime = Metric{
		Name: "gentian_service_seconds", Labels: []string{"firm", "class"},
		Help: "Time that a request held a slot of the target, at the node of the target.",
	}
	outcomes = Metric{
		Name: "gentian_requests_total", Labels: []string{"firm", "class", "outcome", "reason"},
		Help: "Requests of callers by outcome and reason, at the node that received them.",
	}
	calls = Metric{
		Name: "gentian_calls_total", Labels: []string{"service", "outcome"},
		Help: "Calls of the target on this host by called service and outcome. A run whose call is not done is probably lost.",
	}
	runsLimited = Metric{
		Name: "gentian_runs_limited", Labels: []string{"service"},
		Help: "1 while the runs of the target on this host that call the service are limited because their calls wait for slots, else 0.",
	}
	attempts = Metric{
		Name: "gentian_attempts_total", Labels: []string{"why"},
		Help: "Attempts to send a request to a target, by the reason for the choice of the target.",
	}
	targetRequests = Metric{
		Name: "gentian_target_requests_total", Labels: []string{"attempt"},
		Help: "Requests that this node sent to the target on its host. The attempt is first, or repeat if the request was sent to another host before, even if that refused it.",
	}
	brokenAnswers = Metric{
		Name: "gentian_broken_answers_total", Labels: []string{"part"},
		Help: "Answers of the target on this host that were malformed, belonged to another request or ended early, by the part that was being read: head or body.",
	}
	targetRateLimit = Metric{
		Name: "gentian_target_rate_limit",
		Help: "Requests a second that the target on this host states that it accepts from all nodes together; -1 when it states no limit.",
	}
	unread = Metric{
		Name: "gentian_request_unread_seconds", Labels: []string{"from"},
		Help: "Time for which a request had arrived from a caller, or was under way from another node, when it was read, by estimate.",
	}
	processorDelay = Metric{
		Name: "gentian_processor_delay_seconds",
		Help: "How late the process runs: the time for which what is ready waits for the processor.",
	}
	inFlight = Metric{
		Name: "gentian_requests_in_flight",
		Help: "Unfinished requests of callers and peers at this node.",
	}
)

// Metrics lists the metrics that Meter, RegisterConfig and Traffic register.
func Metrics() []Metric {
	return []Metric{
		latency, queueWait, serviceTime, outcomes, calls, runsLimited, attempts, targetRequests, brokenAnswers, targetRateLimit, targetStarts, firmsOverPart, linkQueue,
		unread, processorDelay, inFlight, configVersion, configRefusedVersion, configRefused,
		linkBytes, linkTransfers, packetBytes, packets, limitedFirms, limitDecisions,
	}
}

// bucketsSeconds are the upper bounds of the histogram buckets, from 0.1 ms to 100 s.
var bucketsSeconds = []float64{
	0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 100,
}

// Meter holds the metrics of the request path.
type Meter struct {
	latency     *prometheus.HistogramVec
	queueWait   *prometheus.HistogramVec
	serviceTime *prometheus.HistogramVec
	outcomes    *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	calls       *prometheus.CounterVec
	runsLimited *prometheus.GaugeVec
	// targetRequests counts by attempt; targetRateLimit is noRateLimit without a limit.
	targetRequests  *prometheus.CounterVec
	targetRateLimit prometheus.Gauge
	brokenAnswers   *prometheus.CounterVec
	unread          *prometheus.HistogramVec
	shortage        *shortage

	firms    *rankedLabels
	reasons  boundedLabels
	services boundedLabels
}

// New registers the metrics of the request path. The function countInFlight returns
// the number of unfinished requests, and delay how late the process runs.
func New(registry prometheus.Registerer, countInFlight func() int, delay func() time.Duration) *Meter {
	m := &Meter{
		latency: newHistogram(latency), queueWait: newHistogram(queueWait), serviceTime: newHistogram(serviceTime),
		outcomes: newCounter(outcomes), attempts: newCounter(attempts), calls: newCounter(calls),
		runsLimited:     prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: runsLimited.Name, Help: runsLimited.Help}, runsLimited.Labels),
		targetRequests:  newCounter(targetRequests),
		brokenAnswers:   newCounter(brokenAnswers),
		unread:          newHistogram(unread),
		shortage:        newShortage(registry),
		targetRateLimit: prometheus.NewGauge(prometheus.GaugeOpts{Name: targetRateLimit.Name, Help: targetRateLimit.Help}),

		reasons: boundedLabels{limit: maxReasons}, services: boundedLabels{limit: maxServices},
	}
	m.firms = newRankedLabels(maxFirms, func(firm string) {
		match := prometheus.Labels{"firm": firm}
		m.latency.DeletePartialMatch(match)
		m.queueWait.DeletePartialMatch(match)
		m.serviceTime.DeletePartialMatch(match)
		m.outcomes.DeletePartialMatch(match)
	})
	gauge := prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: inFlight.Name, Help: inFlight.Help},
		func() float64 { return float64(countInFlight()) },
	)
	delayGauge := prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: processorDelay.Name, Help: processorDelay.Help},
		func() float64 { return delay().Seconds() },
	)
	registry.MustRegister(delayGauge, m.unread, m.latency, m.queueWait, m.serviceTime, m.outcomes, m.calls, m.runsLimited, m.attempts, m.targetRequests, m.brokenAnswers, m.targetRateLimit, gauge)
	m.targetRateLimit.Set(noRateLimit)
	return m
}

func newHistogram(m Metric) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: m.Name, Help: m.Help, Buckets: bucketsSeconds}, m.Labels)
}

func newCounter(m Metric) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: m.Name, Help: m.Help}, m.Labels)
}

// RecordRequest records a finished request of a caller.
func (m *Meter) RecordRequest(firm string, class snapshotter.Class, outcome retrier.Outcome, reason exchanger.Reason, duration time.Duration) {
	if m == nil {
		return
	}
	f, c := m.firms.acquire(firm), classLabel(class)
	defer m.firms.release()
	m.latency.WithLabelValues(f, c).Observe(duration.Seconds())
	m.outcomes.WithLabelValues(f, c, string(outcome), m.reasons.resolve(string(reason))).Inc()
}

// RecordService records a request that held a slot of the target.
func (m *Meter) RecordService(r *exchanger.Request, queued, served time.Duration) {
	if m == nil {
		return
	}
	f, c := m.firms.acquire(r.Firm), classLabel(r.Class)
	defer m.firms.release()
	m.queueWait.WithLabelValues(f, c).Observe(queued.Seconds())
	m.serviceTime.WithLabelValues(f, c).Observe(served.Seconds())
}

// RecordCall records the end of a call of this host's target.
func (m *Meter) RecordCall(service string, outcome retrier.Outcome) {
	if m != nil {
		m.calls.WithLabelValues(m.services.resolve(service), string(outcome)).Inc()
	}
}

// RecordRunsLimited records whether the runs that call a service are limited.
func (m *Meter) RecordRunsLimited(service string, limited bool) {
	if m == nil {
		return
	}
	value := 0.0
	if limited {
		value = 1
	}
	m.runsLimited.WithLabelValues(m.services.resolve(service)).Set(value)
}

// RecordAttempt records an attempt to send a request to a target.
func (m *Meter) RecordAttempt(why string) {
	if m != nil {
		m.attempts.WithLabelValues(why).Inc()
	}
}

// Origin is where a request was read from.
type Origin string

// The origins of requests.
const (
	OriginCaller Origin = "caller"
	OriginNode   Origin = "node"
)

// RecordUnread records for how long a request lay unread, or was under way from another node.
func (m *Meter) RecordUnread(from Origin, d time.Duration) {
	if m != nil {
		m.unread.WithLabelValues(string(from)).Observe(d.Seconds())
	}
}

// noRateLimit is the value of the gauge while the target states no rate limit.
const noRateLimit = -1

// RecordSent records a request that is sent to the target on this host.
func (m *Meter) RecordSent(r *exchanger.Request) {
	if m == nil {
		return
	}
	attempt := "first"
	if r.Attempt > 1 || r.RetriedAbove {
		attempt = "repeat"
	}
	m.targetRequests.WithLabelValues(attempt).Inc()
}

// RecordBrokenAnswer records a broken answer of the target on this host.
func (m *Meter) RecordBrokenAnswer(part dispatcher.Part) {
	if m != nil {
		m.brokenAnswers.WithLabelValues(string(part)).Inc()
	}
}

// RecordRateLimit records the limit that the target on this host states, if any.
func (m *Meter) RecordRateLimit(perSecond float64, isLimited bool) {
	if m == nil {
		return
	}
	if !isLimited {
		perSecond = noRateLimit
	}
	m.targetRateLimit.Set(perSecond)
}

func classLabel(c snapshotter.Class) string {
	known := []snapshotter.Class{snapshotter.ClassUrgent, snapshotter.ClassShort, snapshotter.ClassBulk}
	if slices.Contains(known, c) {
		return string(c)
	}
	return otherLabel
}

// boundedLabels limits the number of values of a label. The first values keep their
// own label, and further ones share otherLabel.
type boundedLabels struct {
	limit int
	mu    sync.RWMutex
	// seen holds at most limit values. Guarded by mu.
	seen map[string]bool
}

func (b *boundedLabels) resolve(value string) string {
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
		return otherLabel
	}
	b.seen[value] = true
	return value
}
