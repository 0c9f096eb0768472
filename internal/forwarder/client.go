package forwarder

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/wirepb"
)

// Forward sends a request to the node at the address and returns when it has
// received the header of the answer. The caller must close the answer.
func (f *Forwarder) Forward(ctx context.Context, address string, r *exchanger.Request) *exchanger.Answer {
	ctx, cancel := context.WithDeadline(ctx, r.AbortTime())
	s, err := f.openStream(ctx, address, r)
	if err != nil {
		a := openFailure(ctx, r, err)
		cancel()
		return a
	}
	x := &outgoing{forwarder: f, address: address, ctx: ctx, cancel: cancel, stream: s, request: r}
	x.stopAbort = context.AfterFunc(ctx, s.Abort)
	switch {
	case r.Body == nil:
		x.uploaded.Store(true)
	case holdsBody(r):
		x.bodyHeld = true
	default:
		x.uploads.Go(x.upload)
	}
	return x.awaitAnswer()
}

// openStream sends the header of a request on an idle stream or on a new one.
func (f *Forwarder) openStream(ctx context.Context, address string, r *exchanger.Request) (*linker.Stream, error) {
	m := encodeRequest(r)
	f.stamp(m)
	traffic := trafficFor(r)
	if traffic == linker.TrafficShort {
		if s := f.idle.take(address); s != nil {
			return s, startExchange(s, address, m)
		}
	}
	return f.cfg.Open(ctx, address, traffic, Kind, m, encoder.MaxHeaderBytes)
}

// startExchange starts another exchange on an idle stream.
func startExchange(s *linker.Stream, address string, m *wirepb.ForwardRequest) error {
	var tooLarge *encoder.TooLargeError
	err := encoder.Write(s, m, encoder.MaxHeaderBytes)
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		s.Abort()
		return &linker.UnreachableError{Address: address, Cause: err}
	default:
		s.Abort()
		return &linker.InterruptedError{Address: address, Cause: err}
	}
}

// outgoing is an exchange on the caller's node.
type outgoing struct {
	forwarder *Forwarder
	address   string

	ctx       context.Context
	cancel    context.CancelFunc
	stopAbort func() bool
	stream    *linker.Stream
	request   *exchanger.Request
	uploads   sync.WaitGroup
	// bodyHeld tells whether the body is held back until the peer asks for it. Until then the request has not run.
	bodyHeld bool
	// uploaded tells whether the whole request has been sent.
	uploaded atomic.Bool
	endOnce  sync.Once
}

// upload sends the body of the request. If the body cannot be read, upload aborts the
// stream, which cancels the request.
func (x *outgoing) upload() {
	withSendBuffers(x.stream, x.request.ContentLength, func(s *sendBuffers) {
		if err := sendChunks(s.w, x.request.Body, s.chunk, atOnce, neverReuse); err != nil {
			x.stream.Abort()
			return
		}
		x.uploaded.Store(true)
	})
}

func neverReuse() bool { return false }

func (x *outgoing) awaitAnswer() *exchanger.Answer {
	a, reuse, err := x.readAnswer()
	if err != nil {
		reason := lossReason(x.ctx, x.request, err)
		x.end(false, 0)
		if x.bodyHeld {
			return exchanger.NotRun(reason, err)
		}
		return exchanger.Unknown(reason, err)
	}
	if a.Outcome != retrier.OutcomeDone {
		x.end(reuse, 0)
		return a
	}
	a.Body = &answerBody{
		exchange: x,
		chunks:   chunkReader{r: x.stream.Reader, contentLength: bodyLength(x.request.Method, a.Status, a.ContentLength)},
	}
	return a
}

func (x *outgoing) readAnswer() (a *exchanger.Answer, reuse bool, err error) {
	var m wirepb.ForwardResponse
	if err := encoder.Read(x.stream.Reader, &m, encoder.MaxHeaderBytes); err != nil {
		return nil, false, err
	}
	if m.GetRequestId() != x.request.ID {
		return nil, false, &CrossedError{Want: x.request.ID, Got: m.GetRequestId()}
	}
	if m.GetSendBody() && x.bodyHeld {
		x.bodyHeld = false
		x.uploads.Go(x.upload)
		return x.readAnswer()
	}
	a, err = decodeAnswer(&m, time.Now())
	return a, m.GetReuse(), err
}

// end keeps the stream for another exchange if it can be reused. Otherwise it closes the
// stream, which cancels the request unless it has ended. The argument received is
// the length of the answer's body in bytes.
func (x *outgoing) end(reuse bool, received int64) {
	x.endOnce.Do(func() {
		defer x.cancel()
		notAborted := x.stopAbort()
		if reuse {
			// The peer has received the whole body, so the goroutine that sent it ends soon.
			x.uploads.Wait()
		}
		if reuse && notAborted && x.uploaded.Load() && trafficFor(x.request) == linker.TrafficShort {
			x.forwarder.idle.put(x.address, x.stream, received)
			return
		}
		x.stream.Abort()
	})
}

// answerBody is the body of an answer. Closing it ends the exchange.
type answerBody struct {
	exchange *outgoing
	chunks   chunkReader
}

// Read returns io.EOF only when the body is complete.
func (b *answerBody) Read(p []byte) (int, error) { return b.chunks.Read(p) }

// Close ends the exchange.
func (b *answerBody) Close() error {
	b.exchange.end(b.chunks.isComplete() && b.chunks.reusable, b.chunks.receivedBytes)
	return nil
}
