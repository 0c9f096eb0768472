package router

import "time"

// cost of a candidate.
type cost struct {
	// time, in nanoseconds, that an answer is likely to take, with what crossing data
	// centres and failures are worth added.
	time float64
	// averse is the same with more than its slowness for a straggler. Candidates of
	// one distance are compared by it.
	averse float64
	// room tells whether a slot is believed to be free.
	room bool
}

func (x *target) cost(now time.Time, c *Candidate, l *level, r *Request) cost {
	slots := float64(max(c.Slots, 1))
	if c.Cold {
		slots = max(slots/coldDivisor, 1)
	}
	pending := 0.0
	if x != nil {
		weight := fade(now.Sub(x.reported), reportFades)
		pending = float64(x.inFlight) + weight*float64(x.others)
		if x.load.Slots > 0 {
			slots += weight * (float64(x.load.Slots) - slots)
		}
	}
	base := usualService(l, r.Route) * (1 + crowding*min((pending+1)/slots, 1) + max(pending+1-slots, 0)/slots)
	base *= 1 + failCost*max(x.failShare(now)-toleratedFails, 0)
	slowness, away := x.slowness(now, l), crossing(c, r.Bytes)
	base *= doubt(now, c)
	return cost{time: base*slowness + away, averse: base*aversion(slowness) + away, room: pending+1 <= slots}
}

// usualService returns how long requests of the route usually take, in nanoseconds.
func usualService(l *level, route string) float64 {
	if usual := l.usual(route); usual > 0 {
		return usual
	}
	return float64(unknownService)
}

// crossing returns what leaving this node's data centre costs, in nanoseconds.
func crossing(c *Candidate, bytes int) float64 {
	if c.Distance == 0 {
		return 0
	}
	cost := float64(crossingCost) + float64(crossingPerKB)*float64(headerBytes+bytes)/1000
	if c.Distance > 1 {
		return cost * farFactor
	}
	return cost
}

// doubt returns the factor by which the age of what is known of a candidate in
// another data centre raises its cost. Members of the own one are known afresh.
func doubt(now time.Time, c *Candidate) float64 {
	if c.Distance == 0 || c.LearnedAt.IsZero() {
		return 1
	}
	return min(1+float64(max(now.Sub(c.LearnedAt), 0))/float64(oldAfter), mostDoubt)
}
