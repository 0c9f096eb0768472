package composer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/shedder"
	"gentianbarrow.example/pkg/snapshotter"
)

func TestTolerance(t *testing.T) {
	var cache toleranceCache
	running := func(latencies ...int) *snapshotter.Snapshot {
		s := snapshotter.Empty()
		for i, ms := range latencies {
			name := string(rune('a' + i))
			s.Routes[name] = snapshotter.Route{Name: name, TargetLatencyMs: ms}
		}
		return s
	}
	none := shedder.Tolerance(0)
	assert.Equal(t, cache.of(nil), none)
	assert.Equal(t, cache.of(running()), none)
	assert.Equal(t, cache.of(running(0, 800, 320, 1600)), 20*time.Millisecond, "the strictest route decides")
	assert.Equal(t, cache.of(nil), none)
}
