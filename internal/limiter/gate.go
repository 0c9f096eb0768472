package limiter

import (
	"time"
)

// Gate admits requests to one target. It is not safe for concurrent use.
type Gate struct {
	limits   Limits
	running  map[uint64]Request
	draining bool
}

// New returns a gate that admits at once.
func New(l Limits) *Gate { return &Gate{limits: l, running: map[uint64]Request{}} }

// Offer decides on a new request.
func (g *Gate) Offer(_ time.Time, r Request) Decision {
	if g.draining {
		return Decision{Verdict: VerdictRefused, Reason: ReasonDraining}
	}
	if len(g.running) >= g.limits.Slots {
		return Decision{Verdict: VerdictRefused, Reason: ReasonQueueFull}
	}
	g.running[r.ID] = r
	return Decision{Verdict: VerdictAdmitted}
}

// Done frees the slot of a request and tells which waiting ones start or end.
// It does nothing for a request that holds no slot.
func (g *Gate) Done(_ time.Time, id uint64, _ Result) Changes {
	delete(g.running, id)
	return Changes{}
}

// Cancel ends a waiting request. It returns false when the request is not
// waiting: one that holds a slot keeps it until Done.
func (g *Gate) Cancel(time.Time, uint64) (Changes, bool) { return Changes{}, false }

// Expire drops waiting requests that can no longer end in time and starts
// those for which a slot has come free with time.
func (g *Gate) Expire(time.Time) Changes { return Changes{} }

// Drain refuses new requests from now on and drops all waiting ones.
func (g *Gate) Drain(time.Time) Changes {
	g.draining = true
	return Changes{}
}

// Resume takes new requests again after Drain; slots are ramped from readySince.
func (g *Gate) Resume(time.Time) { g.draining = false }

// SetReadySince sets when the target last became ready: slots are ramped from then.
func (g *Gate) SetReadySince(time.Time) {}

// SetLimits changes the limits. Requests in flight keep their slots.
func (g *Gate) SetLimits(_ time.Time, l Limits) Changes {
	g.limits = l
	return Changes{}
}

// Load returns the state of the target.
func (g *Gate) Load(time.Time) Load {
	return Load{Slots: g.limits.Slots, InFlight: len(g.running), Draining: g.draining}
}
