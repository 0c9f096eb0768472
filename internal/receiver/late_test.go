package receiver

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/acceptor"
	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/shedder"
	"gentianbarrow.example/pkg/snapshotter"
)

// TestLateRequestIsNotForwarded guards against a request that is sent on, or sent once
// more, although its caller has left or this node cannot return an answer in time.
func TestLateRequestIsNotForwarded(t *testing.T) {
	for name, c := range map[string]struct {
		age, left, delay time.Duration
		gone, cancelled  bool
		want             exchanger.Reason
	}{
		"in time":                              {left: time.Second, want: exchanger.ReasonNone},
		"the deadline has passed":              {age: time.Second, want: exchanger.ReasonNodeLate},
		"the node is late":                     {left: time.Second, delay: 600 * time.Millisecond, want: exchanger.ReasonNodeLate},
		"the caller has left":                  {age: callerCheckAge, left: time.Second, gone: true, want: exchanger.ReasonCancelled},
		"a caller is not looked for too early": {left: time.Second, gone: true, want: exchanger.ReasonNone},
		"the context has ended":                {left: time.Second, cancelled: true, want: exchanger.ReasonCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.cancelled {
					cancel()
				}
				call := &call{
					receiver: New(Config{Delay: func() time.Duration { return c.delay }, State: func() *blackboard.State { return &blackboard.State{} }}),
					caller:   acceptor.Caller{IsGone: func() bool { return c.gone }},
					record:   explainer.Record{Arrived: now.Add(-c.age)},
				}
				call.request = &exchanger.Request{Deadline: now.Add(c.left), CallerGone: call.isCallerGone}
				a := call.rejectLate(ctx)
				if c.want == exchanger.ReasonNone {
					assert.Assert(t, a == nil)
					return
				}
				assert.Assert(t, a != nil, "it is sent on")
				assert.Equal(t, a.Reason, c.want)
				assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
				assert.Equal(t, a.RetryAt.After(now), c.want == exchanger.ReasonNodeLate)
			})
		})
	}
}

// TestRequestLateInGrace guards against a request that a stopping node sends on so late
// that the end of the process cuts it off without an answer.
func TestRequestLateInGrace(t *testing.T) {
	const usual = 300 * time.Millisecond
	for name, c := range map[string]struct {
		untilStop time.Duration
		want      exchanger.Reason
	}{
		"a node that does not stop":        {0, exchanger.ReasonNone},
		"the forced stop is far away":      {2*usual + time.Millisecond, exchanger.ReasonNone},
		"the forced stop comes before it":  {2*usual - time.Millisecond, exchanger.ReasonNodeDraining},
		"the forced stop has been reached": {-time.Millisecond, exchanger.ReasonNodeDraining},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state := blackboard.State{}
				if c.untilStop != 0 {
					state.Lifecycle.ForceStopAt = time.Now().Add(c.untilStop)
				}
				rc := New(Config{State: func() *blackboard.State { return &state }})
				rc.stats.latency.Add("book", float64(usual))
				call := &call{receiver: rc, request: &exchanger.Request{Route: "book", Deadline: time.Now().Add(10 * time.Second)}}
				a := call.rejectLate(t.Context())
				if c.want == exchanger.ReasonNone {
					assert.Assert(t, a == nil)
					return
				}
				assert.Assert(t, a != nil, "it is sent on")
				assert.Equal(t, a.Reason, c.want)
				assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
			})
		})
	}
}

// TestNodeShortOfProcessorTime sends requests to a node for whose processor work waits. It
// guards against work for requests that will not be served in time, and against runs that
// fail because a call of theirs is rejected like a new request.
func TestNodeShortOfProcessorTime(t *testing.T) {
	const tolerance = 20 * time.Millisecond
	for name, c := range map[string]struct {
		late   time.Duration
		isCall bool
		gone   bool
		want   exchanger.Reason
	}{
		"a node that is in time":                   {late: tolerance, want: exchanger.ReasonNone},
		"a new request":                            {late: 3 * tolerance, want: exchanger.ReasonNodeLate},
		"a call that a run waits for":              {late: 3 * tolerance, isCall: true, want: exchanger.ReasonNone},
		"a call, at a node that is far too late":   {late: 10 * tolerance, isCall: true, want: exchanger.ReasonNodeLate},
		"a caller that has left":                   {late: 2 * tolerance, gone: true, want: exchanger.ReasonCancelled},
		"one that has left a node that is in time": {late: 0, gone: true, want: exchanger.ReasonNone},
	} {
		t.Run(name, func(t *testing.T) {
			guard := &shedder.Guard{
				Lateness: func() shedder.Lateness { return shedder.Lateness{Mean: c.late, Standing: c.late, Tolerance: tolerance} },
				Spread:   func() float64 { return 0.5 },
			}
			call := &call{receiver: New(Config{Guard: guard}), caller: acceptor.Caller{IsGone: func() bool { return c.gone }}}
			now := time.Now()
			a := call.admit(snapshotter.Route{}, snapshotter.Firm{}, now.Add(6*time.Second), c.isCall)
			if c.want == exchanger.ReasonNone {
				assert.Assert(t, a == nil)
				return
			}
			assert.Assert(t, a != nil, "it is admitted")
			assert.Equal(t, a.Reason, c.want)
			assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
		})
	}
}
