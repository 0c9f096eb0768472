package meter

import (
	"github.com/prometheus/client_golang/prometheus"

	"gentianbarrow.example/internal/blackboard"
)

var (
	configVersion = Metric{
		Name: "gentian_config_version",
		Help: "Version of the configuration that is in force on the node; 0 when there is none.",
	}
	configRefusedVersion = Metric{
		Name: "gentian_config_refused_version",
		Help: "Version of the configuration that the node cannot read or that breaks a rule; -1 when its number cannot be read, 0 when there is none. It is 0 again once a version that is not lower is in force.",
	}
	configRefused = Metric{
		Name: "gentian_config_refused_total",
		Help: "Versions of the configuration that the node has refused.",
	}
)

// unreadableVersion is the value of the gauge when the number of the refused version cannot be read.
const unreadableVersion = -1

// RegisterConfig registers the metrics of the configuration.
func RegisterConfig(registry prometheus.Registerer, read func() *blackboard.Config) {
	gauge := func(m Metric, value func(c *blackboard.Config) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: m.Name, Help: m.Help}, func() float64 { return value(read()) })
	}
	registry.MustRegister(
		gauge(configVersion, func(c *blackboard.Config) float64 {
			if c.Running == nil {
				return 0
			}
			return float64(c.Running.Version)
		}),
		gauge(configRefusedVersion, func(c *blackboard.Config) float64 {
			if c.Refused.IsSet() && c.Refused.Version == 0 {
				return unreadableVersion
			}
			return float64(c.Refused.Version)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: configRefused.Name, Help: configRefused.Help}, func() float64 {
			return float64(read().Refusals)
		}),
	)
}
