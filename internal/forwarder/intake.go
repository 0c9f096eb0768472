package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/smoother"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

const (
	// intakeBodies is how many bodies a node takes in at once: one on the link,
	// and one whose sender is being asked meanwhile.
	intakeBodies = 2
	// intakeQueue bounds the requests that wait for that.
	intakeQueue = 256
	// intakeTime is how long a body keeps others waiting and its own request from the
	// target; a slow sender's is passed on as it comes.
	intakeTime = 1 * time.Second
	// spoolBytes of a body are taken in before its request asks for a slot of the
	// target, so that no slot is held while bytes come over a slow link.
	spoolBytes = 512 << 10
)

// answerWeight is the weight of one request in the smoothed time that answers take.
const answerWeight = 0.1

var intakeLimits = limiter.Limits{
	Slots: intakeBodies, Connections: intakeBodies, Queue: intakeQueue, BulkPercent: 100,
	Order: limiter.OrderSoftDeadline, FixedSlots: true, NoRamp: true,
}

// answerTimes says how long the answers to bulk requests take once their bodies have come.
type answerTimes struct {
	mu sync.Mutex
	// byRoute holds the times in nanoseconds. Guarded by mu.
	byRoute smoother.RouteMeans
}

func newAnswerTimes() *answerTimes {
	return &answerTimes{byRoute: smoother.RouteMeans{Weight: answerWeight}}
}

func (t *answerTimes) add(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byRoute.Add(route, float64(took))
}

// expected returns 0 while nothing is known of the route.
func (t *answerTimes) expected(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, _ := t.byRoute.Mean(route)
	return time.Duration(mean)
}

// holdsBody tells that the body of a request is sent only when it is asked for.
func holdsBody(r *exchanger.Request) bool {
	return r.Class == snapshotter.ClassBulk && r.Body != nil
}

// takeIn asks for a body that the peer holds and reads its start. It returns an
// answer when the request ends here: the target has seen nothing of it then.
func (x *incoming) takeIn(ctx context.Context, cancel context.CancelFunc, body io.Reader) *exchanger.Answer {
	if !x.held || x.request.Body == nil {
		return nil
	}
	var waiting sync.WaitGroup
	waiting.Go(func() {
		// The first byte comes when the body has been asked for, the end of the stream at any time.
		if _, err := x.stream.Reader.Peek(1); err != nil {
			cancel()
		}
	})
	release, err := x.forwarder.intake.Acquire(ctx, limiter.Request{
		Class: x.request.Class, Firm: x.request.Firm, Route: x.request.Route, Priority: x.request.Priority,
		SoftDeadline: x.bodyDue(), Deadline: x.request.Deadline,
	})
	if err != nil {
		return x.notTaken(err)
	}
	defer release(limiter.Result{Outcome: retrier.OutcomeDone})
	ask := &wirepb.ForwardResponse{RequestId: x.request.ID, SendBody: true}
	if err := encoder.Write(x.stream, ask, encoder.MaxHeaderBytes); err != nil {
		return x.forwarder.cfg.Refuse(x.request, exchanger.ReasonCancelled)
	}
	taken := newSpool()
	x.watching.Go(func() {
		waiting.Wait()
		taken.fill(body)
	})
	timer := time.NewTimer(intakeTime)
	defer timer.Stop()
	select {
	case <-taken.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		taken.close()
		return x.forwarder.cfg.Refuse(x.request, exchanger.ReasonCancelled)
	}
	x.request.Body = taken
	return nil
}

// bodyDue is when the body must have come for the answer to have its full worth; zero when nothing is known of that.
func (x *incoming) bodyDue() time.Time {
	if x.request.SoftDeadline.IsZero() {
		return time.Time{}
	}
	return x.request.SoftDeadline.Add(-x.forwarder.answers.expected(x.request.Route))
}

// notTaken refuses a request whose body has not been asked for.
func (x *incoming) notTaken(err error) *exchanger.Answer {
	var refused *limiter.RefusedError
	if !errors.As(err, &refused) {
		return x.forwarder.cfg.Refuse(x.request, exchanger.ReasonNoTarget)
	}
	load := x.forwarder.intake.Load()
	x.forwarder.cfg.Log.WriteRequest(logger.RequestNotAdmitted, logger.Fields{
		RequestID: x.request.ID, Service: x.request.Service, Route: x.request.Route, Reason: string(refused.Reason),
		Version:         x.request.ConfigVersion,
		Load:            fmt.Sprintf("%d bodies coming, %d awaited", load.InFlight, load.Queued),
		RemainingMillis: max(time.Until(x.request.Deadline).Milliseconds(), 1),
	})
	a := x.forwarder.cfg.Refuse(x.request, exchanger.Reason(refused.Reason))
	a.RetryAt = refused.RetryAfter
	return a
}
