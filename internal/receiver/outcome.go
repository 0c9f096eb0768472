package receiver

import (
	"fmt"
	"strings"
	"time"

	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/retrier"
)

// logOutcome writes one line on the request: what decided it and what came of it.
func (c *call) logOutcome() {
	event := logger.RequestAnswered
	switch c.record.Outcome {
	case retrier.OutcomeNotRun:
		event = logger.RequestRefused
	case retrier.OutcomeUnknown:
		event = logger.RequestFailed
	}
	f := logger.Fields{
		RequestID: c.record.RequestID, Version: c.record.ConfigVersion, Route: c.record.Route, Service: c.record.Service,
		Reason: string(c.record.Reason), Attempts: describe(&c.record), DurationMillis: time.Since(c.record.Arrived).Milliseconds(),
	}
	if c.request != nil {
		f.Class = string(c.request.Class)
		f.RemainingMillis = c.request.Deadline.Sub(c.record.Arrived).Milliseconds()
	}
	c.receiver.cfg.Log.WriteRequest(event, f)
}

// describe tells each attempt as host, time, what was known of the host, and outcome.
func describe(r *explainer.Record) string {
	var b strings.Builder
	for i := range r.Attempts {
		a := &r.Attempts[i]
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s %s +%dms", a.Host, a.Why, a.Chosen.Sub(r.Arrived).Milliseconds())
		for _, seen := range a.Considered {
			if seen.Host == a.Host {
				fmt.Fprintf(&b, " of %d cost %.0fms in-flight %d load %d+%d/%d age %s", len(a.Considered),
					seen.Cost/float64(time.Millisecond), seen.InFlight, seen.Load.InFlight, seen.Load.Queued, seen.Load.Slots,
					age(seen.Reported, a.Chosen))
			}
		}
		fmt.Fprintf(&b, ": %s %s", a.Outcome, a.Reason)
	}
	if r.GaveUp != "" {
		fmt.Fprintf(&b, "; gave up: %s", r.GaveUp)
	}
	return b.String()
}

// age of a report; "never" when there was none.
func age(reported, now time.Time) string {
	if reported.IsZero() {
		return "never"
	}
	return now.Sub(reported).Round(time.Millisecond).String()
}
