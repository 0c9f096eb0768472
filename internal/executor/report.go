package executor

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/dispatcher"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/logger"
)

// reportBroken logs and counts an answer of the target that is broken. err is the error that
// ended it, or nil.
func (e *Executor) reportBroken(r *exchanger.Request, err error) {
	var broken *dispatcher.BrokenAnswerError
	if !errors.As(err, &broken) {
		return
	}
	if e.cfg.ObserveBroken != nil {
		e.cfg.ObserveBroken(broken.Part)
	}
	e.cfg.Log.WriteRequest(logger.AnswerBroken, logger.Fields{
		RequestID: r.ID, Service: r.Service, Route: r.Route, Version: r.ConfigVersion, Target: r.TargetID, IsCall: r.IsCall, Err: broken,
	})
}

func processOf(t blackboard.Target) exchanger.TargetProcess {
	return exchanger.TargetProcess{ID: t.ID, Started: t.Started}
}

// statedRate is the rate limit that the target's process states in its answers.
type statedRate struct {
	rate limiter.Rate
	// statedAt is when an answer last stated a limit; zero unless rate is limited.
	statedAt time.Time
}

// next returns the rate after an answer that arrived at now, to a request that was
// sent at sent. An answer without a limit ends it only if its request was sent after
// the limit was last stated, since answers may overtake each other.
func (s statedRate) next(report *exchanger.TargetReport, sent, now time.Time) statedRate {
	switch {
	case report.IsLimited:
		return statedRate{rate: limiter.Rate{State: limiter.RateLimited, PerSecond: report.RateLimit}, statedAt: now}
	case report.Malformed != "" || sent.Before(s.statedAt):
		return s
	default:
		return statedRate{}
	}
}

// formatRate describes a rate limit for logs.
func formatRate(r limiter.Rate) string {
	switch r.State {
	case limiter.RateLimited:
		return strconv.FormatFloat(r.PerSecond, 'f', 1, 64) + " a second"
	case limiter.RateUnlimited:
		return "none"
	}
	return string(r.State)
}

// currentRate returns the rate limit of the target's current process.
func (e *Executor) currentRate() limiter.Rate {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rate.rate
}

// recordReport applies what the target's process t reports in the answer to a request
// that was sent at sent. It ignores reports of processes other than the current one.
func (e *Executor) recordReport(t blackboard.Target, sent time.Time, report *exchanger.TargetReport) {
	if report == nil {
		return
	}
	if report.Malformed != "" {
		e.cfg.Log.Write(logger.TargetReportRefused, logger.Fields{Service: t.Record.Service, Target: t.ID, Reason: report.Malformed})
	}
	if e.applyReport(t, sent, report) && e.cfg.ReportLeaving != nil {
		e.cfg.ReportLeaving(t)
	}
}

// applyReport applies a report and returns whether it is the first by which the
// current process states that it leaves.
func (e *Executor) applyReport(t blackboard.Target, sent time.Time, report *exchanger.TargetReport) (leaves bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if processOf(t) != e.process {
		return false
	}
	e.setRate(t, e.rate.next(report, sent, time.Now()))
	leaves = report.Leaving && !e.leavingReported
	e.leavingReported = e.leavingReported || report.Leaving
	return leaves
}

// setProcess forgets what an earlier process of the target stated. The caller holds mu.
func (e *Executor) setProcess(t blackboard.Target) {
	if current := processOf(t); current != e.process {
		e.process, e.leavingReported = current, false
		e.setRate(t, statedRate{rate: limiter.Rate{State: e.cfg.InitialRate}})
	}
}

// setRate applies a change of the rate limit. The caller holds mu.
func (e *Executor) setRate(t blackboard.Target, next statedRate) {
	before := e.rate.rate
	e.rate = next
	if before == next.rate {
		return
	}
	e.gate.SetRate(next.rate)
	isLimited := next.rate.State == limiter.RateLimited
	if e.cfg.ObserveRateLimit != nil {
		e.cfg.ObserveRateLimit(next.rate.PerSecond, isLimited)
	}
	if !isLimited && before.State != limiter.RateLimited {
		return
	}
	load := e.gate.Load()
	e.cfg.Log.Write(logger.TargetLimitChanged, logger.Fields{
		Service: t.Record.Service, Target: t.ID, Reason: formatRate(before) + " to " + formatRate(next.rate),
		Load: fmt.Sprintf("%d running, %d waiting, %d slots", load.InFlight, load.Queued, load.Slots),
	})
}
