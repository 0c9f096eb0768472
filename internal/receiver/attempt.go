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

// maxMoves bounds how often a request moves on from a node whose target takes no work.
const maxMoves = 4

// maxFullMoves bounds how often a request moves on from a target without room:
// in a peak all are full, and each move costs the bytes of a request.
const maxFullMoves = 2

// attempts sends the request until an answer stands.
func (c *call) attempts(ctx context.Context) *exchanger.Answer {
	r := &run{call: c}
	r.offered(time.Now())
	for {
		t, ok := r.choose(explainer.WhyCost)
		if !ok && r.waitForHome(ctx, r.last) {
			continue
		}
		if !ok {
			return r.truthful(r.exhausted())
		}
		if a := r.remembered(ctx); a != nil {
			return a
		}
		a := r.hedged(ctx, t)
		if a.Outcome == retrier.OutcomeDone {
			return a
		}
		if !r.again(ctx, a) && !r.waitForHome(ctx, a) {
			return r.truthful(a)
		}
		r.last = a
	}
}

// truthful makes sure that "not-run" is said of the request, not only of its last attempt.
func (r *run) truthful(a *exchanger.Answer) *exchanger.Answer {
	if a.Outcome == retrier.OutcomeNotRun && r.mayHaveRun {
		a.Outcome = retrier.OutcomeUnknown
	}
	return a
}

// run is the sequence of attempts of one call.
type run struct {
	call *call
	// tried names the hosts that the request was sent to.
	tried []string
	// moves counts attempts that a node refused because its target takes no work.
	moves int
	// fullMoves counts those whose target had no room.
	fullMoves int
	// hedging tells that a second attempt beside the first is being chosen.
	hedging bool
	// mayHaveRun tells that an attempt so far ended as unknown.
	mayHaveRun bool
	// last is the latest answer that was not the caller's; nil before.
	last *exchanger.Answer
}

// target is where one attempt goes.
type target struct {
	host, address string
	why           explainer.Why
	// index of the attempt in the call's record.
	index int
}

func (r *run) receiver() *Receiver { return r.call.receiver }

func (r *run) offered(now time.Time) {
	rc := r.receiver()
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.forget(now)
	rc.budget(now, r.call.service).RecordRequest(now, r.call.request.RetriedAbove)
}

// choose picks the target of the next attempt.
func (r *run) choose(why explainer.Why) (target, bool) {
	state := r.receiver().cfg.State()
	known := r.receiver().index.find(state, r.call.service.Name)
	var t target
	var considered []router.Evaluation
	if r.keyed() {
		t = r.home(known)
	} else {
		t, considered = r.cheapest(known)
		t.why = why
	}
	if t.host == "" {
		return target{}, false
	}
	t.index = len(r.call.record.Attempts)
	r.call.record.Attempts = append(r.call.record.Attempts, explainer.Attempt{
		Host: t.host, Address: t.address, Chosen: time.Now(), Why: t.why, Considered: considered,
	})
	r.tried = append(r.tried, t.host)
	r.receiver().cfg.Meter.RecordAttempt(string(t.why))
	return t, true
}

func (r *run) cheapest(known *service) (target, []router.Evaluation) {
	rc := r.receiver()
	request := router.Request{
		Service: r.call.service.Name, Class: r.call.request.Class, Tried: r.tried, Explain: rc.cfg.Explanations != nil,
		Route: r.call.request.Route, Bytes: rc.expectedBytes(r.call.request.Route, r.call.request.ContentLength),
		FreeSlotOnly: r.hedging,
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	choice, why := rc.table.Choose(time.Now(), request, known.candidates, rc.rnd)
	if !choice.OK {
		return target{}, why.Evaluations
	}
	return target{host: choice.Host, address: choice.Address}, why.Evaluations
}

// exhausted answers when no target is left.
func (r *run) exhausted() *exchanger.Answer {
	if r.last != nil {
		return r.last
	}
	return exchanger.NotRun(exchanger.ReasonNoTarget, nil)
}

// send makes one attempt.
func (r *run) send(ctx context.Context, t target, body *attemptReader, attempt int) *exchanger.Answer {
	rc := r.receiver()
	if t.address == "" {
		return exchanger.NotRun(exchanger.ReasonKeyHomeLost, nil)
	}
	request := *r.call.request
	request.Attempt, request.NoWait = attempt, t.why == explainer.WhyHedge
	if body != nil {
		request.Body = body
	}
	rc.started(t.host)
	begun := time.Now()
	a := r.deliver(ctx, t, &request)
	if a.TargetHost == "" && a.Outcome != retrier.OutcomeNotRun {
		a.TargetHost = t.host
	}
	if r.keyed() && a.Reason == exchanger.ReasonUnreachable {
		a.Reason = exchanger.ReasonKeyHomeLost
	}
	rc.finished(&request, t.host, a, time.Since(begun))
	return a
}

// deliver hands a request to this host's target or to a peer.
func (r *run) deliver(ctx context.Context, t target, request *exchanger.Request) *exchanger.Answer {
	cfg := &r.receiver().cfg
	if t.host == cfg.State().Self.Host {
		return cfg.Execute(ctx, request)
	}
	return cfg.Forward(ctx, t.address, request)
}

func (rc *Receiver) started(host string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.table.RecordStart(time.Now(), host)
}

func (rc *Receiver) finished(r *exchanger.Request, host string, a *exchanger.Answer, took time.Duration) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.table.RecordResult(time.Now(), r.Service, host, router.Result{
		Outcome: a.Outcome, Class: r.Class, Route: r.Route, Latency: took, Load: a.Load, RetryAfter: a.RetryAt,
		Cancelled: a.Reason == exchanger.ReasonCancelled || a.Reason == exchanger.ReasonDeadline,
		Failed:    a.Status >= http.StatusInternalServerError || a.Reason == exchanger.ReasonTargetShed,
	})
	if b := rc.budgets[r.Service]; b != nil && a.Outcome == retrier.OutcomeDone {
		b.RecordLatency(took)
		rc.stats.latency.Add(r.Route, float64(took))
	}
}

func (r *run) note(t target, a *exchanger.Answer) {
	noted := &r.call.record.Attempts[t.index]
	noted.Outcome, noted.Reason = a.Outcome, a.Reason
	if a.Outcome == retrier.OutcomeUnknown {
		r.mayHaveRun = true
	}
}

// full tells that a node refused the request because its target has no room for it.
func full(reason exchanger.Reason) bool {
	switch reason {
	case exchanger.Reason(limiter.ReasonQueueFull), exchanger.Reason(limiter.ReasonWaitedTooLong), exchanger.Reason(limiter.ReasonMissesDeadline):
		return true
	default:
		return false
	}
}

// moved tells that a node refused the request before its target saw it, so that
// going to another one adds no load to any target.
func moved(reason exchanger.Reason) bool {
	if full(reason) {
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

// again decides whether another attempt follows.
func (r *run) again(ctx context.Context, a *exchanger.Answer) bool {
	if ctx.Err() != nil {
		return false
	}
	if a.Outcome == retrier.OutcomeNotRun && (moved(a.Reason) || r.keyed()) {
		if r.keyed() && !vouched(a.Reason) {
			return false
		}
		r.moves++
		if full(a.Reason) {
			r.fullMoves++
		}
		return r.moves <= maxMoves && r.fullMoves <= maxFullMoves && r.call.body.replayable() && !r.barred()
	}
	now := time.Now()
	rc := r.receiver()
	state := r.state(a.Outcome, a.Reason)
	rc.mu.Lock()
	action := rc.budget(now, r.call.service).Next(now, state)
	rc.mu.Unlock()
	if action.Kind != retrier.ActionRetry {
		r.call.record.GaveUp = action.Reason
		return false
	}
	return sleepUntil(ctx, action.At)
}

// barred tells that the request may not be sent again at all.
func (r *run) barred() bool { return r.mayHaveRun && !r.call.request.Idempotent }

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

func (r *run) state(o retrier.Outcome, reason exchanger.Reason) retrier.State {
	c := r.call
	known := r.receiver().index.find(r.receiver().cfg.State(), c.service.Name)
	left := 0
	for i := range known.candidates {
		if !slices.Contains(r.tried, known.candidates[i].Host) {
			left++
		}
	}
	return retrier.State{
		Outcome: o, Idempotent: c.request.Idempotent, MayHaveRun: r.mayHaveRun,
		Replayable: c.body.replayable(), Bulk: c.request.Class == snapshotter.ClassBulk,
		Attempts: max(len(r.tried)-r.moves, 1), TargetsLeft: left,
		RetriedAbove: c.request.RetriedAbove, RetriedBelow: reason == exchanger.ReasonShedBelow,
		Deadline: c.request.Deadline, MaxAttempts: c.request.MaxAttempts,
		Expected: r.receiver().expectedLatency(c.request.Route),
	}
}
