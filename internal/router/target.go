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
	// reportFades is the time in which the weight of a reported load falls to a third.
	reportFades = 250 * time.Millisecond
	// slownessFades is the time in which a seen slowness falls to a third.
	slownessFades = time.Second
	// slownessClip bounds how much a slow target costs, so that it is still
	// taken when all others are full.
	slownessClip = 10.0
	// avoidFrom is the slowness from which a target counts as a straggler.
	avoidFrom = 2.0
	// upWeight and downWeight of one sample in a smoothed latency. It rises
	// faster than it falls, so that a straggler is noticed by its first answers.
	upWeight   = 0.5
	downWeight = 0.2
	// levelWeight of one sample in a service's level.
	levelWeight = 0.02
	// drainTrusted is how long a target's word that it drains counts.
	drainTrusted = 5 * time.Second
	// leastPause and mostPause bound how long a target that refused or failed is left alone.
	leastPause = 5 * time.Millisecond
	mostPause  = time.Second
	// refusalDivisor of the time that a refusing target asks for is how long it
	// is left alone: its queue has to have work until then.
	refusalDivisor = 4
	// failurePause is how long a target is left alone after its first failure; it doubles with each.
	failurePause = 50 * time.Millisecond
	// coldDivisor of the announced slots is what a cold target is believed to have.
	coldDivisor = 5
	// unknownService stands for the service time of a service of which nothing was seen.
	unknownService = 50 * time.Millisecond
	// crowding is the part of the service time that a target with all slots in use adds.
	crowding = 0.5
	// crossingCost is what a request costs that goes to another data centre, and
	// crossingPerKB what each 1,000 bytes of it and its answer add.
	crossingCost  = 10 * time.Millisecond
	crossingPerKB = 20 * time.Millisecond
	// headerBytes is about what the headers of a request and its answer add on the way.
	headerBytes = 600
	// farFactor multiplies them for another region.
	farFactor = 4
	// leastSlowness bounds how much cheaper a fast target is.
	leastSlowness = 0.5
	// failWeight of one attempt in the share of failed ones, failFades the time
	// in which that share falls to a third, and failCost the factor by which a
	// target that fails everything costs more.
	failWeight = 0.1
	failFades  = 3 * time.Second
	failCost   = 20.0
	// toleratedFails is the share that costs nothing: a single failure among other attempts.
	toleratedFails = 0.12
	// oldAfter is the age at which knowledge of a remote candidate doubles its cost.
	oldAfter = 10 * time.Second
	// mostDoubt bounds the factor of that age.
	mostDoubt = 4.0
)

// level is what is usual at a service.
type level struct {
	// latency and service time in nanoseconds; 0 before the first sample.
	latency, service float64
	// byRoute holds the latency of each route.
	byRoute smoother.RouteMeans
}

func newLevel() *level { return &level{byRoute: smoother.RouteMeans{Weight: levelWeight}} }

// usual returns the usual latency of a route, in nanoseconds; 0 when nothing is known.
func (l *level) usual(route string) float64 {
	if l == nil {
		return 0
	}
	if latency, known := l.byRoute.Mean(route); known {
		return latency
	}
	return l.latency
}

func (l *level) sample(route string, latency float64) {
	l.latency = smoother.Smooth(l.latency, latency, levelWeight)
	l.byRoute.Add(route, latency)
}

// target is what this node has seen of one target. A nil target is one that nothing is known of.
type target struct {
	// inFlight counts this node's requests; at least 0.
	inFlight int
	// load is what the target's node reported at reported.
	load     limiter.Load
	reported time.Time
	// others is how many requests of other nodes the report counted.
	others int
	// incarnation that the knowledge belongs to.
	incarnation uint64
	// ratio of its latency to what is usual, smoothed, as of answered; 0 before the first sample.
	ratio    float64
	answered time.Time
	// progressed is when an answer came or, from idle, a request was sent.
	progressed time.Time
	// refusals holds, for each class, when the target may be asked again.
	refusals [classCount]time.Time
	// failures in a row.
	failures int
	// failing is the smoothed share of attempts that the target failed, as of judged.
	failing float64
	judged  time.Time
}

func (x *target) started(now time.Time) {
	if x.inFlight == 0 {
		x.progressed = now
	}
	x.inFlight++
}

func (x *target) finished(now time.Time, l *level, r Result) {
	if r.Load != nil {
		x.report(now, l, *r.Load)
	}
	x.inFlight = max(x.inFlight-1, 0)
	x.progressed = now
	x.judge(now, r)
	switch {
	case r.Outcome == retrier.OutcomeDone:
		x.failures = 0
		x.sample(now, l, r)
	case !r.Cancelled:
		x.failed(now, r)
	case float64(r.Latency) > x.ratio*l.usual(r.Route):
		// The target owed an answer for longer than usual. Less tells nothing of it.
		x.sample(now, l, r)
	}
}

// report takes in what the target's node says of its load.
func (x *target) report(now time.Time, l *level, load limiter.Load) {
	x.load, x.reported = load, now
	x.others = max(load.InFlight+load.Queued-x.inFlight, 0)
	if load.Service > 0 {
		l.service = smoother.Smooth(l.service, float64(load.Service), levelWeight)
	}
}

// judge follows how often the target fails what it is given. A refusal by its node does not count.
func (x *target) judge(now time.Time, r Result) {
	if r.Cancelled || r.Outcome == retrier.OutcomeNotRun && !r.Failed {
		return
	}
	sample := 0.0
	if r.Failed || r.Outcome != retrier.OutcomeDone {
		sample = 1
	}
	x.failing = x.failShare(now)
	x.failing += failWeight * (sample - x.failing)
	x.judged = now
}

// failShare returns the share of failed attempts; what was seen long ago counts less.
func (x *target) failShare(now time.Time) float64 {
	if x == nil {
		return 0
	}
	return x.failing * fade(now.Sub(x.judged), failFades)
}

func (x *target) sample(now time.Time, l *level, r Result) {
	if r.Class == snapshotter.ClassBulk {
		return
	}
	latency := float64(r.Latency)
	sample := 1.0
	if usual := l.usual(r.Route); usual > 0 {
		sample = min(latency/usual, ratioClip)
	}
	weight := downWeight
	if sample > x.ratio {
		weight = upWeight
	}
	x.ratio = smoother.Smooth(x.ratio, sample, weight)
	x.answered = now
	l.sample(r.Route, latency)
}

// ratioClip bounds the effect of one answer: some requests run many times longer than the rest.
const ratioClip = 4.0

// failed leaves the target alone for as long as its refusal says, or, when no
// answer came, for a time that doubles with each failure.
func (x *target) failed(now time.Time, r Result) {
	if r.Load != nil {
		pause := min(max(r.RetryAfter.Sub(now)/refusalDivisor, leastPause), mostPause)
		x.refusals[classIndex(r.Class)] = now.Add(pause)
		return
	}
	pause := min(failurePause<<min(x.failures, 10), mostPause)
	x.failures++
	for i := range x.refusals {
		x.refusals[i] = now.Add(pause)
	}
}

func (x *target) refuses(now time.Time, c snapshotter.Class) bool {
	return x != nil && now.Before(x.refusals[classIndex(c)])
}

// renew forgets what an earlier incarnation of the target's node has shown.
func (x *target) renew(c *Candidate) {
	if x == nil || c.Incarnation <= x.incarnation {
		return
	}
	if x.incarnation > 0 {
		*x = target{inFlight: x.inFlight, progressed: x.progressed}
	}
	x.incarnation = c.Incarnation
}

// saysDraining tells whether the target's node itself reported that it drains.
func (x *target) saysDraining(now time.Time) bool {
	return x != nil && x.load.Draining && now.Before(x.reported.Add(drainTrusted))
}

// slowness returns how much slower the target is than its service: by the service
// time that its node reports, by this node's own answers where they were slower or
// nothing is reported, and by how long it owes an answer. What was seen fades, so
// that a recovered target is soon tried again.
func (x *target) slowness(now time.Time, l *level) float64 {
	if x == nil || l == nil || l.latency == 0 {
		return 1
	}
	slow := x.answeredSlowness(now, 1)
	if l.service > 0 && x.load.Service > 0 {
		told := faded(float64(x.load.Service)/l.service, now.Sub(x.reported), slownessFades)
		slow = max(told, x.answeredSlowness(now, told))
	}
	if x.inFlight > 0 {
		slow = max(slow, float64(now.Sub(x.progressed))/l.latency)
	}
	return min(max(slow, leastSlowness), slownessClip)
}

// answeredSlowness is what this node's own answers show, which fades towards what else is known.
func (x *target) answeredSlowness(now time.Time, otherwise float64) float64 {
	if x.ratio == 0 {
		return otherwise
	}
	return otherwise + (x.ratio-otherwise)*fade(now.Sub(x.answered), slownessFades)
}

// aversion returns the factor by which slowness raises the cost: itself up to
// avoidFrom, and more than itself beyond, so that a straggler is left to the
// requests that find the others full.
func aversion(slowness float64) float64 {
	return slowness * max(slowness/avoidFrom, 1)
}

// faded moves a ratio towards 1 with its age.
func faded(ratio float64, age, fades time.Duration) float64 {
	return 1 + (ratio-1)*fade(age, fades)
}

// fade returns a weight that falls from 1 towards 0 with age.
func fade(age, fades time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(fades))
}
