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

// headerTimeout bounds the time in which a peer must send the header of a request.
const headerTimeout = 5 * time.Second

// Handle serves the exchanges on a stream that a peer opened.
func (f *Forwarder) Handle(ctx context.Context, s *linker.Stream) {
	for {
		r, bodyHeld, err := f.readRequest(s)
		if err != nil {
			f.logRejected(err)
			return
		}
		x := &incoming{forwarder: f, stream: s, request: r, bodyHeld: bodyHeld, stopAbort: func() bool { return false }}
		if !x.handle(ctx) || !x.awaitNext() {
			return
		}
	}
}

// logRejected logs err if it reports a message that no node sends.
func (f *Forwarder) logRejected(err error) {
	var (
		invalid   *InvalidFieldError
		malformed *encoder.MalformedError
		tooLarge  *encoder.TooLargeError
	)
	if errors.As(err, &invalid) || errors.As(err, &malformed) || errors.As(err, &tooLarge) {
		f.cfg.Log.Write(logger.ForwardRejected, logger.Fields{Err: err})
	}
}

// readRequest reads the header of a request. bodyHeld tells whether the peer holds the body back
// until it is asked for.
func (f *Forwarder) readRequest(s *linker.Stream) (r *exchanger.Request, bodyHeld bool, err error) {
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
	age := f.requestAge(&m)
	if f.cfg.ObserveAge != nil {
		f.cfg.ObserveAge(age)
	}
	now := time.Now()
	r, err = decodeRequest(&m, now.Add(-age))
	if r != nil {
		r.Unread = age
		r.AbortAt = now.Add(abortAfter(&m))
	}
	return r, m.GetHoldsBody(), err
}

// incoming is an exchange on the target's node.
type incoming struct {
	forwarder *Forwarder
	stream    *linker.Stream
	request   *exchanger.Request
	// bodyHeld tells whether the peer sends the body only when it is asked for it.
	bodyHeld bool
	readers  sync.WaitGroup
	// requestReceived tells whether the whole request has been received.
	requestReceived atomic.Bool
	// answerEnding is set before the end of an answer that allows reuse is sent. The
	// peer may start another exchange only after that.
	answerEnding atomic.Bool
	// reusable tells whether the peer may start another exchange. It is used by one goroutine.
	reusable bool
	// stopAbort prevents the end of the request's context from aborting the stream. It
	// returns false if the abort has already started.
	stopAbort func() bool
	// nextStarted is set when the first byte of another exchange has been received.
	nextStarted atomic.Bool
}

// handle runs the exchange and tells whether another one may follow on the stream.
func (x *incoming) handle(ctx context.Context) bool {
	done, ok := x.forwarder.cfg.Tracker.BeginPeer(x.request.Class)
	if !ok {
		a := x.forwarder.cfg.Refuse(x.request, exchanger.ReasonNodeDraining)
		x.sendAnswer(ctx, a)
		a.Close()
		return false
	}
	defer done()
	x.serve(ctx)
	return x.reusable
}

func (x *incoming) serve(ctx context.Context) {
	if a := x.rejectLate(); a != nil {
		x.sendAnswer(ctx, a)
		a.Close()
		return
	}
	ctx, cancel := context.WithDeadline(ctx, x.request.AbortTime())
	defer cancel()
	// This also ends a write that waits for a peer that is gone.
	x.stopAbort = context.AfterFunc(ctx, x.stream.Abort)
	body := &chunkReader{r: x.stream.Reader, contentLength: x.request.ContentLength}
	body.onComplete = func() {
		x.requestReceived.Store(true)
		x.readers.Go(func() { x.watchStream(cancel) })
	}
	if x.request.ContentLength == 0 {
		if x.isStreamEnded() {
			x.stopAbort()
			return
		}
		body.onComplete()
	} else {
		x.request.Body = body
	}
	a := x.receiveBody(ctx, cancel, body)
	if a == nil {
		start := time.Now()
		a = x.forwarder.cfg.Execute(ctx, x.request)
		if x.bodyHeld && a.Outcome == retrier.OutcomeDone {
			x.forwarder.answerTimes.add(x.request.Route, time.Since(start))
		}
	}
	x.sendAnswer(ctx, a)
	a.Close()
	if spooled, ok := x.request.Body.(*spool); ok {
		spooled.close()
	}
	x.stopAbort()
}

// isStreamEnded tells whether the peer has already closed the stream. On a busy
// link the request and its cancellation can arrive together; the request must
// not run then.
func (x *incoming) isStreamEnded() bool {
	_ = x.stream.SetReadDeadline(longAgo)
	_, err := x.stream.Reader.Peek(1)
	_ = x.stream.SetReadDeadline(time.Time{})
	var netErr net.Error
	open := err == nil || errors.As(err, &netErr) && netErr.Timeout()
	return !open
}

// longAgo is a read deadline in the past: a read returns only bytes that have already been received.
var longAgo = time.Unix(1, 0)

// watchStream waits for the first byte after the request. A byte before the end of
// the answer violates the protocol and cancels the request, as does the end of
// the stream.
func (x *incoming) watchStream(cancel context.CancelFunc) {
	_, err := x.stream.Reader.Peek(1)
	if err == nil && x.answerEnding.Load() {
		x.nextStarted.Store(true)
		return
	}
	cancel()
}

// awaitNext waits for another exchange on the stream and tells whether one has started.
func (x *incoming) awaitNext() bool {
	_ = x.stream.SetReadDeadline(time.Now().Add(serverIdleTimeout))
	x.readers.Wait()
	_ = x.stream.SetWriteDeadline(time.Time{})
	return x.nextStarted.Load()
}

// answerEndTimeout bounds the time for sending the last bytes of an answer.
const answerEndTimeout = 30 * time.Second

// decideReuse decides, before the end of the answer is sent, whether the peer may
// reuse the stream. If so, only the peer ends the stream from then on, so that
// it does not start an exchange on a stream that is being closed.
func (x *incoming) decideReuse() bool {
	x.reusable = x.requestReceived.Load() && !x.forwarder.cfg.Tracker.PeersClosed() && x.stopAbort()
	x.answerEnding.Store(x.reusable)
	if x.reusable {
		_ = x.stream.SetWriteDeadline(time.Now().Add(answerEndTimeout))
	}
	return x.reusable
}

// sendAnswer sends the answer. If the answer is truncated, the stream ends without
// an end chunk, which tells the peer.
func (x *incoming) sendAnswer(ctx context.Context, a *exchanger.Answer) {
	length := int64(0)
	if a.Outcome == retrier.OutcomeDone {
		length = bodyLength(x.request.Method, a.Status, a.ContentLength)
	}
	withSendBuffers(x.stream, length, func(s *sendBuffers) {
		if err := x.writeAnswer(ctx, s, a, length); err != nil {
			x.reusable = false
			fields := logger.Fields{RequestID: x.request.ID, Service: x.request.Service, Err: err}
			x.forwarder.cfg.Log.Write(logger.AnswerTruncated, fields)
		}
	})
}

// PendingBodies returns the number of requests whose bodies are being received or
// wait to be asked for. They are ahead of a further request, too.
func (f *Forwarder) PendingBodies() int {
	load := f.bodyGate.Load()
	return load.InFlight + load.Queued
}

func (x *incoming) writeAnswer(ctx context.Context, s *sendBuffers, a *exchanger.Answer, length int64) error {
	m := encodeAnswer(x.request, a, x.forwarder.cfg.Incarnation)
	if m.Load != nil {
		m.Load.Queued += uint32(x.forwarder.PendingBodies())
	}
	done := a.Outcome == retrier.OutcomeDone
	m.Reuse = !done && x.decideReuse()
	if err := encoder.Write(s.w, m, encoder.MaxHeaderBytes); err != nil {
		return err
	}
	if !done {
		return s.w.Flush()
	}
	if length < 0 || length > singleFrameBodyBytes {
		if err := s.w.Flush(); err != nil {
			return err
		}
	}
	paced := x.forwarder.cfg.Link.Pace(length)
	mayGo := func(bytes int) error { return paced.Wait(ctx, bytes) }
	return sendChunks(s.w, a.Body, paced.Piece(s.chunk), mayGo, x.decideReuse)
}
