package meter

import "github.com/prometheus/client_golang/prometheus"

var (
	limitedFirms = Metric{
		Name: "gentian_limited_firms",
		Help: "Firms near their limits or beyond them, at the node that keeps their limits in its data centre.",
	}
	limitDecisions = Metric{
		Name: "gentian_limit_decisions_total", Labels: []string{"verdict"},
		Help: "Requests of firms with a limit, at the node that received them: admitted, refused, or alone, which counts those of " +
			"both that were decided without a node that keeps the limit.",
	}
)

// NewLimits registers the metrics of the limits of firms. countLimited returns the limited
// firms that this node keeps, decisions the decisions so far.
func NewLimits(registry prometheus.Registerer, countLimited func() int, decisions func() (admitted, refused, alone uint64)) {
	registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: limitedFirms.Name, Help: limitedFirms.Help},
		func() float64 { return float64(countLimited()) },
	))
	for verdict, pick := range map[string]func(admitted, refused, alone uint64) uint64{
		"admitted": func(admitted, _, _ uint64) uint64 { return admitted },
		"refused":  func(_, refused, _ uint64) uint64 { return refused },
		"alone":    func(_, _, alone uint64) uint64 { return alone },
	} {
		registry.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{
				Name: limitDecisions.Name, Help: limitDecisions.Help, ConstLabels: prometheus.Labels{"verdict": verdict},
			},
			func() float64 { return float64(pick(decisions())) },
		))
	}
}
