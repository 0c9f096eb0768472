package limiter

import "time"

// RateState is what is known of the rate limit of a target.
type RateState string

// The states of a Rate.
const (
	// RateUnlimited means that the target states no limit. It is the zero value.
	RateUnlimited RateState = ""
	// RateUnknown means that no answer of the target has shown yet whether it states a
	// limit. The gate then runs only as many requests as a slow target keeps.
	RateUnknown RateState = "unknown"
	// RateLimited means that the target states a limit.
	RateLimited RateState = "limited"
)

// Rate is the limit on the requests a second that a target accepts.
type Rate struct {
	State RateState
	// PerSecond is the limit in requests a second; 0 unless State is RateLimited.
	PerSecond float64
}

const (
	// rateBurstDuration times the limit is how many requests may start at once after a
	// time in which fewer came, so that requests that come in clusters need not wait.
	rateBurstDuration = 250 * time.Millisecond
	// minRate is the lowest rate in requests a second. Some requests must reach a target
	// that accepts none: only its answers show when that ends.
	minRate = 0.5
)

// tokenBucket paces the requests to a target that states a rate limit: a request
// takes a token, and tokens come at the rate of the limit.
type tokenBucket struct {
	rate Rate
	// tokens at updatedAt, from 0 to burst.
	tokens    float64
	updatedAt time.Time
	// returns holds, by priority, the time that was last named to a refused request for
	// its return.
	returns map[int]time.Time
}

// set changes the rate. A limit that begins starts without tokens, because the
// requests that are running took none.
func (b *tokenBucket) set(now time.Time, r Rate) {
	b.refill(now)
	if b.rate.State != RateLimited {
		b.tokens, b.returns = 0, nil
	}
	b.rate = r
	b.tokens = min(b.tokens, b.burst())
}

func (b *tokenBucket) isLimited() bool { return b.rate.State == RateLimited }

func (b *tokenBucket) perSecond() float64 { return max(b.rate.PerSecond, minRate) }

func (b *tokenBucket) burst() float64 { return max(b.perSecond()*rateBurstDuration.Seconds(), 1) }

func (b *tokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.perSecond(), b.burst())
		b.updatedAt = now
	}
}

// admits reports whether a request may start now.
func (b *tokenBucket) admits(now time.Time) bool {
	if !b.isLimited() {
		return true
	}
	b.refill(now)
	return b.tokens >= 1
}

// take takes the token of a request that starts.
func (b *tokenBucket) take(now time.Time) {
	if b.isLimited() {
		b.refill(now)
		b.tokens--
	}
}

// availableAt returns when a request may start that has the given number of others
// ahead of it; now without a limit.
func (b *tokenBucket) availableAt(now time.Time, ahead int) time.Time {
	if !b.isLimited() {
		return now
	}
	b.refill(now)
	missing := float64(ahead+1) - b.tokens
	if missing <= 0 {
		return now
	}
	// A nanosecond more, so that the token is complete at that time despite rounding.
	return now.Add(time.Duration(missing/b.perSecond()*float64(time.Second)) + 1)
}

// reserveReturn returns when a request that was refused at now should come back: not
// before earliest, and after the refused requests of the same and more urgent
// priorities, which come back one by one at the rate of the limit. A caller that
// came back with all others would be refused again. It returns latest if that
// is earlier.
func (b *tokenBucket) reserveReturn(priority int, earliest, latest time.Time) time.Time {
	interval := time.Duration(float64(time.Second) / b.perSecond())
	at := earliest
	for p, last := range b.returns {
		if p <= priority {
			at = laterTime(at, last.Add(interval))
		}
	}
	if at.After(latest) {
		return latest
	}
	if b.returns == nil {
		b.returns = map[int]time.Time{}
	}
	b.returns[priority] = at
	return at
}
