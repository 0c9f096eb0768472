package forwarder

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
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

// Handle serves the exchanges of one stream of a peer.
func (f *Forwarder) Handle(ctx context.Context, s *linker.Stream) {
	for {
		r, held, err := f.readRequest(s)
		if err != nil {
			f.rejected(err)
			return
		}
		x := &incoming{forwarder: f, stream: s, request: r, held: held, stop: func() bool { return false }}
		if !x.handle(ctx) || !x.next() {
			return
		}
	}
}

// rejected logs a message that no node of this system sends.
func (f *Forwarder) rejected(err error) {
	var (
		invalid   *InvalidError
		malformed *encoder.MalformedError
		tooLarge  *encoder.TooLargeError
	)
	if errors.As(err, &invalid) || errors.As(err, &malformed) || errors.As(err, &tooLarge) {
		f.cfg.Log.Write(logger.ForwardRejected, logger.Fields{Err: err})
	}
}

// readRequest also tells whether the peer holds the body until it is asked for.
func (f *Forwarder) readRequest(s *linker.Stream) (r *exchanger.Request, held bool, err error) {
	if err := s.SetReadDeadline(time.Now().Add(headerTimeout)); err != nil {
		return nil, false, err
	}
	var m wirepb.ForwardRequest
	if err := encoder.Read(s.Reader, &m, encoder.MaxHeaderBytes); err != nil {
		return nil, false, err
	}
	if err := s.SetReadDeadline(time.Time{}); err != nil {
		return nil, false, err
	}
	r, err = decodeRequest(&m, time.Now())
	return r, m.GetHoldsBody(), err
}

// incoming is one exchange as the target's node sees it.
type incoming struct {
	forwarder *Forwarder
	stream    *linker.Stream
	request   *exchanger.Request
	// held tells that the peer sends the body when it is asked for it.
	held     bool
	watching sync.WaitGroup
	// received tells that the whole request has come.
	received atomic.Bool
	// ending is set before the end of the answer is sent: only then may the
	// peer begin another exchange.
	ending atomic.Bool
	// reuse tells that the peer may do so. It is used by one goroutine.
	reuse bool
	// stop keeps the end of the request's context from ending the stream. It
	// returns false when that has begun.
	stop func() bool
	// peeked is set when the first byte of another exchange has come.
	peeked atomic.Bool
}

// handle runs the exchange and tells whether another one may follow.
func (x *incoming) handle(ctx context.Context) bool {
	done, ok := x.forwarder.cfg.Tracker.BeginPeer(x.request.Class)
	if !ok {
		a := x.forwarder.cfg.Refuse(x.request, exchanger.ReasonNodeDraining)
		x.send(a)
		a.Close()
		return false
	}
	defer done()
	x.serve(ctx)
	return x.reuse
}

func (x *incoming) serve(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, x.request.Deadline)
	defer cancel()
	// A write that waits for a peer that has gone must end too.
	x.stop = context.AfterFunc(ctx, x.stream.Abort)
	body := &chunkReader{r: x.stream.Reader, want: x.request.ContentLength}
	body.onEnd = func() {
		x.received.Store(true)
		x.watching.Go(func() { x.watch(cancel) })
	}
	if x.request.ContentLength == 0 {
		if x.gone() {
			x.stop()
			return
		}
		body.onEnd()
	} else {
		x.request.Body = body
	}
	a := x.takeIn(ctx, cancel, body)
	if a == nil {
		begun := time.Now()
		a = x.forwarder.cfg.Execute(ctx, x.request)
		if x.held && a.Outcome == retrier.OutcomeDone {
			x.forwarder.answers.add(x.request.Route, time.Since(begun))
		}
	}
	x.send(a)
	a.Close()
	if taken, ok := x.request.Body.(*spool); ok {
		taken.close()
	}
	x.stop()
}

// gone tells that the stream has ended already: the request and the end of its
// caller may have waited together on a busy link. It is not to run then.
func (x *incoming) gone() bool {
	_ = x.stream.SetReadDeadline(longAgo)
	_, err := x.stream.Reader.Peek(1)
	_ = x.stream.SetReadDeadline(time.Time{})
	var timeout net.Error
	open := err == nil || errors.As(err, &timeout) && timeout.Timeout()
	return !open
}

// longAgo makes a read return what is there.
var longAgo = time.Unix(1, 0)

// watch waits for the first byte after the request. One that comes before the
// end of the answer breaks the protocol; like the end of the stream it cancels
// the request.
func (x *incoming) watch(cancel context.CancelFunc) {
	_, err := x.stream.Reader.Peek(1)
	if err == nil && x.ending.Load() {
		x.peeked.Store(true)
		return
	}
	cancel()
}

// next waits for another exchange on the stream.
func (x *incoming) next() bool {
	_ = x.stream.SetReadDeadline(time.Now().Add(serverIdleTimeout))
	x.watching.Wait()
	_ = x.stream.SetWriteDeadline(time.Time{})
	return x.peeked.Load()
}

// endTimeout bounds the sending of an answer's last bytes.
const endTimeout = 30 * time.Second

// mayReuse is asked before the end of the answer is sent. From then on only the
// peer ends the stream, so that it is not used for another exchange in vain.
func (x *incoming) mayReuse() bool {
	x.reuse = x.received.Load() && !x.forwarder.cfg.Tracker.PeersClosed() && x.stop()
	x.ending.Store(x.reuse)
	if x.reuse {
		_ = x.stream.SetWriteDeadline(time.Now().Add(endTimeout))
	}
	return x.reuse
}

// send writes the answer. The stream is ended without an end chunk when the
// answer is cut, so the peer sees that.
func (x *incoming) send(a *exchanger.Answer) {
	length := int64(0)
	if a.Outcome == retrier.OutcomeDone {
		length = bodyLength(x.request.Method, a.Status, a.ContentLength)
	}
	withSender(x.stream, length, func(s *sender) {
		if err := x.write(s, a, length); err != nil {
			x.reuse = false
			fields := logger.Fields{RequestID: x.request.ID, Service: x.request.Service, Err: err}
			x.forwarder.cfg.Log.Write(logger.AnswerTruncated, fields)
		}
	})
}

// Awaited counts the requests whose bodies are awaited: they stand before a further one as well.
func (f *Forwarder) PendingBodies() int {
	intake := f.intake.Load()
	return intake.InFlight + intake.Queued
}

func (x *incoming) write(s *sender, a *exchanger.Answer, length int64) error {
	m := encodeAnswer(x.request, a, x.forwarder.cfg.Incarnation)
	if m.Load != nil {
		m.Load.Queued += uint32(x.forwarder.PendingBodies())
	}
	done := a.Outcome == retrier.OutcomeDone
	m.Reuse = !done && x.mayReuse()
	if err := encoder.Write(s.w, m, encoder.MaxHeaderBytes); err != nil {
		return err
	}
	if !done {
		return s.w.Flush()
	}
	if length < 0 || length > shortBodyBytes {
		if err := s.w.Flush(); err != nil {
			return err
		}
	}
	return copyChunks(s.w, a.Body, s.chunk, x.mayReuse)
}
