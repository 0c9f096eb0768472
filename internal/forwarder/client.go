package forwarder

import (
	"context"
	"sync"
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
	s, err := f.cfg.Open(ctx, address, trafficOf(r.Class), Kind, encodeRequest(r), encoder.MaxHeaderBytes)
	if err != nil {
		a := openFailure(ctx, err)
		cancel()
		return a
	}
	x := &outgoing{ctx: ctx, cancel: cancel, stream: s, request: r}
	x.stop = context.AfterFunc(ctx, s.Abort)
	if r.Body != nil {
		x.uploads.Go(x.upload)
	}
	return x.answer()
}

// outgoing is one exchange as the caller's node sees it.
type outgoing struct {
	ctx     context.Context
	cancel  context.CancelFunc
	stop    func() bool
	stream  *linker.Stream
	request *exchanger.Request
	uploads sync.WaitGroup
	closing sync.Once
}

// upload sends the body of the request. When the body fails the stream is
// ended, which cancels the request.
func (x *outgoing) upload() {
	withSender(x.stream, x.request.ContentLength, func(s *sender) {
		if err := copyChunks(s.w, x.request.Body, s.chunk); err != nil {
			x.stream.Abort()
		}
	})
}

func (x *outgoing) answer() *exchanger.Answer {
	a, err := x.read()
	if err != nil {
		reason := lossReason(x.ctx, err)
		x.end()
		return exchanger.Unknown(reason, err)
	}
	if a.Outcome != retrier.OutcomeDone {
		x.end()
		return a
	}
	a.Body = &answerBody{
		exchange: x,
		chunks:   chunkReader{r: x.stream.Reader, want: bodyLength(x.request.Method, a.Status, a.ContentLength)},
	}
	return a
}

func (x *outgoing) read() (*exchanger.Answer, error) {
	var m wirepb.ForwardResponse
	if err := encoder.Read(x.stream.Reader, &m, encoder.MaxHeaderBytes); err != nil {
		return nil, err
	}
	if m.GetRequestId() != x.request.ID {
		return nil, &CrossedError{Want: x.request.ID, Got: m.GetRequestId()}
	}
	return decodeAnswer(&m, time.Now())
}

// end closes the stream, which cancels the request unless it has ended.
func (x *outgoing) end() {
	x.closing.Do(func() {
		x.stop()
		x.stream.Abort()
		x.cancel()
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
	b.exchange.end()
	return nil
}
