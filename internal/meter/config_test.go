package meter

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/pkg/snapshotter"
)

func TestConfigMetrics(t *testing.T) {
	var c blackboard.Config
	registry := prometheus.NewRegistry()
	RegisterConfig(registry, func() *blackboard.Config { return &c })
	assertValues := func(t *testing.T, want map[string]float64) {
		t.Helper()
		families, err := registry.Gather()
		assert.NilError(t, err)
		got := map[string]float64{}
		for _, f := range families {
			m := f.GetMetric()[0]
			got[f.GetName()] = m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
		assert.DeepEqual(t, got, want)
	}
	t.Run("no configuration", func(t *testing.T) {
		assertValues(t, map[string]float64{configVersion.Name: 0, configRefusedVersion.Name: 0, configRefused.Name: 0})
	})
	c.Running = &snapshotter.Snapshot{Version: 7}
	t.Run("a refused version", func(t *testing.T) {
		c.NoteRefused(blackboard.RefusedVersion{Version: 9, SinceAt: time.Unix(1, 0)})
		assertValues(t, map[string]float64{configVersion.Name: 7, configRefusedVersion.Name: 9, configRefused.Name: 1})
	})
	t.Run("a version whose number cannot be read", func(t *testing.T) {
		c.NoteRefused(blackboard.RefusedVersion{SinceAt: time.Unix(2, 0)})
		assertValues(t, map[string]float64{configVersion.Name: 7, configRefusedVersion.Name: unreadableVersion, configRefused.Name: 2})
	})
	t.Run("a readable version", func(t *testing.T) {
		c.Running = &snapshotter.Snapshot{Version: 10}
		c.ForgetRefused()
		assertValues(t, map[string]float64{configVersion.Name: 10, configRefusedVersion.Name: 0, configRefused.Name: 2})
	})
}
