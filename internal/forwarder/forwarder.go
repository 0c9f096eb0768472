// Package forwarder carries requests from the node that took them to the node
// in front of their target. A stream carries one exchange at a time:
//
//	caller's node                          target's node
//	ForwardRequest, BodyChunk...   ──▶
//	                               ◀──    ForwardResponse, BodyChunk...
//	next ForwardRequest, or close  ──▶
//
// The body of a bulk request is held back until the target's node asks for it:
// it takes few of them at a time, so that their bytes do not stand in front of
// short requests on its link, and what it refuses costs no bytes.
//
//	ForwardRequest                 ──▶
//	                               ◀──    ForwardResponse (send_body)
//	BodyChunk...                   ──▶
//
// A request whose content length is 0 has no chunks. Each other body ends with a chunk that carries its total length, so that a body
// that was cut short cannot look whole. Closing the stream earlier cancels the
// request. An answer must carry the id of its request. A stream is used again
// only when the target's node has said so with the end of an answer and nothing
// of the exchange is left on either side.
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
	"gentianbarrow.example/pkg/snapshotter"
)

// Kind names the protocol on a stream.
const Kind = "forward"

// shortBodyBytes is the size up to which an answer travels in one frame with its header.
const shortBodyBytes = 16 << 10

// TruncatedError tells that a body ended before its end, or not at its stated length.
type TruncatedError struct {
	// Got counts the bytes that came; Want is -1 when the length is not known.
	Got, Want int64
	Cause     error
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("body was cut after %d bytes (stated length %d): %v", e.Got, e.Want, e.Cause)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// CrossedError tells that an answer belongs to another request.
type CrossedError struct{ Want, Got string }

func (e *CrossedError) Error() string {
	return fmt.Sprintf("answer belongs to request %q, not %q", e.Got, e.Want)
}

// InvalidError tells that a message is well formed but makes no sense.
type InvalidError struct{ Field string }

func (e *InvalidError) Error() string {
	return fmt.Sprintf("field %q of the message is not valid", e.Field)
}

// Config holds what a forwarder needs.
type Config struct {
	// Open starts a stream to a peer; linker.Linker.OpenWith in production.
	Open func(ctx context.Context, address string, traffic linker.Traffic, kind string, first proto.Message, limit int) (*linker.Stream, error)
	// Execute runs a request of a peer on this host's target.
	Execute func(ctx context.Context, r *exchanger.Request) *exchanger.Answer
	// Refuse answers a request of a peer that is not to be run.
	Refuse func(r *exchanger.Request, reason exchanger.Reason) *exchanger.Answer
	// Tracker counts requests of peers.
	Tracker *drainer.Tracker
	// Incarnation of this node.
	Incarnation uint64
	Log         *logger.Logger
}

// Forwarder is both ends of the protocol.
type Forwarder struct {
	cfg    Config
	idle   *idleStreams
	intake *limiter.SyncGate
	// answers of bulk requests.
	answers *answerTimes
}

// New returns a forwarder. Register Handle with the linker under Kind.
func New(cfg Config) *Forwarder {
	return &Forwarder{cfg: cfg, idle: newIdleStreams(), intake: limiter.NewSyncGate(intakeLimits), answers: newAnswerTimes()}
}

// trafficOf keeps long bodies off the connections of short requests.
func trafficOf(c snapshotter.Class) linker.Traffic {
	if c == snapshotter.ClassBulk {
		return linker.TrafficBulk
	}
	return linker.TrafficShort
}

func openFailure(ctx context.Context, r *exchanger.Request, err error) *exchanger.Answer {
	var unreachable *linker.UnreachableError
	if errors.As(err, &unreachable) {
		return exchanger.NotRun(exchanger.ReasonUnreachable, err)
	}
	return exchanger.Unknown(lossReason(ctx, r, err), err)
}

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

func remaining(deadline time.Time) int64 {
	return max(time.Until(deadline).Microseconds(), 0)
}
