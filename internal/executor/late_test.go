package executor

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

// TestLateRequestIsNotSent guards against a request that reaches the target although its
// deadline has passed or its caller has left, in a process that has not noticed that yet.
func TestLateRequestIsNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		gone   bool
		cancel bool
		want   exchanger.Reason
	}{
		"in time":               {want: exchanger.ReasonNone},
		"the caller has left":   {gone: true, want: exchanger.ReasonCancelled},
		"the context has ended": {cancel: true, want: exchanger.ReasonCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := &limitedTarget{limit: -1}
				e := newTestExecutor(target)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.cancel {
					cancel()
				}
				start := time.Now()
				a := e.Execute(ctx, &exchanger.Request{
					Method: http.MethodGet, Service: "roster", Class: snapshotter.ClassShort, Attempt: 1,
					Deadline: start.Add(time.Second), CallerGone: func() bool { return c.gone },
				})
				a.Close()
				assert.Equal(t, a.Reason, c.want)
				assert.Equal(t, a.Outcome == retrier.OutcomeNotRun, c.want != exchanger.ReasonNone)
				assert.Equal(t, target.countSince(start) == 0, c.want != exchanger.ReasonNone)
				load, _ := e.Load()
				assert.Equal(t, load.InFlight, 0, "the slot is free again")
			})
		})
	}
}

// TestDeadlinePassesBeforeSend guards against a deadline that passes between the slot and
// the first byte, while the process waits for the processor.
func TestDeadlinePassesBeforeSend(t *testing.T) {
	now := time.Now()
	r := &exchanger.Request{Deadline: now}
	assert.Equal(t, lateReason(t.Context(), r, now.Add(-time.Millisecond)), exchanger.ReasonNone)
	assert.Equal(t, lateReason(t.Context(), r, now), exchanger.ReasonDeadline)
}
