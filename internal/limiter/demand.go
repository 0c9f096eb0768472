package limiter

import (
	"math"
	"slices"
	"time"

	"gentianbarrow.example/internal/smoother"
)

const (
	// maxKinds bounds the kinds of requests that a gate tells apart. The requests of
	// further ones are served without regard to the load of their kind.
	maxKinds = 32
	// patienceWeight is the weight of one sample in a smoothed patience.
	patienceWeight = 0.1
	// loadDeviations times the standard deviation of a load is kept free for it, so that
	// requests that come in clusters find room as well.
	loadDeviations = 2
	// minRoomDivisor divides the slots to give those that long or less urgent requests have
	// at least.
	minRoomDivisor = 5
	// starvedDivisor divides the share of all requests that start to give that below which
	// a kind is starved. That is well above a quarter, since callers who come back blur the share.
	starvedDivisor = 2
	// minRefused is how many recent refusals of a kind count as more than chance.
	minRefused = 3
)

// kind is what a gate knows of the requests of one route and priority.
type kind struct {
	class    class
	route    string
	priority int
	// arrived, started and refused are decaying counts. Refusals count if the request
	// is tried at no further target.
	arrived, started, refused float64
	// service is the expected service time of the latest request; 0 if unknown.
	service time.Duration
	// patience is for how long its requests can wait and still meet their soft deadline,
	// smoothed, in nanoseconds; 0 if unknown.
	patience float64
	// running and waiting count its requests that hold a slot and that wait.
	running, waiting int
	// isStarved and isHeld are set while a request is chosen; see demand.prepare.
	isStarved, isHeld bool
}

// demand follows the load of each kind of request of one target.
//
// The load pattern: long requests with much time double for some seconds while short
// ones, which running requests elsewhere wait for, need the same slots. The short ones go
// first, but wait until a long one has ended if these hold all slots. And a kind that
// always goes last is not served at all as long as the others need all slots.
type demand struct {
	kinds []*kind
	// arrived, started and refused sum those of all kinds.
	arrived, started, refused float64
	// releaseRate sums the reciprocal service times of the running requests, in requests
	// a second, and expectedSum their service times in nanoseconds; of those for which it
	// is known.
	releaseRate, expectedSum float64
}

func (d *demand) rescale(by float64) {
	for _, k := range d.kinds {
		k.arrived, k.started, k.refused = k.arrived*by, k.started*by, k.refused*by
	}
	d.arrived, d.started, d.refused = d.arrived*by, d.started*by, d.refused*by
}

// kindOf returns the kind of a request; nil beyond maxKinds.
func (d *demand) kindOf(c class, route string, priority int) *kind {
	for _, k := range d.kinds {
		if k.priority == priority && k.class == c && k.route == route {
			return k
		}
	}
	k := &kind{class: c, route: route, priority: priority}
	if len(d.kinds) < maxKinds {
		d.kinds = append(d.kinds, k)
		return k
	}
	idlest := -1
	for i, other := range d.kinds {
		if other.running+other.waiting == 0 && (idlest < 0 || other.arrived < d.kinds[idlest].arrived) {
			idlest = i
		}
	}
	if idlest < 0 {
		return nil
	}
	old := d.kinds[idlest]
	d.arrived, d.started, d.refused = d.arrived-old.arrived, d.started-old.started, d.refused-old.refused
	d.kinds[idlest] = k
	return k
}

// recordArrival counts an offered request that would be served in the given time.
func (d *demand) recordArrival(k *kind, weight float64, service, patience time.Duration) {
	if k == nil {
		return
	}
	k.arrived += weight
	d.arrived += weight
	k.service = service
	if patience > 0 {
		k.patience = smoother.Smooth(k.patience, float64(patience), patienceWeight)
	}
}

func (d *demand) recordStart(k *kind, weight float64, expected time.Duration) {
	if expected > 0 {
		d.releaseRate += 1 / expected.Seconds()
		d.expectedSum += float64(expected)
	}
	if k == nil {
		return
	}
	k.running++
	k.started += weight
	d.started += weight
}

func (d *demand) recordEnd(k *kind, expected time.Duration, running int) {
	if expected > 0 {
		d.releaseRate = max(d.releaseRate-1/expected.Seconds(), 0)
		d.expectedSum = max(d.expectedSum-float64(expected), 0)
	}
	if running == 0 {
		d.releaseRate, d.expectedSum = 0, 0
	}
	if k != nil {
		k.running--
	}
}

func (d *demand) recordRefusal(k *kind, weight float64) {
	if k != nil {
		k.refused += weight
		d.refused += weight
	}
}

// load returns how many slots the requests of the kind need on average. factor is that of
// the decay.
func (k *kind) load(factor float64) float64 {
	return k.arrived / factor / useWindow.Seconds() * k.service.Seconds()
}

// isLongFor reports whether a request of the kind holds its slot for longer than those of
// an other that is at least as urgent can wait.
func (k *kind) isLongFor(other *kind) bool {
	return other.priority <= k.priority && other.patience > 0 && float64(k.service) > other.patience && other.service < k.service
}

// prepare sets isStarved and isHeld of all kinds.
func (d *demand) prepare(factor float64, slots int) {
	for _, k := range d.kinds {
		k.isStarved = d.starves(k, factor)
		k.isHeld = k.waiting > 0 && !k.isStarved && !d.leavesRoom(k, factor, slots)
	}
}

// mayStart reports whether a request of the kind may hold one of the slots. A starved kind
// need not leave room for others.
func (d *demand) mayStart(k *kind, factor float64, slots int) bool {
	return k == nil || d.leavesRoom(k, factor, slots) || d.starves(k, factor)
}

// starves reports whether far fewer of the kind's requests start than of all.
func (d *demand) starves(k *kind, factor float64) bool {
	return k.refused > minRefused*factor &&
		k.started*(d.started+d.refused)*starvedDivisor < d.started*(k.started+k.refused)
}

// leavesRoom reports whether a further request of the kind may hold one of the slots: a
// long one leaves room for the shorter ones that are at least as urgent, and that could
// not wait until it ends. What long requests free in the time that those can wait
// counts as room. Calls need not leave any, since a run waits for each.
func (d *demand) leavesRoom(k *kind, factor float64, slots int) bool {
	if k.priority == callRank {
		return true
	}
	need, patience := 0.0, math.Inf(1)
	for _, other := range d.kinds {
		if k.isLongFor(other) {
			load := other.load(factor)
			need += load
			if load > 0 {
				patience = min(patience, other.patience)
			}
		}
	}
	if need == 0 {
		return true
	}
	need += loadDeviations * math.Sqrt(need)
	long := 0
	for _, other := range d.kinds {
		if float64(other.service) > patience && !other.isUrgentBeside(k) {
			long += other.running
		}
	}
	most := (float64(slots) - need) / (1 - patience/float64(k.service))
	return float64(long+1) <= max(most, float64(slots/minRoomDivisor), 1)
}

// isUrgentBeside reports whether the kind is one for which k leaves room.
func (k *kind) isUrgentBeside(other *kind) bool { return other.isLongFor(k) }

// roomFor returns how many of the slots are left for the kind by the load of more urgent ones.
func (d *demand) roomFor(k *kind, priority int, factor float64, slots int) float64 {
	left := float64(slots)
	for _, other := range d.kinds {
		if other.priority < priority && other != k {
			left -= other.load(factor)
		}
	}
	return max(left, float64(slots)/minRoomDivisor)
}

// slowness returns how much longer than expected the running requests take, from the
// mean of their ages; at least 1.
func (d *demand) slowness(ageSum time.Duration) float64 {
	if d.expectedSum <= 0 {
		return 1
	}
	return min(max(ageFactor*float64(ageSum)/d.expectedSum, 1), maxRatio)
}

// forget drops the kinds of which no request came for long.
func (d *demand) forget(factor float64) {
	d.kinds = slices.DeleteFunc(d.kinds, func(k *kind) bool {
		if k.running+k.waiting > 0 || k.arrived > forgottenCount*factor {
			return false
		}
		d.arrived, d.started, d.refused = d.arrived-k.arrived, d.started-k.started, d.refused-k.refused
		return true
	})
}

// forgottenCount is the decayed count of requests below which nothing is kept.
const forgottenCount = 0.01
