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

// Forward sends a request to the node at the address and returns when the
// header of the answer has come. The answer must be closed.
func (f *Forwarder) Forward(ctx context.Context, address string, r *exchanger.Request) *exchanger.Answer {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	s, err := f.begin(ctx, address, r)
	if err != nil {
		a := openFailure(ctx, r, err)
		cancel()
		return a
	}
	x := &outgoing{forwarder: f, address: address, ctx: ctx, cancel: cancel, stream: s, request: r}
	x.stop = context.AfterFunc(ctx, s.Abort)
	switch {
	case r.Body == nil:
		x.uploaded.Store(true)
	case holdsBody(r):
		x.holding = true
	default:
		x.uploads.Go(x.upload)
	}
	return x.answer()
}

// begin sends the request's header on a waiting stream or on a new one.
func (f *Forwarder) begin(ctx context.Context, address string, r *exchanger.Request) (*linker.Stream, error) {
	m := encodeRequest(r)
	traffic := trafficOf(r.Class)
	if traffic == linker.TrafficShort {
		if s := f.idle.take(address); s != nil {
			return s, resume(s, address, m)
		}
	}
	return f.cfg.Open(ctx, address, traffic, Kind, m, encoder.MaxHeaderBytes)
}

// resume starts another exchange on a stream.
func resume(s *linker.Stream, address string, m *wirepb.ForwardRequest) error {
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

// outgoing is one exchange as the caller's node sees it.
type outgoing struct {
	forwarder *Forwarder
	address   string

	ctx     context.Context
	cancel  context.CancelFunc
	stop    func() bool
	stream  *linker.Stream
	request *exchanger.Request
	uploads sync.WaitGroup
	// holding tells that the body waits until the peer asks for it: until then the request has not run.
	holding bool
	// uploaded tells that the whole request has been sent.
	uploaded atomic.Bool
	closing  sync.Once
}

// upload sends the body of the request. When the body fails the stream is
// ended, which cancels the request.
func (x *outgoing) upload() {
	withSender(x.stream, x.request.ContentLength, func(s *sender) {
		if err := copyChunks(s.w, x.request.Body, s.chunk, never); err != nil {
			x.stream.Abort()
			return
		}
		x.uploaded.Store(true)
	})
}

func never() bool { return false }

func (x *outgoing) answer() *exchanger.Answer {
	a, reuse, err := x.read()
	if err != nil {
		reason := lossReason(x.ctx, x.request, err)
		x.end(false, 0)
		if x.holding {
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
		chunks:   chunkReader{r: x.stream.Reader, want: bodyLength(x.request.Method, a.Status, a.ContentLength)},
	}
	return a
}

func (x *outgoing) read() (a *exchanger.Answer, reuse bool, err error) {
	var m wirepb.ForwardResponse
	if err := encoder.Read(x.stream.Reader, &m, encoder.MaxHeaderBytes); err != nil {
		return nil, false, err
	}
	if m.GetRequestId() != x.request.ID {
		return nil, false, &CrossedError{Want: x.request.ID, Got: m.GetRequestId()}
	}
	if m.GetSendBody() && x.holding {
		x.holding = false
		x.uploads.Go(x.upload)
		return x.read()
	}
	a, err = decodeAnswer(&m, time.Now())
	return a, m.GetReuse(), err
}

// end keeps the stream, on which an answer of received bytes came, for another exchange, or closes it, which cancels the
// request unless it has ended.
func (x *outgoing) end(reuse bool, received int64) {
	x.closing.Do(func() {
		defer x.cancel()
		intact := x.stop()
		if reuse {
			// The peer has the whole body: the goroutine that sent it is about to end.
			x.uploads.Wait()
		}
		if reuse && intact && x.uploaded.Load() && trafficOf(x.request.Class) == linker.TrafficShort {
			x.forwarder.idle.put(x.address, x.stream, received)
			return
		}
		x.stream.Abort()
	})
}

// answerBody ends the exchange when it is closed.
type answerBody struct {
	exchange *outgoing
	chunks   chunkReader
}

// Read returns io.EOF only when the body is whole.
func (b *answerBody) Read(p []byte) (int, error) { return b.chunks.Read(p) }

// Close ends the exchange.
func (b *answerBody) Close() error {
	b.exchange.end(b.chunks.whole() && b.chunks.reuse, b.chunks.got)
	return nil
}
