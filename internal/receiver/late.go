package receiver

import (
	"context"
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/shedder"
)

// callerCheckAge is the age from which on a request's caller is looked for before each
// attempt. The end of a connection is usually noticed earlier, by the goroutine that
// reads it.
const callerCheckAge = 100 * time.Millisecond

// isCallerGone reports whether the caller has closed its connection, once the request has
// been here for callerCheckAge.
func (c *call) isCallerGone() bool {
	return time.Since(c.record.Arrived) >= callerCheckAge && c.caller.IsGone()
}

// stopMarginFactor times the usual latency of a request is the time that must be left
// before the forced stop of this node for the request to be sent on.
const stopMarginFactor = 2

// outlastsNode reports whether this node is draining and would be stopped by force before
// an answer. Another node can still serve a request that has not been sent on.
func (c *call) outlastsNode(now time.Time) bool {
	stopAt := c.receiver.cfg.State().Lifecycle.ForceStopAt
	return !stopAt.IsZero() && now.Add(stopMarginFactor*c.receiver.expectedLatency(c.request.Route)).After(stopAt)
}

// rejectLate returns the refusal of a request whose caller is gone, or that this node
// cannot answer in time: because it is short of processor time, or about to stop; nil otherwise.
func (c *call) rejectLate(ctx context.Context) *exchanger.Answer {
	if ctx.Err() != nil || c.request.CallerGone != nil && c.request.CallerGone() {
		return exchanger.NotRun(exchanger.ReasonCancelled, ctx.Err())
	}
	rc := c.receiver
	if c.outlastsNode(time.Now()) {
		return exchanger.NotRun(exchanger.ReasonNodeDraining, nil)
	}
	if rc.cfg.Delay == nil {
		return nil
	}
	delay := rc.cfg.Delay()
	rc.mu.Lock()
	spread := rc.rnd.Float64()
	rc.mu.Unlock()
	d := shedder.Decide(time.Now(), c.request.Deadline, delay, spread)
	if !d.Rejected {
		return nil
	}
	a := exchanger.NotRun(exchanger.ReasonNodeLate, nil)
	a.RetryAt = d.RetryAt
	return a
}
