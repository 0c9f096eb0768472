package receiver

import (
	"context"
	"sync"
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/internal/retrier"
)

// hedged makes one attempt and, when that is slow and may be hedged, a second
// one beside it. The loser is cancelled.
func (r *run) hedged(ctx context.Context, t target) *exchanger.Answer {
	now := time.Now()
	rc := r.receiver()
	state := r.state(retrier.OutcomeUnknown, exchanger.ReasonNone)
	rc.mu.Lock()
	plan := rc.budget(now, r.call.service).Hedge(now, state)
	rc.mu.Unlock()
	if plan.Kind != retrier.ActionHedge || r.keyed() {
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
	r.hedging = true
	defer func() { r.hedging = false }()
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
