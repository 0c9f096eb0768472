// Package moderator decides how many runs that call another service may be under way
// at a target, so that no more calls come to that service than it can serve.
//
// Load pattern: a crest in which the called service has less room than the calls of all
// runs that the calling targets have slots for. Without a bound the calls queue, the runs
// that wait for them hold the slots of the calling targets, and in the end calls are
// refused after their runs have used their slots.
//
// Each node decides for its own target, by how long the calls of its runs waited for a
// slot: not at all while there is room, longer the more calls compete. All nodes see much
// the same waits and turn their bounds down and up together, without a message of their
// own. A bound on runs under way also holds back by itself: calls that take longer end
// fewer runs, and so fewer start.
//
// A Moderator has no I/O and no clock. It is not safe for concurrent use.
package moderator

import (
	"maps"
	"time"

	"gentianbarrow.example/internal/smoother"
)

const (
	// adjustInterval is the time between two changes of a limit. What a change brings about
	// is seen after the calls of the runs that it let in, and those wait in a queue.
	adjustInterval = 200 * time.Millisecond
	// gain is the share of the excess by which a limit is changed at a time. A change shows
	// in the waits after several intervals: with more, limits of nodes that learn of waits
	// half a second late swing.
	gain = 0.15
	// maxDecrease and maxIncrease bound the relative change of a limit at a time.
	maxDecrease = 0.2
	maxIncrease = 0.05
	// minLimit is the lowest limit: some runs must start to show when room returns.
	minLimit = 1.0
	// sampleWeight is the weight of an interval in the smoothed run time and calls by run,
	// and of a call in the smoothed wait.
	sampleWeight = 0.3
	// forgetAfter is how long a service may see no call before its limit is dropped.
	forgetAfter = 5 * time.Second
	// waitShare is the share of the time left to a call that it may wait for a slot. The
	// rest is for its run, which takes much longer than usual now and then.
	waitShare = 0.4
)

// Call is the end of a call that a run of this host's target made.
type Call struct {
	// Service is the called service.
	Service string
	// Wait is how long the call waited for slots on its way; at least 0.
	Wait time.Duration
	// TimeLeft is for how long the run can still use the answer when it makes the call; above 0.
	TimeLeft time.Duration
	// IsRefused is set if the call was not served for lack of room.
	IsRefused bool
}

// Moderator holds the limits of the runs at one target.
type Moderator struct {
	// byService holds the services that were called lately.
	byService map[string]*window
}

// window bounds the runs that call one service.
type window struct {
	// limit of the runs under way, from minLimit to the slots of the target.
	limit    float64
	adjustAt time.Time
	lastCall time.Time
	// runTime is the smoothed time of a run in nanoseconds, callsPerRun the smoothed number
	// of calls of a run; 0 before the first interval.
	runTime, callsPerRun float64
	// wait is the smoothed wait of a call in nanoseconds.
	wait float64
	// current counts since the last adjustment.
	current counts
}

// counts are those of one interval.
type counts struct {
	runs, calls int
	runTime     time.Duration
	// excess is by how much the waits of all calls exceed what they may wait.
	excess time.Duration
}

// New returns a Moderator without limits.
func New() *Moderator { return &Moderator{byService: map[string]*window{}} }

// RecordCall records the end of a call.
func (m *Moderator) RecordCall(now time.Time, c Call) {
	w := m.byService[c.Service]
	if w == nil {
		w = &window{adjustAt: now.Add(adjustInterval)}
		m.byService[c.Service] = w
	}
	wait := c.Wait
	if c.IsRefused {
		wait = max(wait, c.TimeLeft)
	}
	w.lastCall = now
	w.wait += sampleWeight * (float64(wait) - w.wait)
	w.current.calls++
	w.current.excess += wait - time.Duration(waitShare*float64(c.TimeLeft))
}

// RecordRun records the end of a run that took the given time and calls the services.
func (m *Moderator) RecordRun(took time.Duration, services []string) {
	for _, name := range services {
		if w := m.byService[name]; w != nil {
			w.current.runs++
			w.current.runTime += took
		}
	}
}

// Adjust updates the limits that are due and returns them by service. A service without
// a limit is not in the result, which is valid until the next call.
func (m *Moderator) Adjust(now time.Time, slots int) map[string]float64 {
	maps.DeleteFunc(m.byService, func(_ string, w *window) bool { return now.Sub(w.lastCall) >= forgetAfter })
	limits := map[string]float64{}
	for name, w := range m.byService {
		w.adjust(now, float64(max(slots, 1)))
		if w.limit < float64(slots) {
			limits[name] = w.limit
		}
	}
	return limits
}

// WaitPerRun returns how long a run waits for slots of the services that it calls. A node
// adds it to the wait that it reports of its target, so that who calls this target sees
// the waits of the whole way.
func (m *Moderator) WaitPerRun() time.Duration {
	sum := 0.0
	for _, w := range m.byService {
		sum += w.wait * w.callsPerRun
	}
	return time.Duration(sum)
}

// adjust sets the limit so that as many runs end as now, with calls that wait for no
// longer than they may. The runs that end are in proportion to the limit and to the
// inverse of their time, of which the waits are a part.
func (w *window) adjust(now time.Time, slots float64) {
	if w.limit == 0 {
		w.limit = slots
	}
	w.limit = min(w.limit, slots)
	if now.Before(w.adjustAt) || w.current.calls == 0 {
		return
	}
	if w.current.runs > 0 {
		runs := float64(w.current.runs)
		w.runTime = smoother.Smooth(w.runTime, float64(w.current.runTime)/runs, sampleWeight)
		w.callsPerRun = smoother.Smooth(w.callsPerRun, float64(w.current.calls)/runs, sampleWeight)
	}
	if w.runTime > 0 {
		excess := float64(w.current.excess) / float64(w.current.calls)
		change := -gain * excess * w.callsPerRun / w.runTime
		w.limit = min(max(w.limit*(1+min(max(change, -maxDecrease), maxIncrease)), minLimit), slots)
	}
	w.current = counts{}
	w.adjustAt = now.Add(adjustInterval)
}
