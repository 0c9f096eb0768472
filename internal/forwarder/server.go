package forwarder

import (
	"context"
	"sync"
	"time"

	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/wirepb"
)

// headerTimeout is how long a peer may take to send the first message.
const headerTimeout = 5 * time.Second

// closeTimeout is how long a peer may take to close a finished exchange.
const closeTimeout = 30 * time.Second

// Handle serves one stream of a peer.
func (f *Forwarder) Handle(ctx context.Context, s *linker.Stream) {
	r, err := f.readRequest(s)
	if err != nil {
		f.cfg.Log.Write(logger.ForwardRejected, logger.Fields{Err: err})
		return
	}
	x := &incoming{forwarder: f, stream: s, request: r}
	done, ok := f.cfg.Tracker.Begin(r.Class)
	if !ok {
		a := f.cfg.Refuse(r, exchanger.ReasonNodeDraining)
		x.send(a)
		a.Close()
		return
	}
	defer done()
	x.serve(ctx)
}

func (f *Forwarder) readRequest(s *linker.Stream) (*exchanger.Request, error) {
	if err := s.SetReadDeadline(time.Now().Add(headerTimeout)); err != nil {
		return nil, err
	}
	var m wirepb.ForwardRequest
	if err := encoder.Read(s.Reader, &m, encoder.MaxHeaderBytes); err != nil {
		return nil, err
	}
	if err := s.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return decodeRequest(&m, time.Now())
}

// incoming is one exchange as the target's node sees it.
type incoming struct {
	forwarder *Forwarder
	stream    *linker.Stream
	request   *exchanger.Request
	watching  sync.WaitGroup
}

func (x *incoming) serve(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, x.request.Deadline)
	defer cancel()
	// A write that waits for a peer that has gone must end too.
	stop := context.AfterFunc(ctx, x.stream.Abort)
	body := &chunkReader{r: x.stream.Reader, want: x.request.ContentLength}
	watch := func() { x.watching.Go(func() { x.watch(cancel) }) }
	if x.request.ContentLength == 0 {
		watch()
	} else {
		body.onEnd = watch
		x.request.Body = body
	}
	a := x.forwarder.cfg.Execute(ctx, x.request)
	x.send(a)
	a.Close()
	stop()
	// Ends reads of the request's body that are still under way.
	_ = x.stream.SetReadDeadline(time.Now().Add(closeTimeout))
	x.watching.Wait()
}

// watch cancels the request when the peer closes the stream or breaks the protocol.
func (x *incoming) watch(cancel context.CancelFunc) {
	_, _ = x.stream.Reader.ReadByte()
	cancel()
}

// send writes the answer. The stream is ended without an end chunk when the
// answer is cut, so the peer sees that.
func (x *incoming) send(a *exchanger.Answer) {
	length := int64(0)
	if a.Outcome == retrier.OutcomeDone {
		length = bodyLength(x.request.Method, a.Status, a.ContentLength)
	}
	withSender(x.stream, length, func(s *sender) {
		m := encodeAnswer(x.request, a, x.forwarder.cfg.Incarnation)
		if err := encoder.Write(s.w, m, encoder.MaxHeaderBytes); err != nil {
			return
		}
		if a.Outcome != retrier.OutcomeDone {
			_ = s.w.Flush()
			return
		}
		if length < 0 || length > shortBodyBytes {
			if err := s.w.Flush(); err != nil {
				return
			}
		}
		if err := copyChunks(s.w, a.Body, s.chunk); err != nil {
			x.forwarder.cfg.Log.Write(logger.AnswerTruncated, logger.Fields{RequestID: x.request.ID, Service: x.request.Service, Err: err})
		}
	})
}
