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
	// maxConcurrentBodies is how many bodies a node receives at once: one that is
	// being transferred, and one whose sender is asked for it in the meantime.
	maxConcurrentBodies = 2
	// maxQueuedBodies bounds the requests that wait until their bodies are asked for.
	maxQueuedBodies = 256
	// maxBodyWait is how long receiving a body may delay other bodies and its own
	// request. After that the body of a slow sender is streamed to the target.
	maxBodyWait = 1 * time.Second
	// maxSpoolBytes of a body are received before its request asks for a slot of the
	// target, so that no slot is held while bytes come over a slow link.
	maxSpoolBytes = 512 << 10
)

// answerTimeWeight is the weight of one request in the moving average of answer times.
const answerTimeWeight = 0.1

var bodyLimits = limiter.Limits{
	Slots: maxConcurrentBodies, Connections: maxConcurrentBodies, Queue: maxQueuedBodies, BulkPercent: 100,
	Order: limiter.OrderSoftDeadline, FixedSlots: true, NoRamp: true,
}

// answerTimes records how long the answers to bulk requests take after their bodies have been received.
type answerTimes struct {
	mu sync.Mutex
	// byRoute holds the mean times in nanoseconds. Guarded by mu.
	byRoute smoother.RouteMeans
}

func newAnswerTimes() *answerTimes {
	return &answerTimes{byRoute: smoother.RouteMeans{Weight: answerTimeWeight}}
}

func (t *answerTimes) add(route string, elapsed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byRoute.Add(route, float64(elapsed))
}

// expected returns the mean time for a route, or 0 if there is none yet.
func (t *answerTimes) expected(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, _ := t.byRoute.Mean(route)
	return time.Duration(mean)
}

// holdsBody tells whether the body of a request is held back until the peer asks for it.
func holdsBody(r *exchanger.Request) bool {
	return r.Class == snapshotter.ClassBulk && r.Body != nil
}

// receiveBody asks for a body that the peer holds back, and reads its start. It
// returns an answer if the request was refused or cancelled. The target has
// received nothing of the request in that case.
func (x *incoming) receiveBody(ctx context.Context, cancel context.CancelFunc, body io.Reader) *exchanger.Answer {
	if !x.bodyHeld || x.request.Body == nil {
		return nil
	}
	if check := x.forwarder.cfg.Precheck; check != nil {
		if a := check(x.request, x.forwarder.bodyGate.Load().InFlight); a != nil {
			return a
		}
	}
	var waitGroup sync.WaitGroup
	waitGroup.Go(func() {
		// The first byte comes only after the body has been asked for, but the stream can end at any time.
		if _, err := x.stream.Reader.Peek(1); err != nil {
			cancel()
		}
	})
	release, err := x.forwarder.bodyGate.Acquire(ctx, limiter.Request{
		Class: x.request.Class, Firm: x.request.Firm, Route: x.request.Route, Priority: x.request.Priority,
		SoftDeadline: x.bodyDeadline(), Deadline: x.request.Deadline, IsCall: x.request.IsCall,
	})
	if err != nil {
		return x.refuseBody(err)
	}
	defer release(limiter.Result{Outcome: retrier.OutcomeDone})
	bodyRequest := &wirepb.ForwardResponse{RequestId: x.request.ID, SendBody: true}
	if err := encoder.Write(x.stream, bodyRequest, encoder.MaxHeaderBytes); err != nil {
		return x.forwarder.cfg.Refuse(x.request, exchanger.ReasonCancelled)
	}
	spooled := newSpool()
	x.readers.Go(func() {
		waitGroup.Wait()
		spooled.fill(body)
	})
	timer := time.NewTimer(maxBodyWait)
	defer timer.Stop()
	select {
	case <-spooled.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		spooled.close()
		return x.forwarder.cfg.Refuse(x.request, exchanger.ReasonCancelled)
	}
	x.request.Body = spooled
	return nil
}

// bodyDeadline returns when the body must have been received for the answer to meet the request's
// soft deadline, or zero if there is none.
func (x *incoming) bodyDeadline() time.Time {
	if x.request.SoftDeadline.IsZero() {
		return time.Time{}
	}
	return x.request.SoftDeadline.Add(-x.forwarder.answerTimes.expected(x.request.Route))
}

// refuseBody refuses a request whose body has not been asked for.
func (x *incoming) refuseBody(err error) *exchanger.Answer {
	var refused *limiter.RefusedError
	if !errors.As(err, &refused) {
		return x.forwarder.cfg.Refuse(x.request, exchanger.ReasonNoTarget)
	}
	load := x.forwarder.bodyGate.Load()
	x.forwarder.cfg.Log.WriteRequest(logger.RequestNotAdmitted, logger.Fields{
		RequestID: x.request.ID, Service: x.request.Service, Route: x.request.Route, Reason: string(refused.Reason),
		Version:         x.request.ConfigVersion,
		Load:            fmt.Sprintf("%d bodies being received, %d queued", load.InFlight, load.Queued),
		RemainingMillis: max(time.Until(x.request.Deadline).Milliseconds(), 1),
	})
	a := x.forwarder.cfg.Refuse(x.request, exchanger.Reason(refused.Reason))
	a.RetryAt = refused.RetryAfter
	return a
}
