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

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// near returns n candidates in this node's data centre, far n in another one of
// its region.
func near(n int) []Candidate { return makeCandidates("near", n, 0) }

func far(n int) []Candidate { return makeCandidates("far", n, 1) }

func makeCandidates(name string, n, distance int) []Candidate {
	var all []Candidate
	for i := range n {
		all = append(all, Candidate{Host: fmt.Sprintf("%s-%d", name, i), Distance: distance, Slots: 10})
	}
	return all
}

func rosterRequest() Request { return Request{Service: "roster", Class: snapshotter.ClassShort} }

// recordExchange records a request to a host and its result.
func recordExchange(balancer *Balancer, host string, now time.Time, r Result) {
	balancer.RecordStart(now.Add(-r.Latency), host)
	if r.Class == "" {
		r.Class = snapshotter.ClassShort
	}
	balancer.RecordResult(now, "roster", host, r)
}

func answeredResult(latency time.Duration, inFlight int) Result {
	return Result{
		Outcome: retrier.OutcomeDone, Latency: latency,
		Load: &limiter.Load{Slots: 10, InFlight: inFlight, Service: latency},
	}
}

// countChoices returns how many of 1000 choices are candidates that match.
func countChoices(balancer *Balancer, now time.Time, r Request, candidates []Candidate, match func(c Candidate) bool) int {
	rnd, n := newRand(), 0
	for range 1000 {
		choice, _ := balancer.Choose(now, r, candidates, rnd)
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
	t.Run("the node's own data centre is preferred", func(t *testing.T) {
		assert.Equal(t, countChoices(New(), at(0), rosterRequest(), candidates, isFar), 0)
	})
	t.Run("requests leave a full data centre", func(t *testing.T) {
		balancer := New()
		for _, c := range near(5) {
			recordExchange(balancer, c.Host, at(0), answeredResult(10*time.Millisecond, 30))
		}
		assert.Equal(t, countChoices(balancer, at(1), rosterRequest(), candidates, isFar), 1000)
		assert.Equal(t, countChoices(balancer, at(5000), rosterRequest(), candidates, isFar), 0, "old reports are ignored")
	})
	t.Run("requests leave a data centre that refuses", func(t *testing.T) {
		balancer := New()
		for _, c := range near(5) {
			r := answeredResult(0, 2)
			r.Outcome, r.RetryAfter = retrier.OutcomeNotRun, at(400)
			recordExchange(balancer, c.Host, at(0), r)
		}
		assert.Equal(t, countChoices(balancer, at(50), rosterRequest(), candidates, isFar), 1000)
		urgent := rosterRequest()
		urgent.Class = snapshotter.ClassUrgent
		assert.Equal(t, countChoices(balancer, at(50), urgent, candidates, isFar), 0, "the refusal was for another class")
	})
	t.Run("tried and draining targets are not chosen", func(t *testing.T) {
		balancer, r := New(), rosterRequest()
		r.Tried = []string{"near-0"}
		all := near(3)
		all[1].Draining = true
		assert.Equal(t, countChoices(balancer, at(0), r, all, isHost("near-2")), 1000)
	})
	t.Run("a target whose node reports draining is not chosen", func(t *testing.T) {
		balancer := New()
		recordExchange(balancer, "near-0", at(0), Result{Outcome: retrier.OutcomeNotRun, Load: &limiter.Load{Draining: true}})
		assert.Equal(t, countChoices(balancer, at(3000), rosterRequest(), near(2), isHost("near-0")), 0)
		renewed := near(2)
		renewed[0].Incarnation = 2
		balancer.target("near-0").incarnation = 1
		assert.Assert(t, countChoices(balancer, at(3000), rosterRequest(), renewed, isHost("near-0")) > 0, "a later incarnation starts without observations")
	})
	t.Run("a recently learned target in the same data centre is not preferred", func(t *testing.T) {
		all := near(5)
		for i := range all {
			all[i].LearnedAt = at(-3_600_000)
		}
		all[0].LearnedAt = at(-1000)
		assert.Assert(t, countChoices(New(), at(0), rosterRequest(), all, isHost("near-0")) < 400)
	})
	t.Run("a remote target with recent information is preferred", func(t *testing.T) {
		all := far(2)
		all[0].LearnedAt, all[1].LearnedAt = at(-3_600_000), at(-100)
		assert.Equal(t, countChoices(New(), at(0), rosterRequest(), all, isHost("far-1")), 1000)
	})
	t.Run("no untried candidate is left", func(t *testing.T) {
		r := rosterRequest()
		r.Tried = []string{"near-0"}
		choice, _ := New().Choose(at(0), r, near(1), newRand())
		assert.Assert(t, !choice.OK)
	})
	t.Run("if all refuse, the one whose backoff ends first is chosen", func(t *testing.T) {
		balancer := New()
		for i, c := range near(3) {
			r := answeredResult(0, 10)
			r.Outcome, r.RetryAfter = retrier.OutcomeNotRun, at(900-200*i)
			recordExchange(balancer, c.Host, at(0), r)
		}
		assert.Equal(t, countChoices(balancer, at(1), rosterRequest(), near(3), isHost("near-2")), 1000)
	})
	t.Run("a call that has been refused asks others that have refused", func(t *testing.T) {
		balancer, request := New(), rosterRequest()
		for _, c := range near(3) {
			r := answeredResult(0, 10)
			r.Outcome, r.RetryAfter = retrier.OutcomeNotRun, at(900)
			recordExchange(balancer, c.Host, at(0), r)
		}
		request.Tried = []string{"near-0", "near-1"}
		choice, _ := balancer.Choose(at(1), request, near(3), newRand())
		assert.Assert(t, !choice.OK)
		request.AsksRefusing = true
		assert.Equal(t, countChoices(balancer, at(1), request, near(3), isHost("near-2")), 1000)
	})
	t.Run("a refusal that concerns one route leaves the target to others", func(t *testing.T) {
		balancer := New()
		r := answeredResult(0, 2)
		r.Outcome, r.RetryAfter, r.RouteRefused = retrier.OutcomeNotRun, at(900), true
		recordExchange(balancer, "near-0", at(0), r)
		assert.Equal(t, countChoices(balancer, at(1), rosterRequest(), near(1), isHost("near-0")), 1000)
		assert.Assert(t, !balancer.target("near-0").isBackingOff(at(1), snapshotter.ClassShort, 0))
	})
	t.Run("a target whose node is short of processor time is not preferred", func(t *testing.T) {
		balancer := New()
		for _, c := range near(3) {
			r := answeredResult(50*time.Millisecond, 2)
			if c.Host == "near-0" {
				r.Load.NodeLateness = 60 * time.Millisecond
			}
			recordExchange(balancer, c.Host, at(0), r)
		}
		assert.Equal(t, countChoices(balancer, at(1), rosterRequest(), near(3), isHost("near-0")), 0)
		assert.Assert(t, countChoices(balancer, at(5000), rosterRequest(), near(3), isHost("near-0")) > 0, "old reports are ignored")
	})
	t.Run("a cold target is chosen less often", func(t *testing.T) {
		all := near(5)
		all[0].Cold = true
		balancer := New()
		for _, c := range all {
			balancer.RecordStart(at(0), c.Host)
		}
		assert.Assert(t, countChoices(balancer, at(0), rosterRequest(), all, isHost("near-0")) < 200)
	})
}

func TestSlowness(t *testing.T) {
	// balancerWithHistory has recorded 40 answers of usual latency from each target.
	balancerWithHistory := func() *Balancer {
		balancer := New()
		for i := range 200 {
			recordExchange(balancer, fmt.Sprintf("near-%d", i%5), at(i), answeredResult(10*time.Millisecond, 1))
		}
		return balancer
	}
	recordSlowAnswer := func(balancer *Balancer, host string) {
		recordExchange(balancer, host, at(200), answeredResult(100*time.Millisecond, 1))
	}
	t.Run("a straggler is avoided after its first slow answer", func(t *testing.T) {
		balancer := balancerWithHistory()
		recordSlowAnswer(balancer, "near-0")
		assert.Equal(t, countChoices(balancer, at(201), rosterRequest(), near(5), isHost("near-0")), 0)
	})
	t.Run("a target with an overdue answer is avoided", func(t *testing.T) {
		balancer := balancerWithHistory()
		balancer.RecordStart(at(200), "near-0")
		for _, c := range near(5)[1:] {
			balancer.RecordStart(at(255), c.Host)
		}
		assert.Equal(t, countChoices(balancer, at(260), rosterRequest(), near(5), isHost("near-0")), 0)
	})
	t.Run("slow answers outweigh a low reported service time", func(t *testing.T) {
		balancer := balancerWithHistory()
		r := answeredResult(100*time.Millisecond, 0)
		r.Load.Service = time.Microsecond
		recordExchange(balancer, "near-0", at(200), r)
		assert.Equal(t, countChoices(balancer, at(201), rosterRequest(), near(5), isHost("near-0")), 0)
	})
	t.Run("a straggler is chosen again after a while", func(t *testing.T) {
		balancer := balancerWithHistory()
		recordSlowAnswer(balancer, "near-0")
		assert.Assert(t, countChoices(balancer, at(10_000), rosterRequest(), near(5), isHost("near-0")) > 0)
	})
	t.Run("reports are used when this node's own observations are old", func(t *testing.T) {
		balancer := balancerWithHistory()
		for _, c := range near(5) {
			l := limiter.Load{Slots: 10, Service: 10 * time.Millisecond}
			switch c.Host {
			case "near-0":
				l.Service = 6 * time.Millisecond
			case "near-1":
				l.Service = 30 * time.Millisecond
			}
			balancer.RecordLoad(at(20_000), "roster", c.Host, l)
		}
		assert.Equal(t, countChoices(balancer, at(20_100), rosterRequest(), near(5), isHost("near-1")), 0)
		assert.Assert(t, countChoices(balancer, at(20_100), rosterRequest(), near(5), isHost("near-0")) > 500)
	})
	t.Run("targets are not avoided when most of the service is slow", func(t *testing.T) {
		balancer := balancerWithHistory()
		for i := range 4 {
			recordSlowAnswer(balancer, fmt.Sprintf("near-%d", i))
		}
		for i := range 4 {
			host := fmt.Sprintf("near-%d", i)
			assert.Assert(t, countChoices(balancer, at(201), rosterRequest(), near(5), isHost(host)) > 0, host)
		}
	})
	t.Run("a short cancelled attempt does not count against the target", func(t *testing.T) {
		balancer := balancerWithHistory()
		recordExchange(balancer, "near-0", at(200), Result{Outcome: retrier.OutcomeUnknown, Latency: time.Millisecond, Cancelled: true})
		assert.Assert(t, countChoices(balancer, at(201), rosterRequest(), near(5), isHost("near-0")) > 0)
	})
	t.Run("a long cancelled attempt counts against the target", func(t *testing.T) {
		balancer := balancerWithHistory()
		recordExchange(balancer, "near-0", at(200), Result{Outcome: retrier.OutcomeUnknown, Latency: 200 * time.Millisecond, Cancelled: true})
		assert.Equal(t, countChoices(balancer, at(201), rosterRequest(), near(5), isHost("near-0")), 0)
	})
	t.Run("a target that fails is avoided for a while", func(t *testing.T) {
		balancer := balancerWithHistory()
		recordExchange(balancer, "near-0", at(200), Result{Outcome: retrier.OutcomeUnknown})
		assert.Equal(t, countChoices(balancer, at(220), rosterRequest(), near(5), isHost("near-0")), 0)
		assert.Assert(t, countChoices(balancer, at(300), rosterRequest(), near(5), isHost("near-0")) > 0)
	})
}

func TestFreeSlotOnly(t *testing.T) {
	balancer, all := New(), near(2)
	r := rosterRequest()
	r.Explain, r.FreeSlotOnly = true, true
	for _, c := range all {
		recordExchange(balancer, c.Host, at(0), Result{
			Outcome: retrier.OutcomeDone, Latency: 10 * time.Millisecond, Load: &limiter.Load{Slots: 10, InFlight: 10},
		})
		for range 10 {
			balancer.RecordStart(at(0), c.Host)
		}
	}
	choice, e := balancer.Choose(at(1), r, all, rand.New(rand.NewPCG(1, 1)))
	assert.Assert(t, !choice.OK, "every target is full")
	for _, c := range e.Evaluations {
		assert.Equal(t, c.Rejection, RejectionNoFreeSlot)
	}
	r.FreeSlotOnly = false
	choice, _ = balancer.Choose(at(1), r, all, rand.New(rand.NewPCG(1, 1)))
	assert.Assert(t, choice.OK)
}

func TestExplanation(t *testing.T) {
	r := rosterRequest()
	r.Explain, r.Tried = true, []string{"near-0"}
	all := slices.Concat(near(3), far(1))
	all[1].Draining = true
	_, e := New().Choose(at(0), r, all, newRand())
	got := map[string]Rejection{}
	for _, c := range e.Evaluations {
		got[c.Host] = c.Rejection
	}
	assert.DeepEqual(t, got, map[string]Rejection{
		"near-0": RejectionTried, "near-1": RejectionDraining, "near-2": RejectionNone, "far-0": RejectionDistance,
	})
}

// TestExplanationIsBounded guards against records of requests that fill the memory of a
// node whose services have many targets.
func TestExplanationIsBounded(t *testing.T) {
	r := rosterRequest()
	r.Explain = true
	choice, e := New().Choose(at(0), r, near(400), newRand())
	assert.Equal(t, e.Candidates, 400)
	assert.Equal(t, len(e.Evaluations), maxEvaluations)
	compared := 0
	for _, c := range e.Evaluations {
		if c.Cost > 0 {
			compared++
		}
	}
	assert.Equal(t, compared, sampleSize)
	assert.Assert(t, slices.ContainsFunc(e.Evaluations, func(c Evaluation) bool { return c.Host == choice.Host && c.Rejection == RejectionNone }))
}

func TestForget(t *testing.T) {
	balancer := New()
	recordExchange(balancer, "near-0", at(0), answeredResult(time.Millisecond, 1))
	balancer.RecordStart(at(0), "near-1")
	balancer.ForgetIdle(at(1))
	assert.Equal(t, len(balancer.targets), 1, "a target with requests in flight is kept")
}

func TestChooseAllocatesNothing(t *testing.T) {
	balancer, all, rnd, r := New(), near(5), newRand(), rosterRequest()
	for _, c := range all {
		recordExchange(balancer, c.Host, at(0), answeredResult(10*time.Millisecond, 1))
	}
	assert.Equal(t, testing.AllocsPerRun(1000, func() { balancer.Choose(at(1), r, all, rnd) }), 0.0)
}

// TestChooseProperties sends random requests and results through one Balancer.
func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		balancer, now, rnd := New(), start, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		all := slices.Concat(near(rapid.IntRange(0, 6).Draw(t, "near")), far(rapid.IntRange(0, 4).Draw(t, "far")))
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			for i := range all {
				all[i].Draining = rapid.IntRange(0, 9).Draw(t, "draining") == 0
			}
			sendOne(t, balancer, now, all, rnd)
		}
	})
}

func sendOne(t *rapid.T, balancer *Balancer, now time.Time, all []Candidate, rnd *rand.Rand) {
	r := rosterRequest()
	r.Explain = rapid.Bool().Draw(t, "explain")
	for _, c := range all {
		if rapid.IntRange(0, 4).Draw(t, "tried") == 0 {
			r.Tried = append(r.Tried, c.Host)
		}
	}
	choice, e := balancer.Choose(now, r, all, rnd)
	// A candidate that has refused is chosen only for a first attempt, and only if none is nearer.
	usable := slices.ContainsFunc(all, func(c Candidate) bool {
		if c.Draining || slices.Contains(r.Tried, c.Host) || balancer.targets[c.Host].reportsDraining(now) {
			return false
		}
		lastResort := len(r.Tried) == 0 && c.Distance == all[0].Distance
		return lastResort || !balancer.targets[c.Host].isBackingOff(now, r.Class, r.Priority)
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
		t.Fatalf("chose unusable candidate %+v", c)
	}
	balancer.RecordStart(now, choice.Host)
	balancer.RecordResult(now, r.Service, choice.Host, Result{
		Outcome: rapid.SampledFrom([]retrier.Outcome{retrier.OutcomeDone, retrier.OutcomeNotRun, retrier.OutcomeUnknown}).Draw(t, "outcome"),
		Class:   r.Class,
		Latency: time.Duration(rapid.IntRange(0, 1000).Draw(t, "latency-ms")) * time.Millisecond,
		Load:    &limiter.Load{Slots: 10, InFlight: rapid.IntRange(0, 20).Draw(t, "load"), Draining: rapid.IntRange(0, 9).Draw(t, "reports-draining") == 0},
	})
	if n := balancer.targets[choice.Host].inFlight; n != 0 {
		t.Fatalf("%d in flight after the only request ended", n)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{5, 50, 500} {
		b.Run(fmt.Sprintf("candidates-%d", n), func(b *testing.B) {
			balancer, all, rnd, r := New(), near(n), newRand(), rosterRequest()
			for _, c := range all {
				recordExchange(balancer, c.Host, at(0), answeredResult(10*time.Millisecond, 1))
			}
			b.ReportAllocs()
			for b.Loop() {
				balancer.Choose(at(1), r, all, rnd)
			}
		})
	}
}

func BenchmarkStartedFinished(b *testing.B) {
	balancer, r := New(), answeredResult(10*time.Millisecond, 1)
	r.Class = snapshotter.ClassShort
	b.ReportAllocs()
	for b.Loop() {
		balancer.RecordStart(at(0), "near-0")
		balancer.RecordResult(at(10), "roster", "near-0", r)
	}
}
