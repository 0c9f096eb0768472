package receiver

import (
	"context"
	"slices"
	"time"

	"gentianbarrow.example/internal/deduplicator"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/internal/retrier"
)

// youngTime is how long a host that was first seen may lack keys that ran
// elsewhere before: as long as they are remembered, and while it takes none itself.
const youngTime = deduplicator.KeyTTL + time.Minute

// maxRecalls bounds how many hosts are asked whether they remember a key.
const maxRecalls = 3

// keyed tells that an idempotency key decides on the target.
func (r *run) keyed() bool {
	return r.call.request.IdempotencyKey != "" && !r.call.request.Idempotent
}

// home returns the host that remembers the key, or the next one in order when
// that host has vouched that the key is not its own.
func (r *run) home(known *service) target {
	hosts := slices.DeleteFunc(slices.Clone(known.keyHosts), func(h string) bool {
		return slices.Contains(r.tried, h)
	})
	host := deduplicator.Home(r.call.request.IdempotencyKey, hosts)
	return target{host: host, address: known.addresses[host], why: explainer.WhyKey}
}

// vouched tells that the home of a key has said that the key is unknown there
// and that its target takes no work from now on.
func vouched(reason exchanger.Reason) bool {
	switch reason {
	case exchanger.ReasonTargetDraining, exchanger.ReasonNodeDraining, exchanger.ReasonWrongTarget,
		exchanger.ReasonNoTarget, exchanger.ReasonKeyHomeNew:
		return true
	default:
		return false
	}
}

// waitForHome waits until the last host that passed a key on, because it is new,
// takes keys. All hosts of a service are new after it has started as a whole.
func (r *run) waitForHome(ctx context.Context, a *exchanger.Answer) bool {
	if a == nil || a.Reason != exchanger.ReasonKeyHomeNew || !r.call.body.replayable() {
		return false
	}
	if a.RetryAt.IsZero() || !a.RetryAt.Before(r.call.request.Deadline) {
		return false
	}
	r.tried, r.moves = nil, 0
	return sleepUntil(ctx, a.RetryAt)
}

// remembered returns what an earlier home knows of the key, or nil. A host that
// this node has known for less than youngTime may have joined since the
// request was first sent; then the next hosts in order are asked, up to the
// first that was there before.
func (r *run) remembered(ctx context.Context) *exchanger.Answer {
	if !r.keyed() || len(r.tried) > 1 {
		return nil
	}
	known := r.receiver().index.find(r.receiver().cfg.State(), r.call.service.Name)
	order := deduplicator.Rank(r.call.request.IdempotencyKey, known.keyHosts)
	now := time.Now()
	for i := 0; i+1 < len(order) && i < maxRecalls && known.young(order[i], now); i++ {
		if a := r.recall(ctx, order[i+1], known.addresses[order[i+1]]); a != nil {
			return a
		}
	}
	return nil
}

// young tells that the host may have joined since a key was first sent.
func (s *service) young(host string, now time.Time) bool {
	return now.Sub(s.since[host]) < youngTime
}

// recall asks one host what it knows of the key. It returns nil when that is
// nothing or the host can't be reached, and a refusal when the host's word was lost.
func (r *run) recall(ctx context.Context, host, address string) *exchanger.Answer {
	if address == "" {
		return nil
	}
	request := *r.call.request
	request.LookupOnly = true
	request.Attempt = 1
	request.Body, request.ContentLength = nil, 0
	a := r.deliver(ctx, target{host: host, address: address}, &request)
	switch {
	case knows(a):
		a.TargetHost = host
		return a
	case a.Outcome == retrier.OutcomeUnknown:
		return exchanger.NotRun(exchanger.ReasonKeyHomeLost, a.Err)
	default:
		return nil
	}
}

// knows tells that the answer is of a host that remembers the key.
func knows(a *exchanger.Answer) bool {
	switch a.Reason {
	case exchanger.ReasonKeyRunning, exchanger.ReasonKeyUnknown, exchanger.ReasonKeyReused, exchanger.ReasonKeyAnswerDropped:
		return true
	default:
		return a.Outcome == retrier.OutcomeDone
	}
}
