package router

import (
	"math"
	"time"

	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/smoother"
	"gentianbarrow.example/pkg/snapshotter"
)

const (
	// reportTimeConstant is the time in which the weight of a reported load falls to 1/e.
	reportTimeConstant = 250 * time.Millisecond
	// slownessTimeConstant is the time in which the weight of an observed slowness
	// falls to 1/e.
	slownessTimeConstant = time.Second
	// maxSlowness bounds the cost of a slow target, so that it is still chosen when
	// all others are full.
	maxSlowness = 10.0
	// stragglerSlowness is the slowness from which a target counts as a straggler.
	stragglerSlowness = 2.0
	// ratioUpWeight and ratioDownWeight are the weights of one sample in a target's
	// ratio. It rises faster than it falls, so that a straggler is detected by its
	// first answers.
	ratioUpWeight   = 0.5
	ratioDownWeight = 0.2
	// baselineWeight is the weight of one sample in a service's baseline.
	baselineWeight = 0.02
	// drainReportTTL is how long a target's report that it is draining is used.
	drainReportTTL = 5 * time.Second
	// minBackoff and maxBackoff bound how long a target that refused or failed is avoided.
	minBackoff = 5 * time.Millisecond
	maxBackoff = time.Second
	// refusalBackoffDivisor divides the time until a refusing target expects a free
	// slot to give its backoff. The backoff is shorter than that time so that the
	// target's queue does not run empty.
	refusalBackoffDivisor = 4
	// initialFailureBackoff is the backoff after the first failure; it doubles with
	// each consecutive one.
	initialFailureBackoff = 50 * time.Millisecond
	// coldDivisor divides the announced slots of a cold target to give those it is
	// expected to have.
	coldDivisor = 5
	// defaultLatency is assumed for a service without an observed latency.
	defaultLatency = 50 * time.Millisecond
	// utilisationCost is the fraction by which the cost rises when all slots of a
	// target are in use.
	utilisationCost = 0.5
	// crossDataCentreCost is the cost of sending a request to another data centre,
	// and crossDataCentreCostPerKB that of each 1,000 bytes of it and its answer.
	crossDataCentreCost      = 10 * time.Millisecond
	crossDataCentreCostPerKB = 20 * time.Millisecond
	// typicalHeaderBytes is the approximate size of the headers of a request and its answer.
	typicalHeaderBytes = 600
	// otherRegionFactor multiplies both costs for another region.
	otherRegionFactor = 4
	// minSlowness bounds how much cheaper a fast target is.
	minSlowness = 0.5
	// failureRateWeight is the weight of one attempt in the failure rate,
	// failureTimeConstant the time in which that rate falls to 1/e. The rate above
	// toleratedFailureRate, multiplied by failureCost, is the fraction by which the
	// cost rises.
	failureRateWeight   = 0.1
	failureTimeConstant = 3 * time.Second
	failureCost         = 20.0
	// toleratedFailureRate allows a single failure among other attempts.
	toleratedFailureRate = 0.12
	// staleAfter is the age at which information about a remote candidate doubles its cost.
	staleAfter = 10 * time.Second
	// maxStalenessFactor bounds the factor of that age.
	maxStalenessFactor = 4.0
)

// baseline is the usual latency and service time of a service.
type baseline struct {
	// latency and serviceTime are smoothed means in nanoseconds; 0 before the first sample.
	latency, serviceTime float64
	// byRoute holds the smoothed latency of each route in nanoseconds.
	byRoute smoother.RouteMeans
}

func newBaseline() *baseline { return &baseline{byRoute: smoother.RouteMeans{Weight: baselineWeight}} }

// latencyOf returns the usual latency of a route in nanoseconds, or that of the
// service if the route is unknown; 0 if neither is known.
func (b *baseline) latencyOf(route string) float64 {
	if b == nil {
		return 0
	}
	if latency, known := b.byRoute.Mean(route); known {
		return latency
	}
	return b.latency
}

func (b *baseline) recordLatency(route string, latency float64) {
	b.latency = smoother.Smooth(b.latency, latency, baselineWeight)
	b.byRoute.Add(route, latency)
}

// target holds what this node has observed of one target; nil if nothing.
type target struct {
	// inFlight counts this node's requests in flight; at least 0.
	inFlight int
	// load is the load that the target's node reported at reportedAt.
	load       limiter.Load
	reportedAt time.Time
	// otherRequests is how many running and waiting requests of other nodes the
	// report implies.
	otherRequests int
	// incarnation is the incarnation of the target's node that was observed.
	incarnation uint64
	// ratio is the smoothed ratio of its latency to the baseline, as of ratioAt; 0
	// before the first sample.
	ratio   float64
	ratioAt time.Time
	// lastProgress is when an attempt last ended or a request was sent to an idle target.
	lastProgress time.Time
	// backoffUntil holds, for each class, when the target may be chosen again.
	backoffUntil [classCount]time.Time
	// backoffPriority holds, for each class, the most urgent priority that backs off.
	backoffPriority [classCount]int
	// consecutiveFailures counts the attempts without an answer since the last
	// complete answer.
	consecutiveFailures int
	// failureRate is the smoothed share of failed attempts, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
}

func (t *target) recordStart(now time.Time) {
	if t.inFlight == 0 {
		t.lastProgress = now
	}
	t.inFlight++
}

func (t *target) recordResult(now time.Time, b *baseline, r Result) {
	if r.Load != nil {
		t.recordLoad(now, b, *r.Load)
	}
	t.inFlight = max(t.inFlight-1, 0)
	t.lastProgress = now
	t.updateFailureRate(now, r)
	switch {
	case r.Outcome == retrier.OutcomeDone:
		t.consecutiveFailures = 0
		t.recordLatency(now, b, r)
	case r.RouteRefused:
	case !r.Cancelled:
		t.backOff(now, r)
	case float64(r.Latency) > t.ratio*b.latencyOf(r.Route):
		// The target took longer than its usual latency without answering. A shorter
		// attempt says nothing about it.
		t.recordLatency(now, b, r)
	}
}

// recordLoad records a load that the target's node reported.
func (t *target) recordLoad(now time.Time, b *baseline, load limiter.Load) {
	t.load, t.reportedAt = load, now
	t.otherRequests = max(load.InFlight+load.Queued-t.inFlight, 0)
	if load.Service > 0 {
		b.serviceTime = smoother.Smooth(b.serviceTime, float64(load.Service), baselineWeight)
	}
}

// updateFailureRate adds the result of an attempt to the failure rate. Cancelled
// attempts and refusals by the target's node do not count.
func (t *target) updateFailureRate(now time.Time, r Result) {
	if r.Cancelled || r.Outcome == retrier.OutcomeNotRun && !r.Failed {
		return
	}
	sample := 0.0
	if r.Failed || r.Outcome != retrier.OutcomeDone {
		sample = 1
	}
	t.failureRate = t.currentFailureRate(now)
	t.failureRate += failureRateWeight * (sample - t.failureRate)
	t.failureRateAt = now
}

// currentFailureRate returns the failure rate, which decays with its age.
func (t *target) currentFailureRate(now time.Time) float64 {
	if t == nil {
		return 0
	}
	return t.failureRate * decayWeight(now.Sub(t.failureRateAt), failureTimeConstant)
}

func (t *target) recordLatency(now time.Time, b *baseline, r Result) {
	if r.Class == snapshotter.ClassBulk {
		return
	}
	latency := float64(r.Latency)
	sample := 1.0
	if usual := b.latencyOf(r.Route); usual > 0 {
		sample = min(latency/usual, maxRatio)
	}
	weight := ratioDownWeight
	if sample > t.ratio {
		weight = ratioUpWeight
	}
	t.ratio = smoother.Smooth(t.ratio, sample, weight)
	t.ratioAt = now
	b.recordLatency(r.Route, latency)
}

// maxRatio caps the ratio of a single answer, because some requests run many
// times longer than the rest.
const maxRatio = 4.0

// backOff avoids the target: after a refusal for the request's class, for requests that
// are no more urgent and a fraction of the time that the refusal names, and when no
// answer came for all requests and a time that doubles with each failure.
func (t *target) backOff(now time.Time, r Result) {
	if r.Load != nil {
		backoff := min(max(r.RetryAfter.Sub(now)/refusalBackoffDivisor, minBackoff), maxBackoff)
		i := classIndex(r.Class)
		if now.Before(t.backoffUntil[i]) && r.Priority > t.backoffPriority[i] {
			return
		}
		t.backoffUntil[i], t.backoffPriority[i] = now.Add(backoff), r.Priority
		return
	}
	backoff := min(initialFailureBackoff<<min(t.consecutiveFailures, 10), maxBackoff)
	t.consecutiveFailures++
	for i := range t.backoffUntil {
		t.backoffUntil[i], t.backoffPriority[i] = now.Add(backoff), 0
	}
}

func (t *target) isBackingOff(now time.Time, c snapshotter.Class, priority int) bool {
	i := classIndex(c)
	return t != nil && now.Before(t.backoffUntil[i]) && priority >= t.backoffPriority[i]
}

// resetOnNewIncarnation discards what was observed of an earlier incarnation of
// the target's node.
func (t *target) resetOnNewIncarnation(c *Candidate) {
	if t == nil || c.Incarnation <= t.incarnation {
		return
	}
	if t.incarnation > 0 {
		*t = target{inFlight: t.inFlight, lastProgress: t.lastProgress}
	}
	t.incarnation = c.Incarnation
}

// reportsDraining reports whether the target's node recently reported that it is
// draining.
func (t *target) reportsDraining(now time.Time) bool {
	return t != nil && t.load.Draining && now.Before(t.reportedAt.Add(drainReportTTL))
}

// slowness returns the ratio of the target's latency to what is usual at its
// service. It is derived from the service time that its node reports, from the
// answers to this node where they show a higher ratio or nothing is reported, and
// from the time since its last progress while requests are in flight. Reports and
// answers decay with age, so that a recovered target is soon tried again.
func (t *target) slowness(now time.Time, b *baseline) float64 {
	if t == nil || b == nil || b.latency == 0 {
		return 1
	}
	slow := t.observedSlowness(now, 1)
	if b.serviceTime > 0 && t.load.Service > 0 {
		reported := decayRatio(float64(t.load.Service)/b.serviceTime, now.Sub(t.reportedAt), slownessTimeConstant)
		slow = max(reported, t.observedSlowness(now, reported))
	}
	if t.inFlight > 0 {
		slow = max(slow, float64(now.Sub(t.lastProgress))/b.latency)
	}
	return min(max(slow, minSlowness), maxSlowness)
}

// turnsAtNode is how often a request and its answer wait for the processor at the target's node.
const turnsAtNode = 4

// processorWait returns how long a request waits for the processor of the target's node,
// in nanoseconds, by the latest report.
func (t *target) processorWait(now time.Time) float64 {
	if t == nil {
		return 0
	}
	return turnsAtNode * float64(t.load.NodeLateness) * decayWeight(now.Sub(t.reportedAt), reportTimeConstant)
}

// observedSlowness returns the ratio shown by the answers to this node, which
// decays towards fallback with age.
func (t *target) observedSlowness(now time.Time, fallback float64) float64 {
	if t.ratio == 0 {
		return fallback
	}
	return fallback + (t.ratio-fallback)*decayWeight(now.Sub(t.ratioAt), slownessTimeConstant)
}

// slownessPenalty returns the factor by which slowness raises the cost. It is the
// slowness itself up to stragglerSlowness and grows quadratically beyond, so that
// a straggler is chosen only when the other targets are full.
func slownessPenalty(slowness float64) float64 {
	return slowness * max(slowness/stragglerSlowness, 1)
}

// decayRatio moves a ratio towards 1 with its age.
func decayRatio(ratio float64, age, timeConstant time.Duration) float64 {
	return 1 + (ratio-1)*decayWeight(age, timeConstant)
}

// decayWeight returns a weight that falls exponentially from 1 towards 0 with age.
func decayWeight(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(timeConstant))
}
