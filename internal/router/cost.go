package router

import (
	"time"

	"gentianbarrow.example/internal/pacer"
)

// cost is the estimated cost of sending a request to a candidate.
type cost struct {
	// time is the expected time to an answer in nanoseconds, raised for failures, for
	// outdated information and for crossing data centres.
	time float64
	// penalised is time with an extra penalty for stragglers. Candidates of the same
	// distance are compared by it.
	penalised float64
	// hasFreeSlot reports whether a slot is expected to be free.
	hasFreeSlot bool
}

func (t *target) cost(now time.Time, c *Candidate, b *baseline, r *Request) cost {
	slots := float64(max(c.Slots, 1))
	if c.Cold {
		slots = max(slots/coldDivisor, 1)
	}
	pending := 0.0
	if t != nil {
		weight := decayWeight(now.Sub(t.reportedAt), reportTimeConstant)
		pending = float64(t.inFlight) + weight*float64(t.otherRequests)
		if t.load.Slots > 0 {
			slots += weight * (float64(t.load.Slots) - slots)
		}
	}
	base := latencyOrDefault(b, r.Route) * (1 + utilisationCost*min((pending+1)/slots, 1) + max(pending+1-slots, 0)/slots)
	base *= 1 + failureCost*max(t.currentFailureRate(now)-toleratedFailureRate, 0)
	slowness, distance := t.slowness(now, b), distanceCost(c, r.Bytes)+t.linkTime(now, c, r.Bytes)
	base *= stalenessFactor(now, c)
	base += t.processorWait(now)
	return cost{time: base*slowness + distance, penalised: base*slownessPenalty(slowness) + distance, hasFreeSlot: pending+1 <= slots}
}

// linkTime returns the time in nanoseconds for which the answer waits for the link of the
// target's host and occupies it. Short answers do not wait behind long ones.
func (t *target) linkTime(now time.Time, c *Candidate, bytes int) float64 {
	if c.LinkMbit <= 0 {
		return 0
	}
	occupied := float64(bytes) * 8 / float64(c.LinkMbit) * 1e3
	if t == nil || bytes <= pacer.LongAnswerBytes {
		return occupied
	}
	return occupied + max(float64(t.load.LinkQueue-now.Sub(t.reportedAt)), 0)
}

// latencyOrDefault returns the usual latency of the route in nanoseconds, or
// defaultLatency if it is unknown.
func latencyOrDefault(b *baseline, route string) float64 {
	if usual := b.latencyOf(route); usual > 0 {
		return usual
	}
	return float64(defaultLatency)
}

// distanceCost returns the cost of leaving this node's data centre, in nanoseconds.
func distanceCost(c *Candidate, bytes int) float64 {
	if c.Distance == 0 {
		return 0
	}
	cost := float64(crossDataCentreCost) + float64(crossDataCentreCostPerKB)*float64(typicalHeaderBytes+bytes)/1000
	if c.Distance > 1 {
		return cost * otherRegionFactor
	}
	return cost
}

// stalenessFactor returns the factor by which the age of the information about a
// candidate in another data centre raises its cost. Information about this
// node's own data centre is always current.
func stalenessFactor(now time.Time, c *Candidate) float64 {
	if c.Distance == 0 || c.LearnedAt.IsZero() {
		return 1
	}
	return min(1+float64(max(now.Sub(c.LearnedAt), 0))/float64(staleAfter), maxStalenessFactor)
}
