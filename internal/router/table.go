package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/pkg/snapshotter"
)

const (
	// sampleSize is how many candidates of a distance are compared.
	sampleSize = 5
	// sampleDraws is how many random draws find the sample.
	sampleDraws = 4 * sampleSize
	// clearlyLess is the part of the best cost that a later sample must be
	// below. Targets of about the same cost share the requests.
	clearlyLess = 0.95
)

// Table is what a node has seen of targets. It is not safe for concurrent use.
type Balancer struct {
	// targets by host.
	targets map[string]*target
	// services by name.
	services map[string]*level
}

// New returns an empty table.
func New() *Balancer {
	return &Balancer{targets: map[string]*target{}, services: map[string]*level{}}
}

// Choose picks a target among candidates, which must be ordered by Distance.
func (t *Balancer) Choose(now time.Time, r Request, candidates []Candidate, rnd *rand.Rand) (Choice, Explanation) {
	s := search{table: t, now: now, request: &r, candidates: candidates, level: t.services[r.Service], best: -1}
	for low := 0; low < len(candidates); {
		high := endOfDistance(candidates, low)
		s.sample(low, high, rnd)
		if s.best >= 0 && s.bestCost.room && s.bestSlowness < avoidFrom {
			break
		}
		low = high
	}
	if s.best < 0 && len(r.Tried) == 0 {
		s.leastRefused()
	}
	if r.FreeSlotOnly && !s.bestCost.room {
		s.best = -1
	}
	var e Explanation
	if r.Explain {
		e = s.explain()
	}
	if s.best < 0 {
		return Choice{}, e
	}
	c := &candidates[s.best]
	return Choice{OK: true, Host: c.Host, Address: c.Address, Index: s.best}, e
}

// Started counts a request that is being sent to a target.
func (t *Balancer) RecordStart(now time.Time, host string) { t.target(host).started(now) }

// Reported takes in what a target's node says of its load without being asked.
func (t *Balancer) RecordLoad(now time.Time, service, host string, l limiter.Load) {
	t.target(host).report(now, t.level(service), l)
}

// Finished records what became of a request that Started counted.
func (t *Balancer) RecordResult(now time.Time, service, host string, r Result) {
	t.target(host).finished(now, t.level(service), r)
}

// Forget drops what is known of idle targets that were not used since before.
func (t *Balancer) ForgetIdle(before time.Time) {
	for host, x := range t.targets {
		if x.inFlight == 0 && x.progressed.Before(before) {
			delete(t.targets, host)
		}
	}
}

func (t *Balancer) target(host string) *target {
	x := t.targets[host]
	if x == nil {
		x = &target{}
		t.targets[host] = x
	}
	return x
}

func (t *Balancer) level(service string) *level {
	l := t.services[service]
	if l == nil {
		l = newLevel()
		t.services[service] = l
	}
	return l
}

// endOfDistance returns the index after the last candidate as near as the one at low.
func endOfDistance(candidates []Candidate, low int) int {
	if last := len(candidates); candidates[last-1].Distance == candidates[low].Distance {
		return last
	}
	high := low + 1
	for high < len(candidates) && candidates[high].Distance == candidates[low].Distance {
		high++
	}
	return high
}

// search is one decision under way.
type search struct {
	table      *Balancer
	now        time.Time
	request    *Request
	candidates []Candidate
	// level of the service; nil when nothing is known of it.
	level *level
	// best is the index of the cheapest candidate so far; negative means none.
	best     int
	bestCost cost
	// bestSlowness of the best candidate.
	bestSlowness float64
	// sampled holds the indices that were compared, of every distance.
	sampled [3 * sampleSize]int
	count   int
}

// sample compares a few usable candidates between low and high, all of one distance.
func (s *search) sample(low, high int, rnd *rand.Rand) {
	first := s.count
	for range sampleDraws {
		if s.count-first == sampleSize || s.count == len(s.sampled) {
			return
		}
		s.consider(low + rnd.IntN(high-low))
	}
	if s.count > first {
		return
	}
	start := rnd.IntN(high - low)
	for n := range high - low {
		if s.consider(low + (start+n)%(high-low)) {
			return
		}
	}
}

// consider compares one candidate with the best and tells whether it was usable and new.
func (s *search) consider(i int) bool {
	c := &s.candidates[i]
	x := s.table.targets[c.Host]
	x.renew(c)
	if slices.Contains(s.sampled[:s.count], i) || s.rejected(c, x) != RejectionNone {
		return false
	}
	s.sampled[s.count] = i
	s.count++
	price := x.cost(s.now, c, s.level, s.request)
	if s.best < 0 || s.cheaper(c, price) {
		s.best, s.bestCost, s.bestSlowness = i, price, x.slowness(s.now, s.level)
	}
	return true
}

// cheaper compares a candidate with the best. A nearer straggler is left for a
// farther target only when the time itself is worth the way.
func (s *search) cheaper(c *Candidate, price cost) bool {
	if c.Distance == s.candidates[s.best].Distance {
		return price.averse < s.bestCost.averse*clearlyLess
	}
	return price.time < s.bestCost.time*clearlyLess
}

// rejected tells why a candidate is out of the question at this moment.
func (s *search) rejected(c *Candidate, x *target) Rejection {
	switch {
	case slices.Contains(s.request.Tried, c.Host):
		return RejectionTried
	case c.Draining || x.saysDraining(s.now):
		return RejectionDraining
	case x.refuses(s.now, s.request.Class):
		return RejectionRefused
	}
	return RejectionNone
}

// leastRefused falls back, where every target has refused, to the one of the
// nearest whose refusal ends first. It is asked once: a request that a full
// target refuses is not carried to the others that are known to be full.
func (s *search) leastRefused() {
	var until time.Time
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.Distance > s.candidates[0].Distance {
			return
		}
		x := s.table.targets[c.Host]
		if s.rejected(c, x) != RejectionRefused {
			continue
		}
		ends := x.refusals[classIndex(s.request.Class)]
		if s.best < 0 || ends.Before(until) {
			s.best, until = i, ends
		}
	}
}

// explain lists every candidate as the decision saw it.
func (s *search) explain() Explanation {
	e := Explanation{Evaluations: make([]Evaluation, 0, len(s.candidates))}
	for i := range s.candidates {
		e.Evaluations = append(e.Evaluations, s.describe(i))
	}
	return e
}

func (s *search) describe(i int) Evaluation {
	c := &s.candidates[i]
	x := s.table.targets[c.Host]
	d := Evaluation{Host: c.Host, Rejection: s.rejected(c, x), Slowness: x.slowness(s.now, s.level)}
	if x != nil {
		d.InFlight, d.Load, d.Reported = x.inFlight, x.load, x.reported
	}
	if i == s.best {
		d.Rejection = RejectionNone
	} else if d.Rejection == RejectionNone {
		d.Rejection = s.passedOver(i)
	}
	if slices.Contains(s.sampled[:s.count], i) {
		d.Cost = x.cost(s.now, c, s.level, s.request).averse
	}
	return d
}

// passedOver tells why a usable candidate was not taken.
func (s *search) passedOver(i int) Rejection {
	switch {
	case s.best < 0:
		return RejectionNoFreeSlot
	case slices.Contains(s.sampled[:s.count], i):
		return RejectionCost
	case s.candidates[i].Distance > s.candidates[s.best].Distance:
		return RejectionDistance
	}
	return RejectionNotSampled
}

// The indices of classes in a target's refusals.
const (
	urgentIndex = iota
	shortIndex
	bulkIndex
	classCount
)

func classIndex(c snapshotter.Class) int {
	switch c {
	case snapshotter.ClassUrgent:
		return urgentIndex
	case snapshotter.ClassBulk:
		return bulkIndex
	}
	return shortIndex
}
