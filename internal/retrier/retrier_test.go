package retrier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "gentianbarrow.example/internal/seeder"
)

var start = time.Unix(1_800_000_000, 0)

// sendable is a request that nothing forbids to send again.
func sendable() State {
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
		{"an answer ends it", func(s *State) { s.Outcome = OutcomeDone }, ActionFinish, ReasonNone},
		{"not run moves", func(*State) {}, ActionRetry, ReasonNone},
		{"not run moves a request that is not idempotent", func(s *State) { s.Idempotent = false }, ActionRetry, ReasonNone},
		{"unknown moves an idempotent request", func(s *State) { s.Outcome = OutcomeUnknown }, ActionRetry, ReasonNone},
		{"unknown stays otherwise", func(s *State) { s.Outcome, s.Idempotent = OutcomeUnknown, false }, ActionGiveUp, ReasonMayHaveRun},
		{"an earlier unknown counts", func(s *State) { s.MayHaveRun, s.Idempotent = true, false }, ActionGiveUp, ReasonMayHaveRun},
		{"a body that is gone", func(s *State) { s.Replayable = false }, ActionGiveUp, ReasonNotReplayable},
		{"too often", func(s *State) { s.Attempts = maxAttempts }, ActionGiveUp, ReasonMaxAttempts},
		{"no target left", func(s *State) { s.TargetsLeft = 0 }, ActionGiveUp, ReasonNoTarget},
		{"no time left", func(s *State) { s.Deadline = start.Add(10 * time.Millisecond) }, ActionGiveUp, ReasonNoTime},
		{"a deeper node decided", func(s *State) { s.RetriedBelow = true }, ActionGiveUp, ReasonRetriedBelow},
		{"part of a retry", func(s *State) { s.RetriedAbove = true }, ActionGiveUp, ReasonRetriedAbove},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := sendable()
			c.change(&s)
			assertAction(t, NewBudget(start, 20).Next(start, s), c.verb, c.reason)
		})
	}
	t.Run("no budget", func(t *testing.T) {
		b := NewBudget(start, 20)
		assertAction(t, b.Next(start, sendable()), ActionRetry, ReasonNone)
		assertAction(t, b.Next(start, sendable()), ActionGiveUp, ReasonNoBudget)
		assertAction(t, b.Next(start.Add(floorEvery), sendable()), ActionGiveUp, ReasonNoTime)
		late := sendable()
		late.Deadline = start.Add(time.Hour)
		assertAction(t, b.Next(start.Add(floorEvery), late), ActionRetry, ReasonNone)
	})
	t.Run("no budget at all", func(t *testing.T) {
		assertAction(t, NewBudget(start, 0).Next(start, sendable()), ActionGiveUp, ReasonNoBudget)
	})
}

func TestBurst(t *testing.T) {
	now := time.Unix(0, 0)
	spent := func(burst float64, hedge bool) int {
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
	assert.Equal(t, spent(4, false), 4)
	assert.Assert(t, spent(4, true) > 0, "a small burst leaves something for hedges")
	assert.Assert(t, spent(4, true) <= 2, "and half of it for retries")
}

func TestHedge(t *testing.T) {
	observed := func() *Budget {
		b := NewBudget(start, 20)
		for i := range 200 {
			b.RecordRequest(start, false)
			b.RecordLatency(time.Duration(i%20+1) * time.Millisecond)
		}
		return b
	}
	t.Run("starts when most attempts have ended", func(t *testing.T) {
		a := observed().Hedge(start, sendable())
		assertAction(t, a, ActionHedge, ReasonNone)
		assert.Assert(t, a.At.After(start.Add(10*time.Millisecond)))
		assert.Assert(t, a.At.Before(start.Add(40*time.Millisecond)))
	})
	t.Run("leaves tokens to retries", func(t *testing.T) {
		b, hedges := observed(), 0
		for hedges < 100 && b.SpendHedge(start) {
			hedges++
		}
		assert.Equal(t, float64(hedges), burstTokens-hedgeReserve)
		assertAction(t, b.Next(start, sendable()), ActionRetry, ReasonNone)
	})
	for _, c := range []struct {
		name   string
		change func(s *State)
		reason Reason
	}{
		{"never for a request that is not idempotent", func(s *State) { s.Idempotent = false }, ReasonNotHedged},
		{"never for a long one", func(s *State) { s.Bulk = true }, ReasonNotHedged},
		{"never without another target", func(s *State) { s.TargetsLeft = 0 }, ReasonNoTarget},
		{"never within a retry", func(s *State) { s.RetriedAbove = true }, ReasonRetriedAbove},
		{"never too late", func(s *State) { s.Deadline = start.Add(12 * time.Millisecond) }, ReasonNoTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := sendable()
			c.change(&s)
			assertAction(t, observed().Hedge(start, s), ActionGiveUp, c.reason)
		})
	}
	t.Run("never before latencies are known", func(t *testing.T) {
		assertAction(t, NewBudget(start, 20).Hedge(start, sendable()), ActionGiveUp, ReasonNotHedged)
	})
}

// TestRetryProperties plays random requests against one budget.
func TestRetryProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		b, now := NewBudget(start, percent), start
		offered, again := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap-ms")) * time.Millisecond)
			b.RecordRequest(now, false)
			offered++
			again += play(t, b, now)
		}
		floor := 0
		if percent > 0 {
			floor = 1 + int(now.Sub(start)/floorEvery)
		}
		if limit := offered*percent/100 + floor; again > limit {
			t.Fatalf("%d of %d requests were sent again, %d may be", again, offered, limit)
		}
	})
}

// play sends one request until the decision is not to, and returns how often it was sent again.
func play(t *rapid.T, b *Budget, now time.Time) int {
	s := sendable()
	s.Deadline = now.Add(time.Hour)
	s.Idempotent = rapid.Bool().Draw(t, "idempotent")
	again, mayHaveRun := 0, false
	for {
		s.Outcome = rapid.SampledFrom([]Outcome{OutcomeDone, OutcomeNotRun, OutcomeUnknown}).Draw(t, "outcome")
		mayHaveRun = mayHaveRun || s.Outcome != OutcomeNotRun
		if rapid.Bool().Draw(t, "hedge") && b.Hedge(now, s).Kind == ActionHedge && b.SpendHedge(now) {
			again++
			s.Attempts++
			if !s.Idempotent {
				t.Fatal("a request that is not idempotent was hedged")
			}
		}
		if b.Next(now, s).Kind != ActionRetry {
			return again
		}
		again++
		s.Attempts++
		s.MayHaveRun = mayHaveRun
		if mayHaveRun && !s.Idempotent {
			t.Fatal("a request that may have run and is not idempotent was sent again")
		}
		if s.Attempts > maxAttempts {
			t.Fatalf("sent %d times", s.Attempts)
		}
	}
}

func BenchmarkNext(b *testing.B) {
	budget, s := NewBudget(start, 20), sendable()
	b.ReportAllocs()
	for b.Loop() {
		budget.RecordRequest(start, false)
		budget.Next(start, s)
	}
}
