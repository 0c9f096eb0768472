package receiver

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
)

// maxWholeAnswerBytes is the length up to which an answer is read to its end before any of
// it is sent to the caller. An answer that breaks off while it is sent takes the caller's
// connection with it, and so the answers to the requests that are pipelined behind it.
const maxWholeAnswerBytes = 32 << 10

// readWhole reads a short answer to its end. One that breaks off becomes an attempt
// without an answer, which may be followed by another one. An answer of unknown length is
// passed on as it comes if mayStream returns true.
func readWhole(ctx context.Context, r *exchanger.Request, a *exchanger.Answer, mayStream func() bool) *exchanger.Answer {
	switch {
	case a.Outcome != retrier.OutcomeDone || a.ContentLength > maxWholeAnswerBytes:
		return a
	case a.ContentLength < 0 && (r.Method == http.MethodHead || mayStream == nil || mayStream()):
		return a
	}
	// The spare bytes let the end of the body be seen without a larger buffer.
	body := bytes.NewBuffer(make([]byte, 0, max(a.ContentLength, 0)+bytes.MinRead))
	read, err := body.ReadFrom(io.LimitReader(a.Body, maxWholeAnswerBytes+1))
	if err == nil && read > maxWholeAnswerBytes {
		a.Body = &resumedBody{Reader: io.MultiReader(body, a.Body), Closer: a.Body}
		return a
	}
	a.Close()
	if err == nil {
		a.Body = io.NopCloser(body)
		if a.ContentLength < 0 {
			a.ContentLength = read
		}
		return a
	}
	broken := exchanger.Unknown(truncationReason(ctx, r), err)
	broken.TargetHost, broken.Load, broken.Leaving = a.TargetHost, a.Load, a.Leaving
	return broken
}

// resumedBody is a body of which a part has been read ahead.
type resumedBody struct {
	io.Reader
	io.Closer
}

// truncationReason returns why the end of an answer did not come.
func truncationReason(ctx context.Context, r *exchanger.Request) exchanger.Reason {
	switch {
	case ctx.Err() == nil:
		return exchanger.ReasonConnectionLost
	case r.IsDeadlineReached(time.Now()):
		return exchanger.ReasonDeadline
	default:
		return exchanger.ReasonCancelled
	}
}
