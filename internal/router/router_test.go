package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/retrier"
	_ "gentianbarrow.example/internal/seeder"
	"gentianbarrow.example/pkg/snapshotter"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// near returns n candidates of this node's data centre, and far of another in its region.
func near(n int) []Candidate { return some("near", n, 0) }

func far(n int) []Candidate { return some("far", n, 1) }

func some(name string, n, distance int) []Candidate {
	var all []Candidate
	for i := range n {
		all = append(all, Candidate{Host: fmt.Sprintf("%s-%d", name, i), Distance: distance, Slots: 10})
	}
	return all
}

func roster() Request { return Request{Service: "roster", Class: snapshotter.ClassShort} }

// visit sends one request to a host and records its answer.
func visit(table *Balancer, host string, now time.Time, r Result) {
	table.RecordStart(now.Add(-r.Latency), host)
	if r.Class == "" {
		r.Class = snapshotter.ClassShort
	}
	table.RecordResult(now, "roster", host, r)
}

func answered(latency time.Duration, inFlight int) Result {
	return Result{
		Outcome: retrier.OutcomeDone, Latency: latency,
		Load: &limiter.Load{Slots: 10, InFlight: inFlight, Service: latency},
	}
}

// share returns how many of 1000 choices fall on hosts that match.
func share(table *Balancer, now time.Time, r Request, candidates []Candidate, match func(c Candidate) bool) int {
	rnd, n := seeded(), 0
	for range 1000 {
		choice, _ := table.Choose(now, r, candidates, rnd)
		if choice.OK && match(candidates[choice.Index]) {
			n++
		}
	}
	return n
}

func isHost(host string) func(Candidate) bool {
	return func(c Candidate) bool { return c.Host == host }
}

func isFar(c Candidate) bool { return c.Distance > 0 }

func TestChoose(t *testing.T) {
	candidates := slices.Concat(near(5), far(3))
	t.Run("the own data centre comes first", func(t *testing.T) {
		assert.Equal(t, share(New(), at(0), roster(), candidates, isFar), 0)
	})
	t.Run("a full data centre spills", func(t *testing.T) {
		table := New()
		for _, c := range near(5) {
			visit(table, c.Host, at(0), answered(10*time.Millisecond, 30))
		}
		assert.Equal(t, share(table, at(1), roster(), candidates, isFar), 1000)
		assert.Equal(t, share(table, at(5000), roster(), candidates, isFar), 0, "old reports do not count")
	})
	t.Run("a data centre that refuses spills", func(t *testing.T) {
		table := New()
		for _, c := range near(5) {
			r := answered(0, 2)
			r.Outcome, r.RetryAfter = retrier.OutcomeNotRun, at(400)
			visit(table, c.Host, at(0), r)
		}
		assert.Equal(t, share(table, at(50), roster(), candidates, isFar), 1000)
		urgent := roster()
		urgent.Class = snapshotter.ClassUrgent
		assert.Equal(t, share(table, at(50), urgent, candidates, isFar), 0, "the refusal was of another class")
	})
	t.Run("tried and draining targets are not chosen", func(t *testing.T) {
		table, r := New(), roster()
		r.Tried = []string{"near-0"}
		all := near(3)
		all[1].Draining = true
		assert.Equal(t, share(table, at(0), r, all, isHost("near-2")), 1000)
	})
	t.Run("a target whose node says that it drains is not chosen", func(t *testing.T) {
		table := New()
		visit(table, "near-0", at(0), Result{Outcome: retrier.OutcomeNotRun, Load: &limiter.Load{Draining: true}})
		assert.Equal(t, share(table, at(3000), roster(), near(2), isHost("near-0")), 0)
		renewed := near(2)
		renewed[0].Incarnation = 2
		table.target("near-0").incarnation = 1
		assert.Assert(t, share(table, at(3000), roster(), renewed, isHost("near-0")) > 0, "a later incarnation starts afresh")
	})
	t.Run("a member that joined lately is not preferred", func(t *testing.T) {
		all := near(5)
		for i := range all {
			all[i].LearnedAt = at(-3_600_000)
		}
		all[0].LearnedAt = at(-1000)
		assert.Assert(t, share(New(), at(0), roster(), all, isHost("near-0")) < 400)
	})
	t.Run("a data centre heard of lately is preferred", func(t *testing.T) {
		all := far(2)
		all[0].LearnedAt, all[1].LearnedAt = at(-3_600_000), at(-100)
		assert.Equal(t, share(New(), at(0), roster(), all, isHost("far-1")), 1000)
	})
	t.Run("no candidate is left", func(t *testing.T) {
		r := roster()
		r.Tried = []string{"near-0"}
		choice, _ := New().Choose(at(0), r, near(1), seeded())
		assert.Assert(t, !choice.OK)
	})
	t.Run("where all refuse, the refusal that ends first counts", func(t *testing.T) {
		table := New()
		for i, c := range near(3) {
			r := answered(0, 10)
			r.Outcome, r.RetryAfter = retrier.OutcomeNotRun, at(900-200*i)
			visit(table, c.Host, at(0), r)
		}
		assert.Equal(t, share(table, at(1), roster(), near(3), isHost("near-2")), 1000)
	})
	t.Run("a cold target gets less", func(t *testing.T) {
		all := near(5)
		all[0].Cold = true
		table := New()
		for _, c := range all {
			table.RecordStart(at(0), c.Host)
		}
		assert.Assert(t, share(table, at(0), roster(), all, isHost("near-0")) < 200)
	})
}

func TestSlowness(t *testing.T) {
	// usual has every target answer at the usual speed for a while.
	usual := func() *Balancer {
		table := New()
		for i := range 200 {
			visit(table, fmt.Sprintf("near-%d", i%5), at(i), answered(10*time.Millisecond, 1))
		}
		return table
	}
	slow := func(table *Balancer, host string) {
		visit(table, host, at(200), answered(100*time.Millisecond, 1))
	}
	t.Run("a straggler is avoided by its first answer", func(t *testing.T) {
		table := usual()
		slow(table, "near-0")
		assert.Equal(t, share(table, at(201), roster(), near(5), isHost("near-0")), 0)
	})
	t.Run("a target that owes an answer is avoided", func(t *testing.T) {
		table := usual()
		table.RecordStart(at(200), "near-0")
		for _, c := range near(5)[1:] {
			table.RecordStart(at(255), c.Host)
		}
		assert.Equal(t, share(table, at(260), roster(), near(5), isHost("near-0")), 0)
	})
	t.Run("a target whose reports lie is judged by its answers", func(t *testing.T) {
		table := usual()
		r := answered(100*time.Millisecond, 0)
		r.Load.Service = time.Microsecond
		visit(table, "near-0", at(200), r)
		assert.Equal(t, share(table, at(201), roster(), near(5), isHost("near-0")), 0)
	})
	t.Run("a straggler is tried again", func(t *testing.T) {
		table := usual()
		slow(table, "near-0")
		assert.Assert(t, share(table, at(10_000), roster(), near(5), isHost("near-0")) > 0)
	})
	t.Run("what nodes report counts where this one has asked nothing for long", func(t *testing.T) {
		table := usual()
		for _, c := range near(5) {
			l := limiter.Load{Slots: 10, Service: 10 * time.Millisecond}
			switch c.Host {
			case "near-0":
				l.Service = 6 * time.Millisecond
			case "near-1":
				l.Service = 30 * time.Millisecond
			}
			table.RecordLoad(at(20_000), "roster", c.Host, l)
		}
		assert.Equal(t, share(table, at(20_100), roster(), near(5), isHost("near-1")), 0)
		assert.Assert(t, share(table, at(20_100), roster(), near(5), isHost("near-0")) > 500)
	})
	t.Run("most of a service is never avoided", func(t *testing.T) {
		table := usual()
		for i := range 4 {
			slow(table, fmt.Sprintf("near-%d", i))
		}
		for i := range 4 {
			host := fmt.Sprintf("near-%d", i)
			assert.Assert(t, share(table, at(201), roster(), near(5), isHost(host)) > 0, host)
		}
	})
	t.Run("a caller that goes away is not the target's fault", func(t *testing.T) {
		table := usual()
		visit(table, "near-0", at(200), Result{Outcome: retrier.OutcomeUnknown, Latency: time.Millisecond, Cancelled: true})
		assert.Assert(t, share(table, at(201), roster(), near(5), isHost("near-0")) > 0)
	})
	t.Run("a target that lets callers wait until they go is avoided", func(t *testing.T) {
		table := usual()
		visit(table, "near-0", at(200), Result{Outcome: retrier.OutcomeUnknown, Latency: 200 * time.Millisecond, Cancelled: true})
		assert.Equal(t, share(table, at(201), roster(), near(5), isHost("near-0")), 0)
	})
	t.Run("a target that fails is left alone for a while", func(t *testing.T) {
		table := usual()
		visit(table, "near-0", at(200), Result{Outcome: retrier.OutcomeUnknown})
		assert.Equal(t, share(table, at(220), roster(), near(5), isHost("near-0")), 0)
		assert.Assert(t, share(table, at(300), roster(), near(5), isHost("near-0")) > 0)
	})
}

func TestRoomOnly(t *testing.T) {
	table, all := New(), near(2)
	r := roster()
	r.Explain, r.FreeSlotOnly = true, true
	for _, c := range all {
		visit(table, c.Host, at(0), Result{
			Outcome: retrier.OutcomeDone, Latency: 10 * time.Millisecond, Load: &limiter.Load{Slots: 10, InFlight: 10},
		})
		for range 10 {
			table.RecordStart(at(0), c.Host)
		}
	}
	choice, e := table.Choose(at(1), r, all, rand.New(rand.NewPCG(1, 1)))
	assert.Assert(t, !choice.OK, "every target is full")
	for _, c := range e.Evaluations {
		assert.Equal(t, c.Rejection, RejectionNoFreeSlot)
	}
	r.FreeSlotOnly = false
	choice, _ = table.Choose(at(1), r, all, rand.New(rand.NewPCG(1, 1)))
	assert.Assert(t, choice.OK)
}

func TestExplanation(t *testing.T) {
	r := roster()
	r.Explain, r.Tried = true, []string{"near-0"}
	all := slices.Concat(near(3), far(1))
	all[1].Draining = true
	_, e := New().Choose(at(0), r, all, seeded())
	got := map[string]Rejection{}
	for _, c := range e.Evaluations {
		got[c.Host] = c.Rejection
	}
	assert.DeepEqual(t, got, map[string]Rejection{
		"near-0": RejectionTried, "near-1": RejectionDraining, "near-2": RejectionNone, "far-0": RejectionDistance,
	})
}

func TestForget(t *testing.T) {
	table := New()
	visit(table, "near-0", at(0), answered(time.Millisecond, 1))
	table.RecordStart(at(0), "near-1")
	table.ForgetIdle(at(1))
	assert.Equal(t, len(table.targets), 1, "a target with requests in flight is kept")
}

func TestChooseAllocatesNothing(t *testing.T) {
	table, all, rnd, r := New(), near(5), seeded(), roster()
	for _, c := range all {
		visit(table, c.Host, at(0), answered(10*time.Millisecond, 1))
	}
	assert.Equal(t, testing.AllocsPerRun(1000, func() { table.Choose(at(1), r, all, rnd) }), 0.0)
}

// TestChooseProperties sends random requests and answers through one table.
func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now, rnd := New(), start, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		all := slices.Concat(near(rapid.IntRange(0, 6).Draw(t, "near")), far(rapid.IntRange(0, 4).Draw(t, "far")))
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			for i := range all {
				all[i].Draining = rapid.IntRange(0, 9).Draw(t, "draining") == 0
			}
			sendOne(t, table, now, all, rnd)
		}
	})
}

func sendOne(t *rapid.T, table *Balancer, now time.Time, all []Candidate, rnd *rand.Rand) {
	r := roster()
	r.Explain = rapid.Bool().Draw(t, "explain")
	for _, c := range all {
		if rapid.IntRange(0, 4).Draw(t, "tried") == 0 {
			r.Tried = append(r.Tried, c.Host)
		}
	}
	choice, e := table.Choose(now, r, all, rnd)
	// A candidate that has refused is taken only for a first attempt, and only when it is as near as any.
	usable := slices.ContainsFunc(all, func(c Candidate) bool {
		if c.Draining || slices.Contains(r.Tried, c.Host) || table.targets[c.Host].saysDraining(now) {
			return false
		}
		lastResort := len(r.Tried) == 0 && c.Distance == all[0].Distance
		return lastResort || !table.targets[c.Host].refuses(now, r.Class)
	})
	if choice.OK != usable {
		t.Fatalf("chosen: %v, usable candidates: %v", choice.OK, usable)
	}
	if r.Explain && len(e.Evaluations) != len(all) {
		t.Fatalf("%d of %d candidates explained", len(e.Evaluations), len(all))
	}
	if !choice.OK {
		return
	}
	if c := all[choice.Index]; c.Draining || slices.Contains(r.Tried, c.Host) || c.Host != choice.Host {
		t.Fatalf("chose %+v", c)
	}
	table.RecordStart(now, choice.Host)
	table.RecordResult(now, r.Service, choice.Host, Result{
		Outcome: rapid.SampledFrom([]retrier.Outcome{retrier.OutcomeDone, retrier.OutcomeNotRun, retrier.OutcomeUnknown}).Draw(t, "outcome"),
		Class:   r.Class,
		Latency: time.Duration(rapid.IntRange(0, 1000).Draw(t, "latency-ms")) * time.Millisecond,
		Load:    &limiter.Load{Slots: 10, InFlight: rapid.IntRange(0, 20).Draw(t, "load"), Draining: rapid.IntRange(0, 9).Draw(t, "says") == 0},
	})
	if n := table.targets[choice.Host].inFlight; n != 0 {
		t.Fatalf("%d in flight after the only request ended", n)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{5, 50, 500} {
		b.Run(fmt.Sprintf("candidates-%d", n), func(b *testing.B) {
			table, all, rnd, r := New(), near(n), seeded(), roster()
			for _, c := range all {
				visit(table, c.Host, at(0), answered(10*time.Millisecond, 1))
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Choose(at(1), r, all, rnd)
			}
		})
	}
}

func BenchmarkStartedFinished(b *testing.B) {
	table, r := New(), answered(10*time.Millisecond, 1)
	r.Class = snapshotter.ClassShort
	b.ReportAllocs()
	for b.Loop() {
		table.RecordStart(at(0), "near-0")
		table.RecordResult(at(10), "roster", "near-0", r)
	}
}
