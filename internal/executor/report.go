package executor

import (
	"fmt"
	"strconv"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/logger"
)

// process identifies a process of the target.
type process struct {
	id string
	// started is as in blackboard.Target.
	started int64
}

func processOf(t blackboard.Target) process { return process{id: t.ID, started: t.Started} }

// statedLimit is the rate limit that the target's process states in its answers.
type statedLimit struct {
	// isSet reports whether a limit is in force.
	isSet bool
	// perSecond is the limit in requests a second.
	perSecond float64
	// statedAt is when an answer last stated the limit.
	statedAt time.Time
}

// next returns the limit after an answer that arrived at now, to a request that was
// sent at sent. An answer without a limit ends it only if its request was sent after
// the limit was last stated, since answers may overtake each other.
func (l statedLimit) next(report *exchanger.TargetReport, sent, now time.Time) statedLimit {
	switch {
	case report.IsLimited:
		return statedLimit{isSet: true, perSecond: report.RateLimit, statedAt: now}
	case report.Malformed != "" || sent.Before(l.statedAt):
		return l
	default:
		return statedLimit{}
	}
}

func (l statedLimit) String() string {
	if !l.isSet {
		return "none"
	}
	return strconv.FormatFloat(l.perSecond, 'f', 1, 64) + " a second"
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
	e.mu.Lock()
	defer e.mu.Unlock()
	if processOf(t) == e.process {
		e.setLimit(t, e.limit.next(report, sent, time.Now()))
	}
}

// setProcess forgets what an earlier process of the target stated. The caller holds mu.
func (e *Executor) setProcess(t blackboard.Target) {
	if current := processOf(t); current != e.process {
		e.process = current
		e.setLimit(t, statedLimit{})
	}
}

// setLimit logs and records a change of the limit. The caller holds mu.
func (e *Executor) setLimit(t blackboard.Target, next statedLimit) {
	before := e.limit
	e.limit = next
	if before.isSet == next.isSet && before.perSecond == next.perSecond {
		return
	}
	load := e.gate.Load()
	e.cfg.Log.Write(logger.TargetLimitChanged, logger.Fields{
		Service: t.Record.Service, Target: t.ID, Reason: before.String() + " to " + next.String(),
		Load: fmt.Sprintf("%d running, %d waiting, %d slots", load.InFlight, load.Queued, load.Slots),
	})
	if e.cfg.ObserveRateLimit != nil {
		e.cfg.ObserveRateLimit(next.perSecond, next.isSet)
	}
}
