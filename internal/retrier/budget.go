package retrier

import "time"

const (
	// maxAttempts bounds how often one request is sent, hedges included.
	maxAttempts = 3
	// floorEvery is how often a service with hardly any requests may retry one.
	floorEvery = 10 * time.Second
	// burstTokens is the most that a budget saves up.
	burstTokens = 10.0
	// hedgeReserve is what hedges leave of the tokens for retries, at most half of the burst.
	hedgeReserve = 5.0
	// hedgeQuantile is the share of attempts that end before a hedge starts.
	hedgeQuantile = 0.95
)

// Budget bounds the retries and hedges of one service at one node. It is not
// safe for concurrent use.
type Budget struct {
	// percent of requests that may be sent again, 0 to 100.
	percent int
	// burst is the most that a budget saves up.
	burst float64
	// tokens left; each retry or hedge takes one. 0 to burst.
	tokens float64
	// floorAt is when the next token comes that depends on no request.
	floorAt time.Time
	// latency of attempts that ended with an answer.
	latency quantile
}

// NewBudget returns a budget of percent retries for each hundred requests.
func NewBudget(now time.Time, percent int) *Budget {
	b := &Budget{tokens: 1, burst: burstTokens, floorAt: now.Add(floorEvery), latency: quantile{target: hedgeQuantile}}
	b.SetPercent(percent)
	return b
}

// SetPercent changes the share of retries.
func (b *Budget) SetPercent(percent int) {
	b.percent = min(max(percent, 0), 100)
	if b.percent == 0 {
		b.tokens = 0
	}
}

// SetBurst changes the most that the budget saves up.
func (b *Budget) SetBurst(tokens float64) {
	b.burst = max(tokens, 1)
	b.tokens = min(b.tokens, b.burst)
}

// Offered counts a request that arrived, before its first attempt. One that
// belongs to a retry of a node nearer the caller earns no retries, so that
// the budgets of a chain of calls add up and do not multiply.
func (b *Budget) RecordRequest(now time.Time, retriedAbove bool) {
	if !retriedAbove {
		b.deposit(float64(b.percent) / 100)
	}
	b.refill(now)
}

// Observed records how long an attempt with an answer took.
func (b *Budget) RecordLatency(latency time.Duration) { b.latency.add(latency) }

func (b *Budget) refill(now time.Time) {
	if b.percent == 0 || now.Before(b.floorAt) {
		return
	}
	b.floorAt = now.Add(floorEvery)
	b.deposit(1)
}

func (b *Budget) deposit(tokens float64) { b.tokens = min(b.tokens+tokens, b.burst) }

// spend takes a token and tells whether there was one beside the reserve.
func (b *Budget) spend(now time.Time, reserve float64) bool {
	b.refill(now)
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}
