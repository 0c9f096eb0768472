package shedder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)

func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		left, delay time.Duration
		rejected    bool
	}{
		"a node that runs in time":                  {500 * time.Millisecond, 0, false},
		"a request whose deadline has passed":       {-time.Millisecond, 0, true},
		"a node that is a little late":              {500 * time.Millisecond, 100 * time.Millisecond, false},
		"a node that is too late for the request":   {500 * time.Millisecond, 250 * time.Millisecond, true},
		"the same for a request with more time":     {2500 * time.Millisecond, 250 * time.Millisecond, false},
		"a node that has stood still for 3 seconds": {2500 * time.Millisecond, 3 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := Decide(start, start.Add(c.left), c.delay, 0.5)
			assert.Equal(t, d.Rejected, c.rejected)
			assert.Equal(t, d.RetryAt.IsZero(), !c.rejected)
		})
	}
}

func TestRetryTimesAreSpread(t *testing.T) {
	retryAt := func(delay time.Duration, spread float64) time.Duration {
		return Decide(start, start, delay, spread).RetryAt.Sub(start)
	}
	assert.Equal(t, retryAt(0, 0), minRetryDelay/2)
	assert.Equal(t, retryAt(200*time.Millisecond, 0), 400*time.Millisecond)
	assert.Equal(t, retryAt(200*time.Millisecond, 1), 1200*time.Millisecond)
	assert.Equal(t, retryAt(time.Hour, 1), maxRetryDelay*3/2)
}

// crowd is a node whose tasks wait for one processor in the order in which they become
// ready, and requests that come faster than it can serve them.
type crowd struct {
	// serveCost is the processor time of one turn of a request, rejectCost that of a rejection.
	serveCost, rejectCost time.Duration
	interval, left        time.Duration
	shed                  bool
}

// play returns the share of the processor's capacity that ended in answers in time.
func (c crowd) play(lasts time.Duration) float64 {
	type task struct {
		arrived, ready time.Duration
		turn           int
	}
	var queue []task
	now, nextArrival := time.Duration(0), time.Duration(0)
	inTime := 0
	for now < lasts {
		for nextArrival <= now {
			queue = append(queue, task{arrived: nextArrival, ready: nextArrival, turn: 1})
			nextArrival += c.interval
		}
		if len(queue) == 0 {
			now = nextArrival
			continue
		}
		next := queue[0]
		queue = queue[1:]
		delay := now - next.ready
		deadline := start.Add(next.arrived + c.left)
		if c.shed && next.turn == 1 && Decide(start.Add(now), deadline, delay, 0).Rejected {
			now += c.rejectCost
			continue
		}
		now += c.serveCost
		switch {
		case next.turn < turns:
			queue = append(queue, task{arrived: next.arrived, ready: now, turn: next.turn + 1})
		case now <= next.arrived+c.left:
			inTime++
		}
	}
	return float64(inTime) * turns * float64(c.serveCost) / float64(lasts)
}

// TestCrowdAtOneNode replays callers that come at three times the rate that the
// processor of a node can serve.
func TestCrowdAtOneNode(t *testing.T) {
	c := crowd{
		serveCost: 250 * time.Microsecond, rejectCost: 50 * time.Microsecond,
		interval: time.Second / 3000, left: 500 * time.Millisecond,
	}
	assert.Assert(t, c.play(30*time.Second) < 0.05, "the load does not overwhelm a node that accepts everything")
	c.shed = true
	share := c.play(30 * time.Second)
	assert.Assert(t, share > 0.5, "%.2f of the capacity", share)
}
