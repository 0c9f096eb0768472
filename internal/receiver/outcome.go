package receiver

import (
	"fmt"
	"strings"
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/retrier"
)

// logOutcome logs one line on the request: its attempts, what they were decided on, and its outcome.
func (c *call) logOutcome() {
	if c.request == nil && c.record.Reason == exchanger.ReasonNodeLate {
		// The guard reports how many requests it rejects. A line for each would cost as much
		// as serving them.
		return
	}
	event := logger.RequestAnswered
	switch c.record.Outcome {
	case retrier.OutcomeNotRun:
		event = logger.RequestRefused
	case retrier.OutcomeUnknown:
		event = logger.RequestFailed
	}
	f := logger.Fields{
		RequestID: c.record.RequestID, Version: c.record.ConfigVersion, Route: c.record.Route, Service: c.record.Service,
		Firm: c.record.Firm, Reason: string(c.record.Reason), Attempts: describeAttempts(&c.record), DurationMillis: time.Since(c.record.Arrived).Milliseconds(),
	}
	f.UnreadMillis = c.readAt.Sub(c.record.Arrived).Milliseconds()
	if c.receiver.cfg.Delay != nil {
		f.NodeLateMillis = c.receiver.cfg.Delay().Milliseconds()
	}
	f.Class = string(c.class)
	if c.request != nil {
		f.IsCall = c.request.IsCall
		f.RemainingMillis = c.request.Deadline.Sub(c.record.Arrived).Milliseconds()
	}
	c.receiver.cfg.Log.WriteRequest(event, f)
}

// describeAttempts formats each attempt as host, reason of the choice, time since
// arrival, what was known of the host, and outcome.
func describeAttempts(r *explainer.Record) string {
	var b strings.Builder
	for i := range r.Attempts {
		a := &r.Attempts[i]
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s %s +%dms", a.Host, a.ChoiceReason, a.Chosen.Sub(r.Arrived).Milliseconds())
		for _, candidate := range a.Evaluations {
			if candidate.Host == a.Host {
				fmt.Fprintf(&b, " of %d cost %.0fms in-flight %d load %d+%d/%d age %s", a.Candidates,
					candidate.Cost/float64(time.Millisecond), candidate.InFlight, candidate.Load.InFlight, candidate.Load.Queued, candidate.Load.Slots,
					formatAge(candidate.Reported, a.Chosen))
			}
		}
		fmt.Fprintf(&b, ": %s %s", a.Outcome, a.Reason)
	}
	if r.GaveUp != "" {
		fmt.Fprintf(&b, "; gave up: %s", r.GaveUp)
	}
	return b.String()
}

// formatAge returns the age of a load report, or "never" when there was none.
func formatAge(reported, now time.Time) string {
	if reported.IsZero() {
		return "never"
	}
	return now.Sub(reported).Round(time.Millisecond).String()
}
