package attributor

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// playRuns replays runs of a calling route and of one without calls at a host: in seven
// of ten the first makes two calls, one after the other.
func playRuns(a *Attributor, rnd *rand.Rand, from, seconds int) {
	type event struct {
		at    time.Time
		apply func(now time.Time)
	}
	var events []event
	add := func(ms int, apply func(now time.Time)) { events = append(events, event{at(ms), apply}) }
	run := func(begin, length int, route string) {
		add(begin, func(now time.Time) { a.RecordRunStart(now, "", route) })
		add(begin+length, func(now time.Time) { a.RecordRunEnd(now, "", route) })
	}
	for ms := from; ms < from+seconds*1000; ms++ {
		if rnd.Float64() < 0.016 {
			length := 80 + rnd.IntN(120)
			if rnd.Float64() < 0.7 {
				for i := range 2 {
					add(ms+length/2+i*60, func(now time.Time) { a.calls.recordCall(now, "settle", "") })
				}
				length += 120
			}
			run(ms, length, "position")
		}
		if rnd.Float64() < 0.006 {
			run(ms, 120+rnd.IntN(140), "lodge")
		}
	}
	slices.SortStableFunc(events, func(x, y event) int { return x.at.Compare(y.at) })
	for _, e := range events {
		e.apply(e.at)
	}
}

func assertCalls(t *testing.T, list []Estimate, route string, low, high float64) {
	t.Helper()
	i := slices.IndexFunc(list, func(e Estimate) bool { return e.Route == route })
	assert.Assert(t, i >= 0, "no estimate of %s", route)
	assert.Assert(t, list[i].CallsPerRun >= low && list[i].CallsPerRun <= high, "%s: %.2f", route, list[i].CallsPerRun)
}

func TestCallsPerRun(t *testing.T) {
	t.Run("eight nodes together know within ten seconds which runs call", func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(3, 4))
		a := New(start)
		playRuns(a, rnd, 0, 10)
		for n := range 7 {
			b := New(start)
			playRuns(b, rnd, 0, 10)
			a.RecordOthers(at(10_000), strconv.Itoa(n), b.Estimates(at(10_000)))
		}
		list := a.calls.pooled(at(10_000), false)
		assertCalls(t, list, "position", 1.1, 1.7)
		assertCalls(t, list, "lodge", 0, minCallsPerRun)
		assert.DeepEqual(t, a.CalledServices(at(10_000)), map[string][]string{"position": {"settle"}})
	})
	t.Run("a node that has restarted knows it from the others", func(t *testing.T) {
		b := New(start)
		playRuns(b, rand.New(rand.NewPCG(3, 4)), 0, 30)
		a := New(at(30_000))
		a.RecordOthers(at(30_000), "b", b.Estimates(at(30_000)))
		assert.DeepEqual(t, a.CalledServices(at(30_000)), map[string][]string{"position": {"settle"}})
		assert.Equal(t, len(a.CalledServices(at(30_000).Add(otherExpiry))), 0)
	})
	t.Run("a version without calls is known within 40 seconds", func(t *testing.T) {
		a := New(start)
		rnd := rand.New(rand.NewPCG(3, 4))
		playRuns(a, rnd, 0, 20)
		for ms := 20_000; ms < 60_000; ms += 200 {
			a.RecordRunStart(at(ms), "", "position")
			a.RecordRunEnd(at(ms+150), "", "position")
		}
		assertCalls(t, a.Estimates(at(60_000)), "position", -0.2, 0.2)
	})
	t.Run("estimates of other nodes that cannot be are not taken over", func(t *testing.T) {
		a := New(start)
		a.RecordOthers(at(0), "b", []Estimate{
			{Route: "a", Service: "s", CallsPerRun: math.NaN(), Weight: 1},
			{Route: "b", Service: "s", CallsPerRun: 1, Weight: math.Inf(1)},
			{Route: "c", Service: "s", CallsPerRun: math.Inf(1), Weight: 1},
			{Route: "d", Service: "s", CallsPerRun: 1, Weight: 0},
		})
		assert.Equal(t, len(a.CalledServices(at(1))), 0)
	})
	t.Run("memory is bounded", func(t *testing.T) {
		a := New(start)
		for n := range 100 {
			a.RecordRunStart(at(n), "", strconv.Itoa(n))
			a.calls.recordCall(at(n), strconv.Itoa(n), "")
		}
		assert.Equal(t, len(a.calls.routes), maxRunRoutes)
		assert.Equal(t, len(a.calls.callProducts), maxCalledServices)
	})
	t.Run("routes that hardly run do not displace others", func(t *testing.T) {
		a := New(start)
		rnd := rand.New(rand.NewPCG(3, 4))
		for n := range 10 {
			playRuns(a, rnd, 2_000*n, 2)
			for i := range maxRunRoutes {
				route := strconv.Itoa(n*maxRunRoutes + i)
				a.RecordRunStart(at(2_000*n+1_990), "", route)
				a.RecordRunEnd(at(2_000*n+1_995), "", route)
			}
		}
		assert.Assert(t, slices.Contains(a.calls.routes, "position"))
		assert.Assert(t, slices.Contains(a.calls.routes, "lodge"))
	})
}
