package receiver

import (
	"context"
	"sync"
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/internal/retrier"
)

// attemptWithHedge makes one attempt and, if that is slow and may be hedged, a
// second one in parallel. The slower one is cancelled.
func (r *attemptSequence) attemptWithHedge(ctx context.Context, t target) *exchanger.Answer {
	now := time.Now()
	rc := r.receiver()
	state := r.retryState(retrier.OutcomeUnknown, exchanger.ReasonNone)
	rc.mu.Lock()
	plan := rc.budget(now, r.call.service).Hedge(now, state)
	rc.mu.Unlock()
	if plan.Kind != retrier.ActionHedge || r.usesKey() {
		body := r.newBodyReader()
		a := r.send(ctx, t, body, len(r.tried))
		r.recordOutcome(t, a)
		return r.withCleanup(a, body, nil)
	}
	return r.race(ctx, t, plan.At)
}

// newBodyReader returns a reader of the request's body for one attempt; nil when there is no body.
func (r *attemptSequence) newBodyReader() *attemptReader {
	if r.call.body == nil {
		return nil
	}
	return r.call.body.newReader()
}

// withCleanup detaches the request's body and cancels the attempt when the answer ends. cancel may be nil.
func (r *attemptSequence) withCleanup(a *exchanger.Answer, body *attemptReader, cancel context.CancelFunc) *exchanger.Answer {
	if a.Outcome != retrier.OutcomeDone {
		body.detach()
		if cancel != nil {
			cancel()
		}
		return a
	}
	a.Body = &cleanupBody{ReadCloser: a.Body, body: body, cancel: cancel}
	return a
}

// attemptResult is the result of one attempt of a race.
type attemptResult struct {
	target target
	answer *exchanger.Answer
	body   *attemptReader
	cancel context.CancelFunc
}

// race makes up to two attempts and returns the first answer that is done. If none
// is, it returns the first answer with an unknown outcome, or else the last answer.
func (r *attemptSequence) race(ctx context.Context, first target, hedgeAt time.Time) *exchanger.Answer {
	var group sync.WaitGroup
	results := make(chan attemptResult, 2)
	start := func(t target) context.CancelFunc {
		attemptCtx, cancel := context.WithCancel(ctx)
		body := r.newBodyReader()
		attempt := len(r.tried)
		group.Go(func() {
			a := r.send(attemptCtx, t, body, attempt)
			results <- attemptResult{target: t, answer: a, body: body, cancel: cancel}
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
			if t, ok := r.chooseHedge(); ok {
				cancels = append(cancels, start(t))
				running++
			}
		case result := <-results:
			running--
			r.recordOutcome(result.target, result.answer)
			if result.answer.Outcome == retrier.OutcomeDone {
				r.cancelLoser(&group, results, cancels, result, first)
				return r.withCleanup(result.answer, result.body, result.cancel)
			}
			failed = lessCertain(failed, r.withCleanup(result.answer, result.body, result.cancel))
		}
	}
	return failed
}

// chooseHedge spends a token of the retry budget and chooses a target for a second attempt.
// A node that is short of processor time makes none: it would be late for a first one.
func (r *attemptSequence) chooseHedge() (target, bool) {
	rc := r.receiver()
	if rc.cfg.Guard.IsShort() {
		return target{}, false
	}
	rc.mu.Lock()
	ok := rc.budget(time.Now(), r.call.service).SpendHedge(time.Now())
	rc.mu.Unlock()
	if !ok {
		return target{}, false
	}
	r.isHedging = true
	defer func() { r.isHedging = false }()
	return r.chooseTarget(explainer.ChoiceByHedge)
}

// lessCertain returns a if its outcome is unknown, else b. a may be nil.
func lessCertain(a, b *exchanger.Answer) *exchanger.Answer {
	if a != nil && a.Outcome == retrier.OutcomeUnknown {
		return a
	}
	return b
}

// cancelLoser cancels the other attempt of a race, if there is one, and discards its answer.
func (r *attemptSequence) cancelLoser(group *sync.WaitGroup, results chan attemptResult, cancels []context.CancelFunc, winner attemptResult, first target) {
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
