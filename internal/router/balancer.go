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
	// maxCostRatio is the fraction of the best cost that the cost of a later sample
	// must be below to replace it, so that targets of similar cost share requests.
	maxCostRatio = 0.95
)

// Balancer chooses targets by what a node has observed of them. It is not safe
// for concurrent use.
type Balancer struct {
	// targets is keyed by host.
	targets map[string]*target
	// baselines is keyed by service name.
	baselines map[string]*baseline
}

// New returns a Balancer that has observed nothing.
func New() *Balancer {
	return &Balancer{targets: map[string]*target{}, baselines: map[string]*baseline{}}
}

// Choose picks a target among candidates, which must be ordered by Distance.
func (b *Balancer) Choose(now time.Time, r Request, candidates []Candidate, rnd *rand.Rand) (Choice, Explanation) {
	s := selection{balancer: b, now: now, request: &r, candidates: candidates, baseline: b.baselines[r.Service], best: -1}
	for low := 0; low < len(candidates); {
		high := endOfDistance(candidates, low)
		s.sample(low, high, rnd)
		if s.best >= 0 && s.bestCost.hasFreeSlot && s.bestSlowness < stragglerSlowness {
			break
		}
		low = high
	}
	if s.best < 0 && (len(r.Tried) == 0 || r.AsksRefusing) {
		s.fallBackToRefusing()
	}
	if r.FreeSlotOnly && !s.bestCost.hasFreeSlot {
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

// RecordStart counts a request that is being sent to a target.
func (b *Balancer) RecordStart(now time.Time, host string) { b.target(host).recordStart(now) }

// RecordLoad records a load that a target's node reported outside an answer.
func (b *Balancer) RecordLoad(now time.Time, service, host string, l limiter.Load) {
	b.target(host).recordLoad(now, b.baseline(service), l)
}

// RecordResult records the result of a request that RecordStart counted.
func (b *Balancer) RecordResult(now time.Time, service, host string, r Result) {
	b.target(host).recordResult(now, b.baseline(service), r)
}

// ForgetIdle drops the observations of targets without requests in flight that
// were last used before the given time.
func (b *Balancer) ForgetIdle(before time.Time) {
	for host, t := range b.targets {
		if t.inFlight == 0 && t.lastProgress.Before(before) {
			delete(b.targets, host)
		}
	}
}

func (b *Balancer) target(host string) *target {
	t := b.targets[host]
	if t == nil {
		t = &target{}
		b.targets[host] = t
	}
	return t
}

func (b *Balancer) baseline(service string) *baseline {
	found := b.baselines[service]
	if found == nil {
		found = newBaseline()
		b.baselines[service] = found
	}
	return found
}

// endOfDistance returns the index after the last candidate at the same distance as
// the one at low.
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

// selection is the state of one Choose call.
type selection struct {
	balancer   *Balancer
	now        time.Time
	request    *Request
	candidates []Candidate
	// baseline of the service; nil if unknown.
	baseline *baseline
	// best is the index of the cheapest candidate so far; negative means none.
	best     int
	bestCost cost
	// bestSlowness of the best candidate.
	bestSlowness float64
	// sampled holds the indices of the compared candidates, of all distances.
	sampled      [3 * sampleSize]int
	sampledCount int
}

// sample compares a few usable candidates from low up to high, all of one distance.
// If the random draws find none, it takes the first usable one from a random start.
func (s *selection) sample(low, high int, rnd *rand.Rand) {
	first := s.sampledCount
	for range sampleDraws {
		if s.sampledCount-first == sampleSize || s.sampledCount == len(s.sampled) {
			return
		}
		s.consider(low + rnd.IntN(high-low))
	}
	if s.sampledCount > first {
		return
	}
	start := rnd.IntN(high - low)
	for n := range high - low {
		if s.consider(low + (start+n)%(high-low)) {
			return
		}
	}
}

// consider compares one candidate with the best and reports whether it was usable
// and not yet sampled.
func (s *selection) consider(i int) bool {
	c := &s.candidates[i]
	t := s.balancer.targets[c.Host]
	t.resetOnNewIncarnation(c)
	if slices.Contains(s.sampled[:s.sampledCount], i) || s.rejection(c, t) != RejectionNone {
		return false
	}
	s.sampled[s.sampledCount] = i
	s.sampledCount++
	candidateCost := t.cost(s.now, c, s.baseline, s.request)
	if s.best < 0 || s.isCheaper(c, candidateCost) {
		s.best, s.bestCost, s.bestSlowness = i, candidateCost, t.slowness(s.now, s.baseline)
	}
	return true
}

// isCheaper reports whether a candidate is clearly cheaper than the best. A nearer
// straggler is passed over for a farther target only if the expected time itself
// is lower, without the straggler penalty.
func (s *selection) isCheaper(c *Candidate, candidateCost cost) bool {
	if c.Distance == s.candidates[s.best].Distance {
		return candidateCost.penalised < s.bestCost.penalised*maxCostRatio
	}
	return candidateCost.time < s.bestCost.time*maxCostRatio
}

// rejection returns why a candidate can't be chosen now.
func (s *selection) rejection(c *Candidate, t *target) Rejection {
	switch {
	case slices.Contains(s.request.Tried, c.Host):
		return RejectionTried
	case c.Draining || t.reportsDraining(s.now):
		return RejectionDraining
	case t.isBackingOff(s.now, s.request.Class, s.request.Priority):
		return RejectionRefused
	}
	return RejectionNone
}

// fallBackToRefusing chooses, if every target has refused, the nearest one whose
// backoff ends first. It is used only for the first attempt: a request that is
// refused again is not sent to further targets that are known to be full.
func (s *selection) fallBackToRefusing() {
	var until time.Time
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.Distance > s.candidates[0].Distance {
			return
		}
		t := s.balancer.targets[c.Host]
		if s.rejection(c, t) != RejectionRefused {
			continue
		}
		ends := t.backoffUntil[classIndex(s.request.Class)]
		if s.best < 0 || ends.Before(until) {
			s.best, until = i, ends
		}
	}
}

// explain returns the evaluations of the sampled candidates, with which the choice was
// made, and of as many others as it may hold.
func (s *selection) explain() Explanation {
	e := Explanation{Candidates: len(s.candidates), Evaluations: make([]Evaluation, 0, min(len(s.candidates), maxEvaluations))}
	sampled := s.sampled[:s.sampledCount]
	for _, i := range sampled {
		e.Evaluations = append(e.Evaluations, s.evaluate(i))
	}
	if s.best >= 0 && !slices.Contains(sampled, s.best) {
		e.Evaluations = append(e.Evaluations, s.evaluate(s.best))
	}
	for i := 0; i < len(s.candidates) && len(e.Evaluations) < maxEvaluations; i++ {
		if i != s.best && !slices.Contains(sampled, i) {
			e.Evaluations = append(e.Evaluations, s.evaluate(i))
		}
	}
	return e
}

func (s *selection) evaluate(i int) Evaluation {
	c := &s.candidates[i]
	t := s.balancer.targets[c.Host]
	e := Evaluation{Host: c.Host, Rejection: s.rejection(c, t), Slowness: t.slowness(s.now, s.baseline)}
	if t != nil {
		e.InFlight, e.Load, e.Reported = t.inFlight, t.load, t.reportedAt
	}
	if i == s.best {
		e.Rejection = RejectionNone
	} else if e.Rejection == RejectionNone {
		e.Rejection = s.unchosenReason(i)
	}
	if slices.Contains(s.sampled[:s.sampledCount], i) {
		e.Cost = t.cost(s.now, c, s.baseline, s.request).penalised
	}
	return e
}

// unchosenReason returns why a usable candidate was not chosen.
func (s *selection) unchosenReason(i int) Rejection {
	switch {
	case s.best < 0:
		return RejectionNoFreeSlot
	case slices.Contains(s.sampled[:s.sampledCount], i):
		return RejectionCost
	case s.candidates[i].Distance > s.candidates[s.best].Distance:
		return RejectionDistance
	}
	return RejectionNotSampled
}

// The indices of classes in a target's backoffUntil.
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
