package receiver

import (
	"context"
	"net/http"
	"slices"
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/router"
	"gentianbarrow.example/pkg/snapshotter"
)

// maxReroutes bounds how often a request is rerouted: sent to another node after an
// attempt that ended before a target saw the request.
const maxReroutes = 4

// maxFullReroutes bounds how often a request is sent to another node because the
// target had no capacity. At peak load all targets are full, and each further
// attempt costs the transfer of the request.
const maxFullReroutes = 2

// maxCallReroutes bounds both for a call. Its refusal would waste a run that has used its
// slots, which costs more than further transfers.
const maxCallReroutes = 8

// sendAttempts sends the request until an answer is final.
func (c *call) sendAttempts(ctx context.Context) *exchanger.Answer {
	r := &attemptSequence{call: c}
	r.recordRequest(time.Now())
	for {
		if a := c.rejectLate(ctx); a != nil {
			return r.resolveOutcome(a)
		}
		t, ok := r.chooseTarget(explainer.ChoiceByCost)
		if !ok && r.waitForHome(ctx, r.lastAnswer) {
			continue
		}
		if !ok {
			return r.resolveOutcome(r.noTargetAnswer())
		}
		if a := r.lookUpKey(ctx); a != nil {
			return a
		}
		a := r.attemptWithHedge(ctx, t)
		if a.Outcome == retrier.OutcomeDone {
			return a
		}
		if !r.prepareRetry(ctx, a) && !r.waitForHome(ctx, a) {
			return r.resolveOutcome(a)
		}
		r.lastAnswer = a
	}
}

// resolveOutcome makes the outcome that of the request as a whole: the last attempt
// may not have run although an earlier one may have.
func (r *attemptSequence) resolveOutcome(a *exchanger.Answer) *exchanger.Answer {
	if a.Outcome == retrier.OutcomeNotRun && r.mayHaveRun {
		a.Outcome = retrier.OutcomeUnknown
	}
	return a
}

// attemptSequence is the sequence of attempts of one call.
type attemptSequence struct {
	call *call
	// tried lists the hosts that the request was sent to.
	tried []string
	// reroutes counts attempts that ended before a target saw the request.
	reroutes int
	// fullReroutes counts those of reroutes whose target had no capacity.
	fullReroutes int
	// isHedging is set while the target of a hedge is chosen.
	isHedging bool
	// mayHaveRun is set when an attempt has ended with an unknown outcome.
	mayHaveRun bool
	// lastAnswer is the answer of the latest attempt that was followed by another; nil before.
	lastAnswer *exchanger.Answer
}

// target is the destination of one attempt.
type target struct {
	host, address string
	choiceReason  explainer.ChoiceReason
	// index is the position of the attempt in the call's record.
	index int
}

func (r *attemptSequence) receiver() *Receiver { return r.call.receiver }

// recordRequest counts the request for the retry budget of its service.
func (r *attemptSequence) recordRequest(now time.Time) {
	rc := r.receiver()
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.expireTargets(now)
	rc.budget(now, r.call.service).RecordRequest(now, r.call.request.RetriedAbove)
}

// chooseTarget chooses the target of the next attempt and records the choice.
func (r *attemptSequence) chooseTarget(choiceReason explainer.ChoiceReason) (target, bool) {
	state := r.receiver().cfg.State()
	svc := r.receiver().index.find(state, r.call.service.Name)
	var t target
	var explanation router.Explanation
	if r.usesKey() {
		t = r.homeTarget(svc)
	} else {
		t, explanation = r.cheapestTarget(svc)
		t.choiceReason = choiceReason
	}
	if t.host == "" {
		return target{}, false
	}
	t.index = len(r.call.record.Attempts)
	r.call.record.Attempts = append(r.call.record.Attempts, explainer.Attempt{
		Host: t.host, Address: t.address, Chosen: time.Now(), ChoiceReason: t.choiceReason,
		Candidates: explanation.Candidates, Evaluations: explanation.Evaluations,
	})
	r.tried = append(r.tried, t.host)
	r.receiver().cfg.Meter.RecordAttempt(string(t.choiceReason))
	return t, true
}

// cheapestTarget returns the candidate that the balancer chooses; empty when none is left.
func (r *attemptSequence) cheapestTarget(svc *service) (target, router.Explanation) {
	rc := r.receiver()
	request := router.Request{
		Service: r.call.service.Name, Class: r.call.request.Class, Tried: r.tried, Explain: rc.cfg.Explanations != nil,
		Priority: r.call.request.Priority,
		Route:    r.call.request.Route, Bytes: rc.expectedBytes(r.call.request.Route, r.call.request.ContentLength),
		FreeSlotOnly: r.isHedging, AsksRefusing: r.call.request.IsCall && !r.isHedging,
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	choice, explanation := rc.balancer.Choose(time.Now(), request, svc.candidates, rc.rnd)
	if !choice.OK {
		return target{}, explanation
	}
	return target{host: choice.Host, address: choice.Address}, explanation
}

// noTargetAnswer returns the answer when no target is left: that of the last
// attempt, or "not-run" when there was none.
func (r *attemptSequence) noTargetAnswer() *exchanger.Answer {
	if r.lastAnswer != nil {
		return r.lastAnswer
	}
	return exchanger.NotRun(exchanger.ReasonNoTarget, nil)
}

// send makes one attempt. body is nil when the request has none.
func (r *attemptSequence) send(ctx context.Context, t target, body *attemptReader, attempt int) *exchanger.Answer {
	rc := r.receiver()
	if t.address == "" {
		return exchanger.NotRun(exchanger.ReasonKeyHomeLost, nil)
	}
	request := *r.call.request
	request.Attempt, request.NoWait = attempt, t.choiceReason == explainer.ChoiceByHedge
	request.WaitPastSoftDeadline = !request.NoWait && r.isLastAttempt()
	if body != nil {
		request.Body = body
	}
	request.Leaving = rc.recordStart(t.host)
	start := time.Now()
	a := readWhole(ctx, &request, r.deliver(ctx, t, &request), r.call.caller.MayStream)
	if a.TargetHost == "" && a.Outcome != retrier.OutcomeNotRun {
		a.TargetHost = t.host
	}
	if r.usesKey() && a.Reason == exchanger.ReasonUnreachable {
		a.Reason = exchanger.ReasonKeyHomeLost
	}
	rc.recordResult(&request, t.host, a, time.Since(start))
	return a
}

// deliver passes a request to this host's target or to a peer.
func (r *attemptSequence) deliver(ctx context.Context, t target, request *exchanger.Request) *exchanger.Answer {
	cfg := &r.receiver().cfg
	if t.host == cfg.State().Self.Host {
		return cfg.Execute(ctx, request)
	}
	return cfg.Forward(ctx, t.address, request)
}

// recordStart counts an attempt that starts at a host and returns the process of its
// target that is known to leave, or nil.
func (rc *Receiver) recordStart(host string) *exchanger.TargetProcess {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.balancer.RecordStart(time.Now(), host)
	if l, known := rc.leaving[host]; known {
		return &l.process
	}
	return nil
}

// recordResult passes the result of an attempt to the balancer, the retry budget and the statistics.
func (rc *Receiver) recordResult(r *exchanger.Request, host string, a *exchanger.Answer, took time.Duration) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if a.Leaving != nil {
		rc.leaving[host] = leavingTarget{process: *a.Leaving, forgetAt: time.Now().Add(targetExpiry)}
	}
	retryAfter := a.RetryAt
	if a.Reason == exchanger.Reason(limiter.ReasonFirmOverPart) {
		// The refusal says nothing of other firms.
		retryAfter = time.Time{}
	}
	rc.balancer.RecordResult(time.Now(), r.Service, host, router.Result{
		Outcome: a.Outcome, Class: r.Class, Route: r.Route, Priority: r.Priority, Latency: took, Load: a.Load, RetryAfter: retryAfter,
		Cancelled:    a.Reason == exchanger.ReasonCancelled || a.Reason == exchanger.ReasonDeadline,
		RouteRefused: a.Reason == exchanger.Reason(limiter.ReasonCalledRoom),
		Failed:       a.Status >= http.StatusInternalServerError || a.Reason == exchanger.ReasonTargetShed,
	})
	if b := rc.budgets[r.Service]; b != nil && a.Outcome == retrier.OutcomeDone {
		b.RecordLatency(took)
		rc.stats.latency.Add(r.Route, float64(took))
	}
}

// recordOutcome adds the outcome of an attempt to the call's record.
func (r *attemptSequence) recordOutcome(t target, a *exchanger.Answer) {
	attempt := &r.call.record.Attempts[t.index]
	attempt.Outcome, attempt.Reason = a.Outcome, a.Reason
	if a.Outcome == retrier.OutcomeUnknown {
		r.mayHaveRun = true
	}
}

// isFull reports whether a node refused the request because its target has no capacity for it.
func isFull(reason exchanger.Reason) bool {
	switch reason {
	case exchanger.Reason(limiter.ReasonQueueFull), exchanger.Reason(limiter.ReasonFirmOverPart), exchanger.Reason(limiter.ReasonWaitedTooLong), exchanger.Reason(limiter.ReasonMissesDeadline),
		exchanger.Reason(limiter.ReasonRateLimited), exchanger.Reason(limiter.ReasonCalledRoom), exchanger.ReasonNodeLate:
		return true
	default:
		return false
	}
}

// isReroutable reports whether an attempt ended before a target saw the request, so
// that sending it to another node adds no load to any target.
func isReroutable(reason exchanger.Reason) bool {
	if isFull(reason) {
		return true
	}
	switch reason {
	case exchanger.ReasonTargetDraining, exchanger.ReasonNodeDraining, exchanger.ReasonTargetFailed,
		exchanger.ReasonWrongTarget, exchanger.ReasonNoTarget, exchanger.ReasonUnreachable:
		return true
	default:
		return false
	}
}

// prepareRetry reports whether another attempt follows, and waits until it is due.
func (r *attemptSequence) prepareRetry(ctx context.Context, a *exchanger.Answer) bool {
	if ctx.Err() != nil {
		return false
	}
	if a.Outcome == retrier.OutcomeNotRun && (isReroutable(a.Reason) || r.usesKey()) {
		if r.usesKey() && !isKeyDisclaimed(a.Reason) {
			return false
		}
		r.reroutes++
		if isFull(a.Reason) {
			r.fullReroutes++
		}
		return r.mayRerouteAfter(r.reroutes, r.fullReroutes) && r.call.body.isReplayable() && !r.isRetryForbidden()
	}
	now := time.Now()
	rc := r.receiver()
	state := r.retryState(a.Outcome, a.Reason)
	rc.mu.Lock()
	action := rc.budget(now, r.call.service).Next(now, state)
	rc.mu.Unlock()
	if action.Kind != retrier.ActionRetry {
		r.call.record.GaveUp = action.Reason
		return false
	}
	return sleepUntil(ctx, action.At)
}

// isLastAttempt reports whether a refusal of the present attempt for lack of room would be
// the caller's answer.
func (r *attemptSequence) isLastAttempt() bool {
	return !r.mayRerouteAfter(r.reroutes+1, r.fullReroutes+1) || r.usesKey() ||
		len(r.tried) >= len(r.receiver().index.find(r.receiver().cfg.State(), r.call.service.Name).candidates)
}

// mayRerouteAfter reports whether the request may be sent to another node after as many
// attempts that ended before a target saw it, some of them since it had no capacity.
func (r *attemptSequence) mayRerouteAfter(reroutes, fullReroutes int) bool {
	if r.call.request.IsCall {
		return reroutes <= maxCallReroutes
	}
	return reroutes <= maxReroutes && fullReroutes <= maxFullReroutes
}

// isRetryForbidden reports whether another attempt could run the request twice.
func (r *attemptSequence) isRetryForbidden() bool { return r.mayHaveRun && !r.call.request.Idempotent }

// sleepUntil waits until the given time; false when the context ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// retryState returns what the retry budget needs to know of the request after an attempt.
func (r *attemptSequence) retryState(o retrier.Outcome, reason exchanger.Reason) retrier.State {
	c := r.call
	svc := r.receiver().index.find(r.receiver().cfg.State(), c.service.Name)
	left := 0
	for i := range svc.candidates {
		if !slices.Contains(r.tried, svc.candidates[i].Host) {
			left++
		}
	}
	return retrier.State{
		Outcome: o, Idempotent: c.request.Idempotent, MayHaveRun: r.mayHaveRun,
		Replayable: c.body.isReplayable(), Bulk: c.request.Class == snapshotter.ClassBulk,
		Attempts: max(len(r.tried)-r.reroutes, 1), TargetsLeft: left,
		RetriedAbove: c.request.RetriedAbove, RetriedBelow: reason == exchanger.ReasonShedBelow,
		Deadline: c.request.Deadline, MaxAttempts: c.request.MaxAttempts,
		Expected: r.receiver().expectedLatency(c.request.Route),
	}
}
