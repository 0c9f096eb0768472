package receiver

import (
	"context"
	"slices"
	"sync"
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/router"
	"gentianbarrow.example/pkg/snapshotter"
)

// maxMoves bounds how often a request moves on from a node whose target takes no work.
const maxMoves = 4

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
	rc.budget(now, r.call.service).Offered(now, r.call.request.RetriedAbove)
}

// choose picks the target of the next attempt.
func (r *run) choose(why explainer.Why) (target, bool) {
	state := r.receiver().cfg.State()
	known := r.receiver().index.find(state, r.call.service.Name)
	var t target
	var considered []router.Considered
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
	r.receiver().cfg.Meter.Attempted(string(t.why))
	return t, true
}

func (r *run) cheapest(known *service) (target, []router.Considered) {
	rc := r.receiver()
	request := router.Request{
		Service: r.call.service.Name, Class: r.call.request.Class, Tried: r.tried, Explain: rc.cfg.Explanations != nil,
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	choice, why := rc.table.Choose(time.Now(), request, known.candidates, rc.rnd)
	if !choice.OK {
		return target{}, why.Considered
	}
	return target{host: choice.Host, address: choice.Address}, why.Considered
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
	request.Attempt = attempt
	if body != nil {
		request.Body = body
	}
	rc.started(t.host)
	begun := time.Now()
	a := r.deliver(ctx, t, &request)
	if a.Target == "" && a.Outcome != retrier.OutcomeNotRun {
		a.Target = t.host
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
	rc.table.Started(time.Now(), host)
}

func (rc *Receiver) finished(r *exchanger.Request, host string, a *exchanger.Answer, took time.Duration) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.table.Finished(time.Now(), r.Service, host, router.Result{
		Outcome: a.Outcome, Class: r.Class, Latency: took, Load: a.Load, RetryAfter: a.RetryAt,
		Cancelled: a.Reason == exchanger.ReasonCancelled || a.Reason == exchanger.ReasonDeadline,
	})
	if b := rc.budgets[r.Service]; b != nil && a.Outcome == retrier.OutcomeDone {
		b.Observed(took)
	}
}

func (r *run) note(t target, a *exchanger.Answer) {
	noted := &r.call.record.Attempts[t.index]
	noted.Outcome, noted.Reason = a.Outcome, a.Reason
	if a.Outcome == retrier.OutcomeUnknown {
		r.mayHaveRun = true
	}
}

// moved tells that the node refused because its target takes no work at all,
// so that going to another one adds no load to any target.
func moved(reason exchanger.Reason) bool {
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
		return r.moves <= maxMoves && r.call.body.replayable() && !r.barred()
	}
	now := time.Now()
	rc := r.receiver()
	rc.mu.Lock()
	action := rc.budget(now, r.call.service).Next(now, r.state(a.Outcome, a.Reason))
	rc.mu.Unlock()
	if action.Verb != retrier.VerbRetry {
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
		Deadline: c.request.Deadline,
	}
}

// hedged makes one attempt and, when that is slow and may be hedged, a second
// one beside it. The loser is cancelled.
func (r *run) hedged(ctx context.Context, t target) *exchanger.Answer {
	now := time.Now()
	rc := r.receiver()
	rc.mu.Lock()
	plan := rc.budget(now, r.call.service).Hedge(now, r.state(retrier.OutcomeUnknown, exchanger.ReasonNone))
	rc.mu.Unlock()
	if plan.Verb != retrier.VerbHedge || r.keyed() {
		body := r.reader()
		a := r.send(ctx, t, body, len(r.tried))
		r.note(t, a)
		return r.owned(a, body, nil)
	}
	return r.race(ctx, t, plan.At)
}

func (r *run) reader() *attemptReader {
	if r.call.body == nil {
		return nil
	}
	return r.call.body.attempt()
}

// owned makes the end of the answer detach the body and cancel the attempt.
func (r *run) owned(a *exchanger.Answer, body *attemptReader, cancel context.CancelFunc) *exchanger.Answer {
	if a.Outcome != retrier.OutcomeDone {
		body.detach()
		if cancel != nil {
			cancel()
		}
		return a
	}
	a.Body = &ownedBody{ReadCloser: a.Body, body: body, cancel: cancel}
	return a
}

// entrant is one attempt of a race.
type entrant struct {
	target target
	answer *exchanger.Answer
	body   *attemptReader
	cancel context.CancelFunc
}

// race runs up to two attempts and returns the first that is done, or the last that failed.
func (r *run) race(ctx context.Context, first target, hedgeAt time.Time) *exchanger.Answer {
	var group sync.WaitGroup
	results := make(chan entrant, 2)
	start := func(t target) context.CancelFunc {
		attemptCtx, cancel := context.WithCancel(ctx)
		body := r.reader()
		attempt := len(r.tried)
		group.Go(func() {
			a := r.send(attemptCtx, t, body, attempt)
			results <- entrant{target: t, answer: a, body: body, cancel: cancel}
		})
		return func() {
			body.detach()
			cancel()
		}
	}
	cancels := []context.CancelFunc{start(first)}
	timer := time.NewTimer(time.Until(hedgeAt))
	defer timer.Stop()
	var failed *exchanger.Answer
	for running := 1; running > 0; {
		select {
		case <-timer.C:
			if t, ok := r.hedge(); ok {
				cancels = append(cancels, start(t))
				running++
			}
		case e := <-results:
			running--
			r.note(e.target, e.answer)
			if e.answer.Outcome == retrier.OutcomeDone {
				r.settle(&group, results, cancels, e, first)
				return r.owned(e.answer, e.body, e.cancel)
			}
			failed = worse(failed, r.owned(e.answer, e.body, e.cancel))
		}
	}
	return failed
}

// hedge takes a token and a target for a second attempt.
func (r *run) hedge() (target, bool) {
	rc := r.receiver()
	rc.mu.Lock()
	ok := rc.budget(time.Now(), r.call.service).SpendHedge(time.Now())
	rc.mu.Unlock()
	if !ok {
		return target{}, false
	}
	return r.choose(explainer.WhyHedge)
}

// worse keeps the answer that promises less.
func worse(a, b *exchanger.Answer) *exchanger.Answer {
	if a != nil && a.Outcome == retrier.OutcomeUnknown {
		return a
	}
	return b
}

// settle cancels the loser of a race and discards its answer.
func (r *run) settle(group *sync.WaitGroup, results chan entrant, cancels []context.CancelFunc, winner entrant, first target) {
	for i, cancel := range cancels {
		isFirst := i == 0
		if isFirst != (winner.target.host == first.host) {
			cancel()
		}
	}
	if len(cancels) == 1 {
		return
	}
	group.Wait()
	for {
		select {
		case loser := <-results:
			loser.answer.Close()
			loser.cancel()
		default:
			return
		}
	}
}
