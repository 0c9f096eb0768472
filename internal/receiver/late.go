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

// rejectLate returns the refusal of a request whose caller is gone or would be by the time
// of the answer, because this node is short of processor time; nil otherwise.
func (c *call) rejectLate(ctx context.Context) *exchanger.Answer {
	if ctx.Err() != nil || c.request.CallerGone != nil && c.request.CallerGone() {
		return exchanger.NotRun(exchanger.ReasonCancelled, ctx.Err())
	}
	rc := c.receiver
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
