package retrier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "gentianbarrow.example/internal/seeder"
)

var start = time.Unix(1_800_000_000, 0)

// retriableState returns the state of a request that no rule forbids to resend.
func retriableState() State {
	return State{
		Outcome: OutcomeNotRun, Idempotent: true, Replayable: true,
		Attempts: 1, TargetsLeft: 2, Deadline: start.Add(time.Second), Expected: 10 * time.Millisecond,
	}
}

func assertAction(t *testing.T, got Action, verb ActionKind, reason Reason) {
	t.Helper()
	assert.Equal(t, got.Kind, verb)
	assert.Equal(t, got.Reason, reason)
}

func TestNext(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(s *State)
		verb   ActionKind
		reason Reason
	}{
		{"an answer finishes the request", func(s *State) { s.Outcome = OutcomeDone }, ActionFinish, ReasonNone},
		{"not run is retried", func(*State) {}, ActionRetry, ReasonNone},
		{"not run is retried for a request that is not idempotent", func(s *State) { s.Idempotent = false }, ActionRetry, ReasonNone},
		{"unknown is retried for an idempotent request", func(s *State) { s.Outcome = OutcomeUnknown }, ActionRetry, ReasonNone},
		{"unknown is not retried for a request that is not idempotent", func(s *State) { s.Outcome, s.Idempotent = OutcomeUnknown, false }, ActionGiveUp, ReasonMayHaveRun},
		{"an earlier unknown outcome forbids a retry", func(s *State) { s.MayHaveRun, s.Idempotent = true, false }, ActionGiveUp, ReasonMayHaveRun},
		{"a body that is no longer available", func(s *State) { s.Replayable = false }, ActionGiveUp, ReasonNotReplayable},
		{"maximum attempts reached", func(s *State) { s.Attempts = defaultMaxAttempts }, ActionGiveUp, ReasonMaxAttempts},
		{"no target left", func(s *State) { s.TargetsLeft = 0 }, ActionGiveUp, ReasonNoTarget},
		{"no time left", func(s *State) { s.Deadline = start.Add(10 * time.Millisecond) }, ActionGiveUp, ReasonNoTime},
		{"a node nearer the failure decided", func(s *State) { s.RetriedBelow = true }, ActionGiveUp, ReasonRetriedBelow},
		{"part of a retry by a node nearer the caller", func(s *State) { s.RetriedAbove = true }, ActionGiveUp, ReasonRetriedAbove},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := retriableState()
			c.change(&s)
			assertAction(t, NewBudget(start, 20).Next(start, s), c.verb, c.reason)
		})
	}
	t.Run("a spent budget regains a token after an interval", func(t *testing.T) {
		b := NewBudget(start, 20)
		assertAction(t, b.Next(start, retriableState()), ActionRetry, ReasonNone)
		assertAction(t, b.Next(start, retriableState()), ActionGiveUp, ReasonNoBudget)
		assertAction(t, b.Next(start.Add(guaranteedRetryInterval), retriableState()), ActionGiveUp, ReasonNoTime)
		withLongDeadline := retriableState()
		withLongDeadline.Deadline = start.Add(time.Hour)
		assertAction(t, b.Next(start.Add(guaranteedRetryInterval), withLongDeadline), ActionRetry, ReasonNone)
	})
	t.Run("a budget of zero percent allows no retry", func(t *testing.T) {
		assertAction(t, NewBudget(start, 0).Next(start, retriableState()), ActionGiveUp, ReasonNoBudget)
	})
}

func TestBurst(t *testing.T) {
	now := time.Unix(0, 0)
	countTokens := func(burst float64, hedge bool) int {
		b := NewBudget(now, 20)
		b.SetBurst(burst)
		for range 1000 {
			b.RecordRequest(now, false)
		}
		n := 0
		for hedge && b.SpendHedge(now) || !hedge && b.spend(now, 0) {
			n++
		}
		return n
	}
	assert.Equal(t, countTokens(4, false), 4)
	assert.Assert(t, countTokens(4, true) > 0, "a small burst leaves tokens for hedges")
	assert.Assert(t, countTokens(4, true) <= 2, "half of a small burst is reserved for retries")
}

func TestHedge(t *testing.T) {
	budgetWithLatencies := func() *Budget {
		b := NewBudget(start, 20)
		for i := range 200 {
			b.RecordRequest(start, false)
			b.RecordLatency(time.Duration(i%20+1) * time.Millisecond)
		}
		return b
	}
	t.Run("starts when most attempts have ended", func(t *testing.T) {
		a := budgetWithLatencies().Hedge(start, retriableState())
		assertAction(t, a, ActionHedge, ReasonNone)
		assert.Assert(t, a.At.After(start.Add(10*time.Millisecond)))
		assert.Assert(t, a.At.Before(start.Add(40*time.Millisecond)))
	})
	t.Run("leaves tokens for retries", func(t *testing.T) {
		b, hedges := budgetWithLatencies(), 0
		for hedges < 100 && b.SpendHedge(start) {
			hedges++
		}
		assert.Equal(t, float64(hedges), burstTokens-hedgeReserve)
		assertAction(t, b.Next(start, retriableState()), ActionRetry, ReasonNone)
	})
	for _, c := range []struct {
		name   string
		change func(s *State)
		reason Reason
	}{
		{"never for a request that is not idempotent", func(s *State) { s.Idempotent = false }, ReasonNotHedged},
		{"never for a bulk request", func(s *State) { s.Bulk = true }, ReasonNotHedged},
		{"never without another target", func(s *State) { s.TargetsLeft = 0 }, ReasonNoTarget},
		{"never within a retry", func(s *State) { s.RetriedAbove = true }, ReasonRetriedAbove},
		{"never when it would miss the deadline", func(s *State) { s.Deadline = start.Add(12 * time.Millisecond) }, ReasonNoTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := retriableState()
			c.change(&s)
			assertAction(t, budgetWithLatencies().Hedge(start, s), ActionGiveUp, c.reason)
		})
	}
	t.Run("never before latencies are known", func(t *testing.T) {
		assertAction(t, NewBudget(start, 20).Hedge(start, retriableState()), ActionGiveUp, ReasonNotHedged)
	})
}

// TestRetryProperties sends random requests with one budget.
func TestRetryProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		b, now := NewBudget(start, percent), start
		offered, resent := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap-ms")) * time.Millisecond)
			b.RecordRequest(now, false)
			offered++
			resent += sendUntilDone(t, b, now)
		}
		guaranteed := 0
		if percent > 0 {
			guaranteed = 1 + int(now.Sub(start)/guaranteedRetryInterval)
		}
		if limit := offered*percent/100 + guaranteed; resent > limit {
			t.Fatalf("%d of %d requests were resent, at most %d may be", resent, offered, limit)
		}
	})
}

// sendUntilDone sends one request until it is not retried, and returns how often it
// was resent.
func sendUntilDone(t *rapid.T, b *Budget, now time.Time) int {
	s := retriableState()
	s.Deadline = now.Add(time.Hour)
	s.Idempotent = rapid.Bool().Draw(t, "idempotent")
	resent, mayHaveRun := 0, false
	for {
		s.Outcome = rapid.SampledFrom([]Outcome{OutcomeDone, OutcomeNotRun, OutcomeUnknown}).Draw(t, "outcome")
		mayHaveRun = mayHaveRun || s.Outcome != OutcomeNotRun
		if rapid.Bool().Draw(t, "hedge") && b.Hedge(now, s).Kind == ActionHedge && b.SpendHedge(now) {
			resent++
			s.Attempts++
			if !s.Idempotent {
				t.Fatal("a request that is not idempotent was hedged")
			}
		}
		if b.Next(now, s).Kind != ActionRetry {
			return resent
		}
		resent++
		s.Attempts++
		s.MayHaveRun = mayHaveRun
		if mayHaveRun && !s.Idempotent {
			t.Fatal("a request that may have run and is not idempotent was resent")
		}
		if s.Attempts > defaultMaxAttempts {
			t.Fatalf("request was sent %d times", s.Attempts)
		}
	}
}

func BenchmarkNext(b *testing.B) {
	budget, s := NewBudget(start, 20), retriableState()
	b.ReportAllocs()
	for b.Loop() {
		budget.RecordRequest(start, false)
		budget.Next(start, s)
	}
}
