package experimenter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/snapshotter"
)

// The stated targets. Each is a ratio to a baseline of the same run.
const (
	// goodputKept is the part of the goodput at saturation that is kept beyond it.
	goodputKept = 0.95
	// adaptKept is the part of the goodput that is kept where lower limits don't pay.
	adaptKept = 0.9
	// uploadsCost bounds the short p99 beside uploads, as a multiple of that without.
	uploadsCost = 1.25
	// herdCost bounds the p99 of many entry nodes, as a multiple of round robin's.
	herdCost = 1.1
	// swingCost is how many points of the answers in time a steady firm may lose to another's swing.
	swingCost = 1.0
)

var testSeeds = []uint64{1, 2}

// eachSeed runs a subtest for each seed, all at once.
func eachSeed(t *testing.T, f func(t *testing.T, seed uint64)) {
	t.Parallel()
	for _, seed := range testSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f(t, seed)
		})
	}
}

func p99(s Scenario) time.Duration { return Run(s).Phase(PhaseAll).Percentile(99) }

func assertLess(t *testing.T, got, bound time.Duration, what string) {
	t.Helper()
	assert.Assert(t, got < bound, "%s: %v, bound %v", what, got, bound)
}

func assertTailBelowBaselines(t *testing.T, s Scenario) {
	t.Helper()
	got := p99(s)
	for _, b := range []struct {
		routing   Routing
		admission Admission
	}{
		{RouteRoundRobin, AdmitGate},
		{RouteLeastReported, AdmitGate},
		{RouteRoundRobin, AdmitFIFO},
		{RouteLeastReported, AdmitFIFO},
	} {
		assertLess(t, got, p99(With(s, b.routing, b.admission)), string(b.routing)+" "+string(b.admission))
	}
}

func TestSlowTarget(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) { assertTailBelowBaselines(t, SlowTarget(seed)) })
}

func TestLiar(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) { assertTailBelowBaselines(t, Liar(seed)) })
}

func TestHedgesShortenTheTail(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := SlowTarget(seed)
		without := Run(s).Phase(PhaseAll).Percentile(99.9)
		s.Hedges = true
		assertLess(t, Run(s).Phase(PhaseAll).Percentile(99.9), without, "p99.9 with hedges")
	})
}

func TestMostSlow(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := MostSlow(seed)
		got, baseline := Run(s).Phase(PhaseAll).Good, Run(With(s, RouteRoundRobin, AdmitGate)).Phase(PhaseAll).Good
		assert.Assert(t, got > baseline, "%d answers in time, round robin %d", got, baseline)
	})
}

func TestAllSlow(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := AllSlow(seed)
		fixed := s
		fixed.Limits.FixedSlots = true
		got := Run(s)
		good := float64(got.Phase("slow").Good)
		assert.Assert(t, good >= adaptKept*float64(Run(fixed).Phase("slow").Good), "fixed slots")
		assert.Assert(t, good >= float64(Run(With(s, RouteRoundRobin, AdmitFIFO)).Phase("slow").Good), "unbounded FIFO")
		before, after := got.Phase("before").GoodPercent(), got.Phase("after").GoodPercent()
		assert.Assert(t, after >= before-swingCost, "%f%% in time after, %f%% before", after, before)
	})
}

func TestContention(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := Contention(seed)
		fixed := s
		fixed.Limits.FixedSlots = true
		assert.Assert(t, Run(s).Phase("slow").Good > Run(fixed).Phase("slow").Good)
	})
}

// goodput returns the answers in time a second of a phase, uploads excluded.
func goodput(s Scenario, r *Report, phase string, seconds float64) float64 {
	sum := 0.0
	for _, f := range s.Flows {
		if f.Class != snapshotter.ClassBulk {
			sum += float64(r.Of(phase, f.Class, f.Firm).Good)
		}
	}
	return sum / seconds
}

func TestCrest(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) { assertCrest(t, Crest(seed, Roster)) })
}

func TestCrestOfStatusPage(t *testing.T) {
	t.Parallel()
	assertCrest(t, Crest(1, StatusPage))
}

func assertCrest(t *testing.T, s Scenario) {
	t.Helper()
	got := Run(s)
	usual, crest := goodput(s, got, "1x", 4), goodput(s, got, "4x", 4)
	assert.Assert(t, crest >= goodputKept*usual, "%f answers a second at the crest, %f before", crest, usual)
	for _, f := range s.Flows[1:] {
		before, at := got.Of("1x", f.Class, f.Firm).GoodPercent(), got.Of("4x", f.Class, f.Firm).GoodPercent()
		assert.Assert(t, at >= before-swingCost, "%s of %s: %f%% at the crest, %f%% before", f.Class, f.Firm, at, before)
	}
	fifo := With(s, RouteTable, AdmitFIFO)
	assert.Assert(t, crest > goodput(fifo, Run(fifo), "4x", 4), "unbounded FIFO")
}

func TestUploads(t *testing.T) {
	short := func(s Scenario) time.Duration {
		return Run(s).Of(PhaseAll, snapshotter.ClassShort, FirmFrothvik).Percentile(99)
	}
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := Uploads(seed)
		got, without := short(s), short(WithoutUploads(s))
		assertLess(t, got, time.Duration(uploadsCost*float64(without)), "beside uploads")
		assertLess(t, got, short(WithoutShares(s)), "without shares")
	})
}

func TestFleet(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{userHosts, 300, 3000} {
		t.Run(fmt.Sprintf("%d entry nodes", entries), func(t *testing.T) {
			t.Parallel()
			s := Fleet(1, entries)
			baseline := p99(With(s, RouteRoundRobin, AdmitGate))
			assertLess(t, p99(s), time.Duration(herdCost*float64(baseline)), "p99")
		})
	}
}

func TestRetryStorm(t *testing.T) {
	const requests = 1000
	// allowed is how many retries a budget gives: its share, and one at the start.
	const allowed = requests*retryPercent/100 + 1
	storm := Storm{Depth: Depth, Percent: retryPercent, Requests: requests, Interval: time.Millisecond}
	// last returns how often the last service ran.
	last := func(s Storm) int { return s.Executions()[Depth-1] }

	t.Run("with both markers only the last hop retries", func(t *testing.T) {
		assert.Assert(t, last(storm) <= requests+allowed)
	})
	t.Run("where failures lose their marker, hops add up", func(t *testing.T) {
		s := storm
		s.DropsBelow = true
		assert.Assert(t, last(s) <= requests+Depth*allowed)
	})
	t.Run("where both markers are lost, the budgets bound it", func(t *testing.T) {
		s := storm
		s.DropsBelow, s.DropsAbove = true, true
		bound := requests
		for range Depth {
			bound += bound*retryPercent/100 + 1
		}
		assert.Assert(t, last(s) <= bound)
	})
	t.Run("naive retries multiply", func(t *testing.T) {
		naive := Storm{Depth: Depth, Percent: -1, Requests: 1, Interval: time.Millisecond}
		assert.Assert(t, last(storm) < requests*last(naive))
	})
}

func TestRunIsDeterministic(t *testing.T) {
	first, second := Run(SlowTarget(7)), Run(SlowTarget(7))
	assert.DeepEqual(t, first.RunsByTarget, second.RunsByTarget)
	assert.Equal(t, first.Phase(PhaseAll).Percentile(99), second.Phase(PhaseAll).Percentile(99))
}
