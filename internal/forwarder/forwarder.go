// Package forwarder forwards requests from the node that accepted them to the node
// on their target's host. A stream carries one exchange at a time:
//
//	caller's node                          target's node
//	ForwardRequest, BodyChunk...   ──▶
//	                               ◀──    ForwardResponse, BodyChunk...
//	next ForwardRequest, or close  ──▶
//
// The body of a bulk request is held back until the target's node asks for it.
// That node receives few bodies at a time, so that their bytes do not delay
// short requests on its network link, and a refused request costs no body bytes:
//
//	ForwardRequest                 ──▶
//	                               ◀──    ForwardResponse (send_body)
//	BodyChunk...                   ──▶
//
// A request whose content length is 0 has no chunks. Any other body ends with a
// chunk that carries its total length, so that a truncated body cannot look
// complete. Closing the stream earlier cancels the request. An answer must carry
// the id of its request. A stream is reused only when the target's node has
// allowed it with the end of an answer and nothing of the exchange is left on
// either side.
package forwarder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"gentianbarrow.example/internal/drainer"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/pacer"
	"gentianbarrow.example/internal/shedder"
	"gentianbarrow.example/internal/timekeeper"
	"gentianbarrow.example/pkg/snapshotter"
)

// Kind is the kind of a stream that carries forwarded requests.
const Kind = "forward"

// singleFrameBodyBytes is the size up to which the body of an answer is sent in one frame with its header.
const singleFrameBodyBytes = 16 << 10

// TruncatedError reports that a body ended early or that its length is not the declared one.
type TruncatedError struct {
	// Got is the number of bytes received. Want is the expected length, or -1 if unknown.
	Got, Want int64
	Cause     error
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("body was cut after %d bytes (stated length %d): %v", e.Got, e.Want, e.Cause)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// CrossedError reports that an answer carries the id of another request.
type CrossedError struct{ Want, Got string }

func (e *CrossedError) Error() string {
	return fmt.Sprintf("answer belongs to request %q, not %q", e.Got, e.Want)
}

// InvalidFieldError reports a well-formed message that has a field with an invalid value.
type InvalidFieldError struct{ Field string }

func (e *InvalidFieldError) Error() string {
	return fmt.Sprintf("field %q of the message is not valid", e.Field)
}

// Config holds what a forwarder needs.
type Config struct {
	// Open starts a stream to a peer. It is linker.Linker.OpenWith in production.
	Open func(ctx context.Context, address string, traffic linker.Traffic, kind string, first proto.Message, limit int) (*linker.Stream, error)
	// Execute runs a request of a peer on this host's target.
	Execute func(ctx context.Context, r *exchanger.Request) *exchanger.Answer
	// Precheck returns the refusal of a request that is already known not to be served,
	// or nil. It is called before the request's body is asked for, with the number of
	// bodies that are being received and so go before it; nil means that all requests may be served.
	Precheck func(r *exchanger.Request, ahead int) *exchanger.Answer
	// Refuse answers a request of a peer that is not run.
	Refuse func(r *exchanger.Request, reason exchanger.Reason) *exchanger.Answer
	// Tracker counts the requests of peers and refuses them while the node drains.
	Tracker *drainer.Tracker
	// Incarnation is the incarnation of this node.
	Incarnation uint64
	// Clock is timekeeper.Uptime in production; nil means that the ages of requests are not told.
	Clock func() time.Duration
	// Delay returns how late this process runs; nil means never late.
	Delay func() time.Duration
	// Guard rejects requests of peers for which this node has no processor time; nil means
	// that all are admitted.
	Guard *shedder.Guard
	// ObserveAge is called with the age of each request of a peer when it is read; nil means no call.
	ObserveAge func(age time.Duration)
	// Link paces long answers; nil means that they are not paced.
	Link *pacer.Link
	Log  *logger.Logger
}

// Forwarder implements both ends of the protocol.
type Forwarder struct {
	cfg      Config
	idle     *idleStreams
	bodyGate *limiter.SyncGate
	// answerTimes records the times that answers to bulk requests take.
	answerTimes *answerTimes
	// ages estimates how long requests of peers were under way; nil without a clock.
	ages *timekeeper.AgeEstimator
}

// New returns a forwarder. Its Handle method must be registered with the linker under Kind.
func New(cfg Config) *Forwarder {
	f := &Forwarder{cfg: cfg, idle: newIdleStreams(), bodyGate: limiter.NewSyncGate(bodyLimits), answerTimes: newAnswerTimes()}
	if cfg.Clock != nil {
		f.ages = timekeeper.NewAgeEstimator(cfg.Clock)
	}
	return f
}

// trafficFor returns the traffic class of a request. Bulk requests and those with large answers have a
// class of their own, so that long bodies do not share a connection with short requests.
func trafficFor(r *exchanger.Request) linker.Traffic {
	if r.Class == snapshotter.ClassBulk || r.LargeAnswer {
		return linker.TrafficBulk
	}
	return linker.TrafficShort
}

// openFailure returns the answer to a request for which no stream could be opened.
func openFailure(ctx context.Context, r *exchanger.Request, err error) *exchanger.Answer {
	var unreachable *linker.UnreachableError
	if errors.As(err, &unreachable) {
		return exchanger.NotRun(exchanger.ReasonUnreachable, err)
	}
	return exchanger.Unknown(lossReason(ctx, r, err), err)
}

// lossReason returns the reason why an exchange ended without an answer.
func lossReason(ctx context.Context, r *exchanger.Request, err error) exchanger.Reason {
	var malformed *malformedAnswerError
	var crossed *CrossedError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || r.IsDeadlineReached(time.Now()):
		return exchanger.ReasonDeadline
	case ctx.Err() != nil:
		return exchanger.ReasonCancelled
	case errors.As(err, &crossed):
		return exchanger.ReasonCrossedAnswer
	case errors.As(err, &malformed):
		return exchanger.ReasonMalformedAnswer
	default:
		return exchanger.ReasonConnectionLost
	}
}

// remainingMicros returns the time until a deadline in microseconds, at least 0.
func remainingMicros(deadline time.Time) int64 {
	return max(time.Until(deadline).Microseconds(), 0)
}
