package acceptor

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxBufferedBytes is how much of an answer of unknown length is buffered. An answer that
// ends within it is sent with a Content-Length instead of in chunks.
const maxBufferedBytes = 2 << 10

// ConnectionClosedError reports that the caller's connection has ended, or that the request's body is read after its answer.
type ConnectionClosedError struct{}

func (*ConnectionClosedError) Error() string { return "the caller's connection has ended" }

// exchange is a request and the http.ResponseWriter of its answer.
type exchange struct {
	conn    *conn
	request *http.Request
	cancel  context.CancelFunc
	body    *requestBody
	// sequence numbers the requests of the connection from 1.
	sequence int
	// previousDone is closed when all earlier answers are complete, done when this one is.
	previousDone, done chan struct{}

	header http.Header
	// headerMu is held while the header or "100 Continue" is written.
	headerMu sync.Mutex
	status   int
	// contentLength is the declared length of the answer, or -1 if unknown.
	contentLength int64
	written       int64
	// buffered is the start of an answer of unknown length.
	buffered []byte
	// headerSent tells whether the header has been written.
	headerSent bool
	chunked    bool
	// closesConn tells whether the connection is closed after this answer.
	closesConn bool
	failed     bool
}

// run handles the request and completes its answer.
func (x *exchange) run() {
	defer x.finish()
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		x.failed = true
		if x.conn.server.OnPanic != nil && v != http.ErrAbortHandler { //nolint:errorlint // net/http panics with the value itself
			x.conn.server.OnPanic(v)
		}
	}()
	x.conn.server.Handler.ServeHTTP(x, x.request)
}

// finish completes the answer, or aborts the connection if the answer is incomplete.
func (x *exchange) finish() {
	if !x.failed {
		x.failed = x.complete() != nil
	}
	x.cancel()
	x.body.closeRead()
	if x.failed {
		if x.endsWithConn() {
			x.conn.reset()
		}
		x.conn.abort()
	} else if x.closesConn {
		x.conn.interruptRead()
	}
	close(x.done)
	x.conn.endRequest()
}

// complete sends the rest of the answer.
func (x *exchange) complete() error {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if !x.headerSent && x.contentLength < 0 {
		x.contentLength = int64(len(x.buffered))
	}
	if err := x.sendHeader(); err != nil {
		return err
	}
	if x.contentLength >= 0 && x.written != x.contentLength && x.hasBody() {
		return io.ErrUnexpectedEOF
	}
	if x.chunked {
		if _, err := x.conn.w.WriteString("0\r\n\r\n"); err != nil {
			return err
		}
	}
	return x.conn.w.Flush()
}

// Header returns the header of the answer.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader sets the status, which is sent with the first bytes of the body.
func (x *exchange) WriteHeader(status int) {
	if x.status != 0 {
		return
	}
	x.status = status
	if n, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		x.contentLength = n
	}
	x.header.Del("Content-Length")
	x.header.Del("Transfer-Encoding")
}

// endsWithConn tells whether only the end of the connection marks the end of the answer.
func (x *exchange) endsWithConn() bool {
	return x.headerSent && x.contentLength < 0 && !x.chunked && x.hasBody()
}

// hasBody tells whether an answer with this status to this method has a body.
func (x *exchange) hasBody() bool {
	return x.request.Method != http.MethodHead && x.status != http.StatusNoContent && x.status != http.StatusNotModified
}

// Write sends bytes of the body.
func (x *exchange) Write(b []byte) (int, error) {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if !x.hasBody() {
		return len(b), nil
	}
	if x.contentLength < 0 && !x.headerSent && len(x.buffered)+len(b) <= maxBufferedBytes {
		x.buffered = append(x.buffered, b...)
		return len(b), nil
	}
	if err := x.sendHeader(); err != nil {
		return 0, err
	}
	if err := x.writeBody(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Flush sends the bytes that have been written. It implements http.Flusher.
func (x *exchange) Flush() { _ = x.FlushError() }

// FlushError sends the bytes that have been written.
func (x *exchange) FlushError() error {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if err := x.sendHeader(); err != nil {
		return err
	}
	return x.conn.w.Flush()
}

// sendHeader waits until all earlier answers are complete, then writes the header and the buffered part of the body.
func (x *exchange) sendHeader() error {
	x.headerMu.Lock()
	defer x.headerMu.Unlock()
	if x.headerSent {
		return nil
	}
	select {
	case <-x.previousDone:
	case <-x.conn.ctx.Done():
		return &ConnectionClosedError{}
	}
	x.headerSent = true
	x.closesConn = x.shouldCloseConn() && x.conn.closeAfter(x.sequence)
	if err := x.writeHeader(); err != nil {
		return err
	}
	buffered := x.buffered
	x.buffered = nil
	return x.writeBody(buffered)
}

// shouldCloseConn tells whether the connection is to be closed after this answer.
func (x *exchange) shouldCloseConn() bool {
	requested := x.header.Get("Connection") == "close"
	x.header.Del("Connection")
	switch {
	case x.request.Close, !x.request.ProtoAtLeast(1, 1):
		return true
	case x.contentLength < 0 && x.hasBody() && !x.request.ProtoAtLeast(1, 1):
		return true
	case !x.body.isComplete():
		return true
	default:
		return requested || x.conn.server.draining.Load() || x.conn.isRetiring()
	}
}

func (x *exchange) writeHeader() error {
	w := x.conn.w
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(x.status) + " " + http.StatusText(x.status) + "\r\n")
	if err := x.header.Write(w); err != nil {
		return err
	}
	switch {
	case x.status == http.StatusNoContent || x.status == http.StatusNotModified:
	case x.contentLength >= 0:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(x.contentLength, 10) + "\r\n")
	case x.request.ProtoAtLeast(1, 1):
		x.chunked = x.hasBody()
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if x.closesConn {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, err := w.WriteString("\r\n")
	return err
}

func (x *exchange) writeBody(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	x.written += int64(len(b))
	if x.contentLength >= 0 && x.written > x.contentLength {
		return http.ErrContentLength
	}
	if !x.chunked {
		_, err := x.conn.w.Write(b)
		return err
	}
	_, _ = x.conn.w.WriteString(strconv.FormatInt(int64(len(b)), 16) + "\r\n")
	_, _ = x.conn.w.Write(b)
	_, err := x.conn.w.WriteString("\r\n")
	return err
}

// SetReadDeadline bounds reads of the request's body. It has no effect after the end of the body.
func (x *exchange) SetReadDeadline(t time.Time) error { return x.body.setDeadline(t) }

// SetWriteDeadline bounds writes of the answer.
func (x *exchange) SetWriteDeadline(t time.Time) error { return x.conn.nc.SetWriteDeadline(t) }

// EnableFullDuplex does nothing: the body may always be read while the answer is written.
func (x *exchange) EnableFullDuplex() error { return nil }

// awaitBody waits until the body has ended or the answer is complete. It tells whether
// the whole body was read, so that the connection can carry the next request.
func (x *exchange) awaitBody() bool {
	select {
	case <-x.body.done:
	case <-x.done:
	}
	return x.body.isComplete()
}
