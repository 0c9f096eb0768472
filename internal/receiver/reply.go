package receiver

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/retrier"
)

// The sizes of the buffers for copying answers.
const (
	copyBufferBytes      = 32 << 10
	shortCopyBufferBytes = 2 << 10
)

var (
	copyBuffers      = newBuffers(copyBufferBytes)
	shortCopyBuffers = newBuffers(shortCopyBufferBytes)
)

func newBuffers(size int) *sync.Pool {
	return &sync.Pool{New: func() any {
		b := make([]byte, size)
		return &b
	}}
}

// buffersFor returns the pool for a body of the given length, which is -1 when not known.
func buffersFor(length int64) *sync.Pool {
	if length >= 0 && length <= shortCopyBufferBytes {
		return shortCopyBuffers
	}
	return copyBuffers
}

// cleanupBody is the body of an answer. Close also detaches the request's body and
// cancels the attempt.
type cleanupBody struct {
	io.ReadCloser
	body   *attemptReader
	cancel context.CancelFunc
}

// Close ends the exchange.
func (b *cleanupBody) Close() error {
	b.body.detach()
	err := b.ReadCloser.Close()
	if b.cancel != nil {
		b.cancel()
	}
	return err
}

// reply sends the answer to the caller.
func (c *call) reply(a *exchanger.Answer) {
	c.record.Outcome, c.record.Reason = a.Outcome, a.Reason
	c.logAnswer(a)
	c.setHeaders(a)
	defer c.release(a)
	// An earlier answer on this connection may have left a write deadline that has passed.
	_ = c.control.SetWriteDeadline(time.Now().Add(callerIdleTimeout))
	if a.Outcome != retrier.OutcomeDone {
		c.writeRefusal(a)
		return
	}
	_ = c.control.EnableFullDuplex()
	c.w.WriteHeader(a.Status)
	sent, err := c.copyBody(a)
	if err == nil {
		c.receiver.recordSizes(c.record.Route, max(c.httpRequest.ContentLength, 0), sent)
	}
	if err != nil {
		c.receiver.cfg.Log.Write(logger.AnswerTruncated, logger.Fields{
			RequestID: c.record.RequestID, Service: c.record.Service, Host: a.TargetHost, Err: err,
		})
		c.record.Reason = exchanger.ReasonConnectionLost
		// The deferred calls run, then the server aborts the connection.
		panic(http.ErrAbortHandler)
	}
}

func (c *call) logAnswer(a *exchanger.Answer) {
	fields := logger.Fields{
		RequestID: c.record.RequestID, Service: c.record.Service, Route: c.record.Route,
		Host: a.TargetHost, Reason: string(a.Reason), Err: a.Err,
	}
	if a.Reason == exchanger.ReasonCrossedAnswer {
		c.receiver.cfg.Log.Write(logger.AnswerCrossed, fields)
		return
	}
	if a.Outcome == retrier.OutcomeUnknown && c.request != nil && !c.request.Idempotent {
		c.receiver.cfg.Log.Write(logger.RequestOutcomeUnknown, fields)
	}
}

func (c *call) setHeaders(a *exchanger.Answer) {
	h := c.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(c.receiver.cfg.Dialect.RequestID, c.record.RequestID)
	if c.receiver.cfg.Dialect.ReportsOutcome {
		c.setOutcomeHeaders(h, a)
	}
	if a.ContentLength >= 0 && a.Outcome == retrier.OutcomeDone {
		h.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	if c.receiver.cfg.Tracker.Closed() || !c.body.isComplete() {
		h.Set("Connection", "close")
	}
}

// setOutcomeHeaders adds the headers that report the outcome.
func (c *call) setOutcomeHeaders(h http.Header, a *exchanger.Answer) {
	h.Set(exchanger.HeaderOutcome, string(a.Outcome))
	if a.Reason != exchanger.ReasonNone {
		h.Set(exchanger.HeaderReason, string(a.Reason))
	}
	if a.TargetHost != "" {
		h.Set(exchanger.HeaderTarget, a.TargetHost)
	}
	if c.record.ConfigVersion != 0 {
		h.Set(exchanger.HeaderConfigVersion, strconv.FormatUint(c.record.ConfigVersion, 10))
	}
	if a.Outcome != retrier.OutcomeDone {
		h.Set(exchanger.HeaderRetried, "true")
	}
}

// writeRefusal answers a request that has no answer from a target.
func (c *call) writeRefusal(a *exchanger.Answer) {
	h := c.w.Header()
	d := &c.receiver.cfg.Dialect
	if value := d.RetryAfter(a, time.Now()); value != "" {
		h.Set("Retry-After", value)
	}
	if a.Reason == exchanger.ReasonAccessKeyUnknown {
		h.Set("Www-Authenticate", d.AccessKeyScheme)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(d.Status(a))
	if c.httpRequest.Method != http.MethodHead {
		_, _ = io.WriteString(c.w, string(a.Outcome)+": "+string(a.Reason)+"\n")
	}
}

// copyBody streams the body of the answer to the caller and returns how many bytes
// it sent. The error is nil only when all of the body was written.
func (c *call) copyBody(a *exchanger.Answer) (int64, error) {
	buffers := buffersFor(a.ContentLength)
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	streamed := a.ContentLength < 0
	answer := c.receiver.cfg.Link.Pace(a.ContentLength)
	piece := answer.Piece(*buf)
	sent := int64(0)
	for {
		n, err := a.Body.Read(piece)
		if n > 0 {
			if waitErr := answer.Wait(c.httpRequest.Context(), n); waitErr != nil {
				return sent, waitErr
			}
			if writeErr := c.write(piece[:n], streamed); writeErr != nil {
				return sent, writeErr
			}
		}
		sent += int64(n)
		if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
			return sent, nil
		}
		if err != nil {
			return sent, err
		}
	}
}

func (c *call) write(b []byte, flush bool) error {
	_ = c.control.SetWriteDeadline(time.Now().Add(callerIdleTimeout))
	if _, err := c.w.Write(b); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return c.control.Flush()
}

// release ends the exchange. The rest of a body that the caller is still sending is not read.
func (c *call) release(a *exchanger.Answer) {
	a.Close()
	if !c.body.isComplete() {
		c.source.stop()
	}
}
