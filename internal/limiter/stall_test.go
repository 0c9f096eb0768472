package limiter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/snapshotter"
)

// stalledGate returns a gate of 18 slots whose requests took 12 s because the target stood
// still. hanging of them have not ended.
func stalledGate(t *testing.T, hanging uint64) (g *Gate, offer func(now time.Time, id uint64) Decision) {
	t.Helper()
	l := softDeadlineLimits()
	l.Slots, l.UrgentSlots = 18, 0
	g = NewGate(l)
	offer = func(now time.Time, id uint64) Decision {
		return g.Offer(now, Request{
			ID: id, Class: snapshotter.ClassShort, Route: "lookup", Firm: "paza",
			SoftDeadline: now.Add(time.Second), Deadline: now.Add(6 * time.Second),
		})
	}
	const slots = 18
	for id := range uint64(slots) {
		assert.Equal(t, offer(at(0), 1+id).Verdict, VerdictAdmitted)
	}
	for id := hanging; id < slots; id++ {
		g.Done(at(12_000), 1+id, done())
	}
	return g, offer
}

// TestRecoveryFromStall offers requests at a steady rate to a target that stood still for 12 s
// and answers within 100 ms again.
func TestRecoveryFromStall(t *testing.T) {
	for _, hanging := range []uint64{0, 2} {
		t.Run(fmt.Sprintf("with %d requests that hang", hanging), func(t *testing.T) {
			g, offer := stalledGate(t, hanging)
			const interval, service, offered = 20, 100, 50
			ends := map[int]uint64{}
			refused, latestRefused := 0, 0
			for i := range offered {
				now := 12_000 + i*interval
				if id, ok := ends[now]; ok {
					g.Done(at(now), id, done())
				}
				id := uint64(100 + i)
				if d := offer(at(now), id); d.Verdict != VerdictAdmitted {
					refused, latestRefused = refused+1, i
					continue
				}
				ends[now+service] = id
			}
			assert.Assert(t, latestRefused < offered/2, "request %d of %d is refused, %d in all", latestRefused, offered, refused)
			assert.Assert(t, g.estimator.expectedForRoute(short, "lookup") <= service*time.Millisecond)
		})
	}
}

// TestSlowTarget offers requests to a target that has become so slow that none ends in time.
func TestSlowTarget(t *testing.T) {
	_, offer := stalledGate(t, 0)
	admitted := 0
	for id := range uint64(50) {
		if offer(at(12_001), 100+id).Verdict == VerdictAdmitted {
			admitted++
		}
	}
	assert.Equal(t, admitted, 18/trialDivisor)
}
