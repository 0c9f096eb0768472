package receiver

import (
	"context"
	"math/rand/v2"
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/shedder"
	"gentianbarrow.example/pkg/snapshotter"
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

// admit returns the refusal of a request that this node has no processor time for, or whose
// caller is gone, or nil. It comes before anything is spent on the request.
func (c *call) admit(route snapshotter.Route, firm snapshotter.Firm, deadline time.Time, isCall bool) *exchanger.Answer {
	guard := c.receiver.cfg.Guard
	if guard.IsShort() && c.caller.IsGone != nil && c.caller.IsGone() {
		return exchanger.NotRun(exchanger.ReasonCancelled, nil)
	}
	d := guard.Decide(time.Now(), shedder.Request{
		Deadline: deadline, Priority: route.Priority + firm.Priority, IsStarted: isCall,
	})
	if !d.Rejected {
		return nil
	}
	return lateAnswer(d)
}

// rejectLate returns the refusal of a request whose caller is gone, or that this node
// cannot answer in time: because it is short of processor time, or about to stop; nil otherwise.
func (c *call) rejectLate(ctx context.Context) *exchanger.Answer {
	if ctx.Err() != nil || c.request.CallerGone != nil && c.request.CallerGone() {
		return exchanger.NotRun(exchanger.ReasonCancelled, ctx.Err())
	}
	if c.outlastsNode(time.Now()) {
		return exchanger.NotRun(exchanger.ReasonNodeDraining, nil)
	}
	if c.receiver.cfg.Delay == nil {
		return nil
	}
	d := shedder.Decide(time.Now(), c.request.Deadline, c.receiver.cfg.Delay(), rand.Float64())
	if !d.Rejected {
		return nil
	}
	return lateAnswer(d)
}

// lateAnswer returns the refusal of a request that this node has no processor time for.
func lateAnswer(d shedder.Decision) *exchanger.Answer {
	a := exchanger.NotRun(exchanger.ReasonNodeLate, nil)
	a.RetryAt = d.RetryAt
	return a
}
