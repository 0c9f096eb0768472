package executor

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/dispatcher"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

const (
	// limitWindow is the span over which the requests to a limited target are counted,
	// limitFactor and limitSlack what the platform allows beyond the limit in it.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitGrace is the time after a limit was first stated in which it need not hold.
	limitGrace = 3 * time.Second
)

// limitedTarget is a target that states a rate limit in its answers.
type limitedTarget struct {
	mu sync.Mutex
	// limit in requests a second; negative means that none is stated. Guarded by mu.
	limit float64
	// leaving is set if the target states that it leaves. Guarded by mu.
	leaving bool
	// arrivals holds the time of each request that arrived. Guarded by mu.
	arrivals []time.Time
	work     time.Duration
}

func (l *limitedTarget) dispatch(ctx context.Context, _ string, _ *exchanger.Request) *exchanger.Answer {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, time.Now())
	l.mu.Unlock()
	select {
	case <-time.After(l.work):
	case <-ctx.Done():
		return exchanger.Unknown(exchanger.ReasonCancelled, ctx.Err())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return &exchanger.Answer{
		Outcome: retrier.OutcomeDone, Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("")),
		Report: &exchanger.TargetReport{IsLimited: l.limit >= 0, RateLimit: max(l.limit, 0), Leaving: l.leaving},
	}
}

func (l *limitedTarget) setLimit(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = perSecond
}

func (l *limitedTarget) countSince(t time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	first, _ := slices.BinarySearchFunc(l.arrivals, t, time.Time.Compare)
	return len(l.arrivals) - first
}

// assertLimitKept fails if the target got more requests than allowed in some window
// that begins at from or later.
func (l *limitedTarget) assertLimitKept(t *testing.T, from time.Time, limit float64) {
	t.Helper()
	allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
	l.mu.Lock()
	defer l.mu.Unlock()
	for first, begin := range l.arrivals {
		if begin.Before(from) {
			continue
		}
		end, _ := slices.BinarySearchFunc(l.arrivals, begin.Add(limitWindow), time.Time.Compare)
		assert.Assert(t, end-first <= allowed, "%d requests in %s from %s on, allowed %d", end-first, limitWindow, begin.Sub(from), allowed)
	}
}

// newTestExecutor returns an executor as on the users' platform, in front of the target.
func newTestExecutor(target *limitedTarget) *Executor {
	return New(Config{
		Host: "host-1",
		Target: func() blackboard.Target {
			return blackboard.Target{ID: "i-1", Record: blackboard.TargetRecord{Service: "roster", Phase: blackboard.TargetReady, Slots: 18}}
		},
		Service: func(name string) (snapshotter.Service, bool) {
			return snapshotter.Service{Name: name, Slots: 110, Connections: 110, Queue: 110, BulkPercent: 100}, true
		},
		Client:      dispatcher.Client{Dispatch: target.dispatch, Close: func() {}},
		InitialRate: limiter.RateUnknown,
		FixedSlots:  true, NoRamp: true, Order: limiter.OrderSoftDeadline,
	})
}

// offer sends requests at a steady rate for a time, and returns the answers when all
// have ended, in the order in which the requests were sent.
func offer(e *Executor, perSecond int, lasts time.Duration) []*exchanger.Answer {
	var group sync.WaitGroup
	answers := make([]*exchanger.Answer, int(lasts.Seconds()*float64(perSecond)))
	for n := range answers {
		now := time.Now()
		r := &exchanger.Request{
			ID: strconv.Itoa(n), Method: http.MethodGet, Service: "roster", Route: "read", Class: snapshotter.ClassShort, Attempt: 1,
			SoftDeadline: now.Add(400 * time.Millisecond), Deadline: now.Add(1200 * time.Millisecond),
		}
		group.Go(func() {
			ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
			defer cancel()
			answers[n] = e.Execute(ctx, r)
			answers[n].Close()
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	group.Wait()
	return answers
}

// TestTargetGetsMoreRequestsThanItsLimit guards against a node that sends its target
// what its slots carry although its answers state a lower rate.
func TestTargetGetsMoreRequestsThanItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 50
		target := &limitedTarget{limit: limit, work: 100 * time.Millisecond}
		begun := time.Now()
		offer(newTestExecutor(target), 150, 12*time.Second)
		target.assertLimitKept(t, begun.Add(limitGrace), limit)
	})
}

// TestLimitUnderFailure plays what may happen to a target with a limit and its node.
func TestLimitUnderFailure(t *testing.T) {
	for _, limit := range []float64{0, 2.5, 7, 50} {
		t.Run(fmt.Sprintf("a restarted node keeps a limit of %v that it has not read yet", limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := &limitedTarget{limit: limit, work: 100 * time.Millisecond}
				begun := time.Now()
				for range 3 {
					offer(newTestExecutor(target), 150, 4*time.Second)
				}
				target.assertLimitKept(t, begun.Add(limitGrace), limit)
			})
		})
	}
	t.Run("the target gets all it can run once it states no limit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			target := &limitedTarget{limit: 0, work: 100 * time.Millisecond}
			e := newTestExecutor(target)
			offer(e, 100, 6*time.Second)
			target.setLimit(-1)
			offer(e, 100, 5*time.Second)
			begun := time.Now()
			answers := offer(e, 100, 4*time.Second)
			assert.Equal(t, target.countSince(begun), len(answers))
		})
	})
	t.Run("what cannot be served is refused at once and named a time to return", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e := newTestExecutor(&limitedTarget{limit: 5, work: 100 * time.Millisecond})
			offer(e, 50, 4*time.Second)
			begun := time.Now()
			a := e.Execute(context.Background(), &exchanger.Request{
				ID: "late", Method: http.MethodGet, Service: "roster", Class: snapshotter.ClassShort, Attempt: 1,
				SoftDeadline: begun.Add(50 * time.Millisecond), Deadline: begun.Add(time.Second),
			})
			assert.Equal(t, a.Reason, exchanger.Reason(limiter.ReasonRateLimited))
			assert.Equal(t, time.Since(begun), time.Duration(0))
			assert.Assert(t, a.RetryAt.After(begun))
		})
	})
	t.Run("an upload that cannot start in time is refused before its body is received", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e := newTestExecutor(&limitedTarget{limit: 5, work: 100 * time.Millisecond})
			offer(e, 50, 4*time.Second)
			r := &exchanger.Request{
				ID: "upload", Method: http.MethodPost, Service: "roster", Class: snapshotter.ClassBulk, Attempt: 1,
				SoftDeadline: time.Now().Add(time.Second), Deadline: time.Now().Add(2 * time.Second),
			}
			assert.Assert(t, e.Precheck(r, 0) == nil)
			a := e.Precheck(r, 10)
			assert.Equal(t, a.Reason, exchanger.Reason(limiter.ReasonRateLimited))
			assert.Assert(t, a.RetryAt.After(time.Now()))
		})
	})
}
