package meter

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/linker"
)

// assertTotals asserts the sum of each counter over all its labels.
func assertTotals(t *testing.T, registry prometheus.Gatherer, want map[string]float64) {
	t.Helper()
	families, err := registry.Gather()
	assert.NilError(t, err)
	got := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			got[f.GetName()] += m.GetCounter().GetValue()
		}
	}
	assert.DeepEqual(t, got, want)
}

func TestTraffic(t *testing.T) {
	registry := prometheus.NewRegistry()
	traffic := NewTraffic(registry)
	traffic.CountTransfer(linker.TrafficControl, linker.DirectionSent, 100)
	traffic.CountTransfer(linker.TrafficBulk, linker.DirectionReceived, 50)
	traffic.CountPacket(linker.DirectionSent, 30)
	assertTotals(t, registry, map[string]float64{
		linkBytes.Name: 150, linkTransfers.Name: 2, packetBytes.Name: 30, packets.Name: 1,
	})
}
