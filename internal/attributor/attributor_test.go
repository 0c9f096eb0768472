package attributor

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(startGuard + time.Duration(ms)*time.Millisecond) }

// host replays the requests at the node of one host: callers that mix two routes on
// pooled connections, and a target whose runs of one of them make calls on its own.
type host struct {
	attributor *Attributor
	rnd        *rand.Rand
	now        int
	// wrong counts the verdicts on calls and requests that were wrong.
	wrongCalls, wrongRequests, calls, requests int
}

func newHost() *host {
	return &host{attributor: New(start), rnd: rand.New(rand.NewPCG(1, 2))}
}

// play replays the given time with a run under way at every moment but the first.
func (h *host) play(ms int) {
	for end := h.now + ms; h.now < end; h.now += 20 {
		route := "position"
		if h.rnd.IntN(4) == 0 {
			route = "lodge"
		}
		h.requests++
		if h.attributor.infer(at(h.now), uint64(1+h.rnd.IntN(10)), route) == OriginTarget {
			h.wrongRequests++
		}
		h.attributor.RecordRunStart(at(h.now), "", route)
		if route == "position" {
			h.calls++
			if h.attributor.infer(at(h.now+5), uint64(100+h.rnd.IntN(3)), "capacity") == OriginCaller {
				h.wrongCalls++
			}
		}
		if h.now >= 100 {
			h.attributor.RecordRunEnd(at(h.now+10), "", "position")
		}
	}
}

func TestOrigins(t *testing.T) {
	t.Run("calls are recognised within two seconds, under load without a pause", func(t *testing.T) {
		h := newHost()
		h.play(2000)
		assert.Assert(t, h.attributor.IsCalled("capacity"))
		h.wrongCalls, h.calls = 0, 0
		h.play(4000)
		assert.Equal(t, h.wrongCalls, 0, "of %d calls", h.calls)
		assert.Equal(t, h.wrongRequests, 0, "of %d requests", h.requests)
	})
	t.Run("a request that comes while the target is idle is a caller's", func(t *testing.T) {
		h := newHost()
		h.play(2000)
		for range h.attributor.running {
			h.attributor.RecordRunEnd(at(h.now), "", "position")
		}
		assert.Equal(t, h.attributor.infer(at(h.now+int(idleGuard.Milliseconds())-1), 100, "capacity"), OriginTarget)
		assert.Equal(t, h.attributor.infer(at(h.now+int(idleGuard.Milliseconds())), 100, "capacity"), OriginCaller)
	})
	t.Run("a route that callers send beside others is not taken for a call", func(t *testing.T) {
		h := newHost()
		h.play(2000)
		assert.Equal(t, h.attributor.infer(at(h.now), 1, "capacity"), OriginCaller)
		assert.Assert(t, !h.attributor.IsCalled("capacity"))
	})
	t.Run("what arrives after a restart proves nothing", func(t *testing.T) {
		a := New(start)
		a.infer(start.Add(startGuard-1), 1, "position")
		assert.Assert(t, !a.routes["position"].proven)
	})
	t.Run("memory is bounded", func(t *testing.T) {
		a := New(start)
		for n := range 10 * maxConnections {
			a.infer(at(n), uint64(n), time.Duration(n%(2*maxRoutes)).String())
		}
		assert.Equal(t, len(a.routes), maxRoutes)
		assert.Assert(t, len(a.connections.recent)+len(a.connections.earlier) <= 2*maxConnections)
	})
}

func TestLineage(t *testing.T) {
	arrive := func(a *Attributor, id string) Origin {
		origin, _ := a.Arrive(at(0), Arrival{ID: id, Connection: 7, Route: "capacity", Service: "settle"})
		return origin
	}
	t.Run("a request that continues the id of a run is its call", func(t *testing.T) {
		a := New(start)
		a.RecordRunStart(at(0), "5df7df86ed401dfc", "position")
		assert.Equal(t, arrive(a, "5df7df86ed401dfc.8fb85f1932cdfe57"), OriginTarget)
		a.RecordRunStart(at(0), "5df7df86ed401dfc.8fb85f1932cdfe57", "position")
		assert.Equal(t, arrive(a, "5df7df86ed401dfc.8fb85f1932cdfe57.1"), OriginTarget)
	})
	t.Run("the run that makes a call is named", func(t *testing.T) {
		a := New(start)
		a.RecordRunStart(at(0), "5df7", "position")
		_, parent := a.Arrive(at(0), Arrival{ID: "5df7.8fb8", Route: "capacity", Service: "settle"})
		assert.Equal(t, parent, "5df7")
	})
	t.Run("other ids are callers'", func(t *testing.T) {
		a := New(start)
		a.RecordRunStart(at(0), "5df7", "position")
		for _, id := range []string{"5df7", "5df78fb8", "8fb8.5df7", "5df.7", ""} {
			assert.Equal(t, arrive(a, id), OriginCaller, "id %q", id)
		}
	})
	t.Run("a run that has ended makes no calls", func(t *testing.T) {
		a := New(start)
		a.RecordRunStart(at(0), "5df7", "position")
		a.RecordRunEnd(at(1), "5df7", "position")
		assert.Equal(t, arrive(a, "5df7.1"), OriginCaller)
	})
	t.Run("ids tell exactly which runs call how often", func(t *testing.T) {
		a := New(start)
		for n := range 20 {
			for _, route := range []string{"position", "lodge"} {
				a.RecordRunStart(at(100*n), route, route)
			}
			assert.Equal(t, arrive(a, "position.1"), OriginTarget)
			assert.Equal(t, arrive(a, "position.2"), OriginTarget)
			for _, route := range []string{"position", "lodge"} {
				a.RecordRunEnd(at(100*n+50), route, route)
			}
		}
		assertCalls(t, a.Estimates(at(2000)), "position", 1.9, 2.1)
		assertCalls(t, a.Estimates(at(2000)), "lodge", 0, 0)
		assert.DeepEqual(t, a.CalledServices(at(2000)), map[string][]string{"position": {"settle"}})
	})
}
