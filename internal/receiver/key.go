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

// keyGapTime is how long a host may lack keys, after it was first seen, that ran
// elsewhere before: as long as keys are remembered, and the time in which a new
// host takes no keys itself.
const keyGapTime = deduplicator.KeyTTL + time.Minute

// maxKeyLookups bounds how many earlier homes are asked about a key.
const maxKeyLookups = 3

// usesKey reports whether an idempotency key determines the target.
func (r *attemptSequence) usesKey() bool {
	return r.call.request.IdempotencyKey != "" && !r.call.request.Idempotent
}

// homeTarget returns the home of the key, the host that remembers it. Hosts that
// were tried before are left out: they have disclaimed the key, and the next host
// in order is the home.
func (r *attemptSequence) homeTarget(svc *service) target {
	hosts := slices.DeleteFunc(slices.Clone(svc.keyHosts), func(h string) bool {
		return slices.Contains(r.tried, h)
	})
	host := deduplicator.Home(r.call.request.IdempotencyKey, hosts)
	return target{host: host, address: svc.addresses[host], choiceReason: explainer.ChoiceByKey}
}

// isKeyDisclaimed reports whether a host refused a request with a key because the
// key is unknown there and the host takes no new keys now. Another host may then
// run the request.
func isKeyDisclaimed(reason exchanger.Reason) bool {
	switch reason {
	case exchanger.ReasonTargetDraining, exchanger.ReasonNodeDraining, exchanger.ReasonWrongTarget,
		exchanger.ReasonNoTarget, exchanger.ReasonKeyHomeNew:
		return true
	default:
		return false
	}
}

// waitForHome waits until the host that gave the answer takes keys, if it refused the
// key because its target is new, and reports whether another attempt follows.
// Then all hosts may be tried again. All targets of a service are new when the
// whole service has just started.
func (r *attemptSequence) waitForHome(ctx context.Context, a *exchanger.Answer) bool {
	if a == nil || a.Reason != exchanger.ReasonKeyHomeNew || !r.call.body.isReplayable() {
		return false
	}
	if a.RetryAt.IsZero() || !a.RetryAt.Before(r.call.request.Deadline) {
		return false
	}
	r.tried, r.reroutes = nil, 0
	return sleepUntil(ctx, a.RetryAt)
}

// lookUpKey returns what an earlier home knows of the key, or nil. A host that this
// node has known for less than keyGapTime may have joined after the request was
// first sent; then the next hosts in order are asked, up to the first that was
// there before.
func (r *attemptSequence) lookUpKey(ctx context.Context) *exchanger.Answer {
	if !r.usesKey() || len(r.tried) > 1 {
		return nil
	}
	svc := r.receiver().index.find(r.receiver().cfg.State(), r.call.service.Name)
	order := deduplicator.Rank(r.call.request.IdempotencyKey, svc.keyHosts)
	now := time.Now()
	for i := 0; i+1 < len(order) && i < maxKeyLookups && svc.mayLackKeys(order[i], now); i++ {
		if a := r.lookUpKeyAt(ctx, order[i+1], svc.addresses[order[i+1]]); a != nil {
			return a
		}
	}
	return nil
}

// mayLackKeys reports whether the host may have joined after a key was first sent.
func (s *service) mayLackKeys(host string, now time.Time) bool {
	return now.Sub(s.keysSince[host]) < keyGapTime
}

// lookUpKeyAt asks one host what it knows of the key. It returns nil when the key is
// unknown there or the host cannot be reached, and a refusal when the host's answer
// was lost.
func (r *attemptSequence) lookUpKeyAt(ctx context.Context, host, address string) *exchanger.Answer {
	if address == "" {
		return nil
	}
	request := *r.call.request
	request.LookupOnly = true
	request.Attempt = 1
	request.Body, request.ContentLength = nil, 0
	a := r.deliver(ctx, target{host: host, address: address}, &request)
	switch {
	case isKeyKnown(a):
		a.TargetHost = host
		return a
	case a.Outcome == retrier.OutcomeUnknown:
		return exchanger.NotRun(exchanger.ReasonKeyHomeLost, a.Err)
	default:
		return nil
	}
}

// isKeyKnown reports whether the answer comes from a host that remembers the key.
func isKeyKnown(a *exchanger.Answer) bool {
	switch a.Reason {
	case exchanger.ReasonKeyRunning, exchanger.ReasonKeyUnknown, exchanger.ReasonKeyReused, exchanger.ReasonKeyAnswerDropped:
		return true
	default:
		return a.Outcome == retrier.OutcomeDone
	}
}
