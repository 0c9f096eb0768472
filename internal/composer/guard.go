package composer

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/shedder"
	"gentianbarrow.example/pkg/snapshotter"
)

// newGuard returns the guard of this node's processor time.
func (n *Node) newGuard() *shedder.Guard {
	var tolerance toleranceCache
	return &shedder.Guard{
		Lateness: func() shedder.Lateness {
			return shedder.Lateness{
				Mean: n.delay.MeanDelay(), Standing: n.delay.StandingDelay(),
				Tolerance: tolerance.of(n.board.Read().Config.Running),
			}
		},
		Spread:   rand.Float64,
		OnReport: n.reportShortage,
	}
}

// reportShortage logs a shortage of processor time.
func (n *Node) reportShortage(r shedder.Report) {
	event := logger.ProcessorShort
	if r.Phase == shedder.PhaseEnded {
		event = logger.ProcessorRecovered
	}
	n.log.Write(event, logger.Fields{
		Reason: string(r.Phase), Count: r.Rejected, NodeLateMillis: r.Lateness.Standing.Milliseconds(),
	})
}

// toleranceCache holds the tolerance of the configuration that was last in force.
type toleranceCache struct {
	latest atomic.Pointer[tolerance]
}

// tolerance is how late a node may run under a configuration.
type tolerance struct {
	running  *snapshotter.Snapshot
	lateness time.Duration
}

// of returns how late the node may run under the configuration, which may be nil: the
// route with the lowest target latency decides, since requests of others call it.
func (c *toleranceCache) of(running *snapshotter.Snapshot) time.Duration {
	if latest := c.latest.Load(); latest != nil && latest.running == running {
		return latest.lateness
	}
	least := 0
	if running != nil {
		for _, r := range running.Routes {
			if r.TargetLatencyMs > 0 && (least == 0 || r.TargetLatencyMs < least) {
				least = r.TargetLatencyMs
			}
		}
	}
	computed := &tolerance{running: running, lateness: shedder.Tolerance(time.Duration(least) * time.Millisecond)}
	c.latest.Store(computed)
	return computed.lateness
}
