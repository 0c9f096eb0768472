package retrier

import "time"

const (
	// defaultMaxAttempts bounds how often one request is sent, hedges included.
	defaultMaxAttempts = 3
	// guaranteedRetryInterval is the interval at which a budget gains a token regardless
	// of its requests, so that a service with few requests can retry.
	guaranteedRetryInterval = 10 * time.Second
	// burstTokens is the default of the most tokens that a budget accumulates.
	burstTokens = 10.0
	// hedgeReserve is how many tokens hedges leave for retries, at most half of the burst.
	hedgeReserve = 5.0
	// hedgeQuantile is the share of attempts that end before a hedge starts.
	hedgeQuantile = 0.95
)

// Budget bounds the retries and hedges of one service at one node. It is not
// safe for concurrent use.
type Budget struct {
	// percent of requests that may be resent, 0 to 100.
	percent int
	// burst is the most tokens that the budget accumulates.
	burst float64
	// tokens left, from 0 to burst; each retry or hedge takes one.
	tokens float64
	// nextGuaranteedAt is when the budget next gains a token regardless of requests.
	nextGuaranteedAt time.Time
	// latency estimates the hedge delay from attempts that ended with an answer.
	latency quantile
}

// NewBudget returns a budget that allows percent retries per hundred requests.
func NewBudget(now time.Time, percent int) *Budget {
	b := &Budget{tokens: 1, burst: burstTokens, nextGuaranteedAt: now.Add(guaranteedRetryInterval), latency: quantile{target: hedgeQuantile}}
	b.SetPercent(percent)
	return b
}

// SetPercent changes the percentage of requests that may be resent.
func (b *Budget) SetPercent(percent int) {
	b.percent = min(max(percent, 0), 100)
	if b.percent == 0 {
		b.tokens = 0
	}
}

// SetBurst changes the most tokens that the budget accumulates; at least 1.
func (b *Budget) SetBurst(tokens float64) {
	b.burst = max(tokens, 1)
	b.tokens = min(b.tokens, b.burst)
}

// RecordRequest counts a request that arrived, before its first attempt. One that
// belongs to a retry by a node nearer the caller adds no tokens, so that retries
// along a chain of calls add up and do not multiply.
func (b *Budget) RecordRequest(now time.Time, retriedAbove bool) {
	if !retriedAbove {
		b.deposit(float64(b.percent) / 100)
	}
	b.refill(now)
}

// RecordLatency records the latency of an attempt that ended with an answer.
func (b *Budget) RecordLatency(latency time.Duration) { b.latency.add(latency) }

func (b *Budget) refill(now time.Time) {
	if b.percent == 0 || now.Before(b.nextGuaranteedAt) {
		return
	}
	b.nextGuaranteedAt = now.Add(guaranteedRetryInterval)
	b.deposit(1)
}

func (b *Budget) deposit(tokens float64) { b.tokens = min(b.tokens+tokens, b.burst) }

// spend takes a token and reports whether there was one beyond the reserve.
func (b *Budget) spend(now time.Time, reserve float64) bool {
	b.refill(now)
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}
