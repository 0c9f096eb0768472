package receiver

import (
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/moderator"
	"gentianbarrow.example/internal/retrier"
)

// recordCall records the end of a call of this host's target, from which its node learns
// how much room the called service has.
func (c *call) recordCall(a *exchanger.Answer) {
	if !c.request.IsCall || a.Reason == exchanger.ReasonCancelled {
		return
	}
	c.receiver.cfg.Meter.RecordCall(c.request.Service, a.Outcome)
	if a.Outcome != retrier.OutcomeDone {
		c.receiver.cfg.Log.WriteRequest(logger.CallFailed, logger.Fields{
			RequestID: c.record.RequestID, Parent: c.record.Parent, Service: c.request.Service, Route: c.request.Route,
			Reason: string(a.Reason), Attempts: describeAttempts(&c.record),
		})
	}
	record := c.receiver.cfg.RecordCall
	if record == nil {
		return
	}
	end := moderator.Call{
		Service:   c.request.Service,
		TimeLeft:  c.request.Deadline.Sub(c.record.Arrived),
		IsRefused: a.Outcome == retrier.OutcomeNotRun && isFull(a.Reason) || a.Reason == exchanger.ReasonDeadline,
	}
	if end.IsRefused && c.request.Deadline.Before(c.request.SoftDeadline) {
		// Its run had too little time left, whatever room there was.
		return
	}
	if a.Load != nil {
		end.Wait = a.Load.CallWait
	}
	record(time.Now(), end)
}
