package shedder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRejectedShare(t *testing.T) {
	const tolerance = 20 * time.Millisecond
	share := func(standing time.Duration, r Request) float64 {
		return Lateness{Mean: standing, Standing: standing, Tolerance: tolerance}.RejectedShare(r)
	}
	t.Run("nothing is rejected within the tolerance", func(t *testing.T) {
		assert.Equal(t, share(tolerance, Request{}), 0.0)
	})
	t.Run("the share grows up to all new requests", func(t *testing.T) {
		assert.Equal(t, share(tolerance*3/2, Request{}), 0.5)
		assert.Equal(t, share(rejectAllFactor*tolerance, Request{}), 1.0)
	})
	t.Run("less urgent requests are rejected sooner, but not all of them", func(t *testing.T) {
		urgent, less, least := share(25*time.Millisecond, Request{}), share(25*time.Millisecond, Request{Priority: 1}), share(25*time.Millisecond, Request{Priority: 40})
		assert.Assert(t, urgent < less && less < least && least < 1, "%.2f %.2f %.2f", urgent, less, least)
	})
	t.Run("requests that work was spent on go before all new ones", func(t *testing.T) {
		assert.Equal(t, share(rejectAllFactor*tolerance, Request{IsStarted: true}), 0.0)
		assert.Equal(t, share(startedFactor*rejectAllFactor*tolerance, Request{IsStarted: true}), 1.0)
	})
}

func TestTolerance(t *testing.T) {
	assert.Equal(t, Tolerance(0), maxTolerance)
	assert.Equal(t, Tolerance(time.Millisecond), minTolerance)
	assert.Equal(t, Tolerance(320*time.Millisecond), 20*time.Millisecond)
	assert.Equal(t, Tolerance(time.Hour), maxTolerance)
}

// guardAt returns a guard that runs late by the given time and rejects all new requests.
func guardAt(late time.Duration, spread float64, reports *[]Report) *Guard {
	return &Guard{
		Lateness: func() Lateness { return Lateness{Mean: late, Standing: late, Tolerance: minTolerance} },
		Spread:   func() float64 { return spread },
		OnReport: func(r Report) { *reports = append(*reports, r) },
	}
}

func TestGuard(t *testing.T) {
	const late = 4 * minTolerance
	newRequest := Request{Deadline: start.Add(6 * time.Second)}
	t.Run("without a guard everything is admitted", func(t *testing.T) {
		var g *Guard
		assert.Assert(t, !g.Decide(start, newRequest).Rejected)
		assert.Assert(t, !g.IsShort())
	})
	t.Run("callers come back over as long a time as the shortage has lasted", func(t *testing.T) {
		latest := func(since time.Duration) time.Duration {
			g := guardAt(late, 0.99, new([]Report))
			var d Decision
			for at := time.Duration(0); at <= since; at += 100 * time.Millisecond {
				d = g.Decide(start.Add(at), Request{Deadline: start.Add(at + 6*time.Second)})
				assert.Assert(t, d.Rejected)
			}
			return d.RetryAt.Sub(start.Add(since))
		}
		assert.Assert(t, latest(0) <= turns*late)
		assert.Assert(t, latest(time.Second) > 900*time.Millisecond && latest(time.Second) <= time.Second)
		assert.Assert(t, latest(10*time.Second) <= 6*time.Second/patienceDivisor)
	})
	t.Run("a shortage is reported at its begin, once a second and at its end", func(t *testing.T) {
		var reports []Report
		g := guardAt(late, 0, &reports)
		for at := time.Duration(0); at < 1500*time.Millisecond; at += 100 * time.Millisecond {
			g.Decide(start.Add(at), newRequest)
			g.Tick(start.Add(at))
		}
		for at := 1500 * time.Millisecond; at < 5*time.Second; at += 100 * time.Millisecond {
			g.Tick(start.Add(at))
		}
		var phases []Phase
		rejected := 0
		for _, r := range reports {
			phases = append(phases, r.Phase)
			rejected += r.Rejected
		}
		assert.DeepEqual(t, phases, []Phase{PhaseBegan, PhaseGoesOn, PhaseGoesOn, PhaseEnded})
		assert.Equal(t, rejected, 15)
	})
}
