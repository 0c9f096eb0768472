package acceptor

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heldBytes is how much of an answer of unknown length is held back to learn its length.
const heldBytes = 2 << 10

// GoneError tells that the caller's connection has ended.
type GoneError struct{}

func (*GoneError) Error() string { return "the caller's connection has ended" }

// exchange is one request and the http.ResponseWriter of its answer.
type exchange struct {
	conn    *conn
	request *http.Request
	cancel  context.CancelFunc
	body    *requestBody
	// number counts the requests of the connection from 1.
	number int
	// turn is closed when all earlier answers are complete; ended when this one is.
	turn, ended chan struct{}

	header http.Header
	// beginning is held while the header or "100 Continue" is written.
	beginning sync.Mutex
	status    int
	// declared is the stated length of the answer; -1 when unknown.
	declared int64
	written  int64
	// held is the start of an answer of unknown length.
	held []byte
	// sent tells that the header has been written.
	sent    bool
	chunked bool
	// last tells that the connection ends with this answer.
	last   bool
	failed bool
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

// finish completes the answer, or gives the connection up when it was cut.
func (x *exchange) finish() {
	if !x.failed {
		x.failed = x.complete() != nil
	}
	x.cancel()
	x.body.release()
	if x.failed {
		x.conn.abort()
	} else if x.last {
		x.conn.wake()
	}
	close(x.ended)
	x.conn.end()
}

// complete sends what is left of the answer.
func (x *exchange) complete() error {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if !x.sent && x.declared < 0 {
		x.declared = int64(len(x.held))
	}
	if err := x.begin(); err != nil {
		return err
	}
	if x.declared >= 0 && x.written != x.declared && x.hasBody() {
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

// WriteHeader sets the status. It is sent with the first bytes of the body.
func (x *exchange) WriteHeader(status int) {
	if x.status != 0 {
		return
	}
	x.status = status
	if n, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		x.declared = n
	}
	x.header.Del("Content-Length")
	x.header.Del("Transfer-Encoding")
}

// hasBody tells whether an answer of this status to this method has a body.
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
	if x.declared < 0 && !x.sent && len(x.held)+len(b) <= heldBytes {
		x.held = append(x.held, b...)
		return len(b), nil
	}
	if err := x.begin(); err != nil {
		return 0, err
	}
	if err := x.writeBody(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Flush sends what has been written. It implements http.Flusher.
func (x *exchange) Flush() { _ = x.FlushError() }

// FlushError sends what has been written.
func (x *exchange) FlushError() error {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if err := x.begin(); err != nil {
		return err
	}
	return x.conn.w.Flush()
}

// begin waits for the turn of this answer and writes its header and what is held of its body.
func (x *exchange) begin() error {
	x.beginning.Lock()
	defer x.beginning.Unlock()
	if x.sent {
		return nil
	}
	select {
	case <-x.turn:
	case <-x.conn.ctx.Done():
		return &GoneError{}
	}
	x.sent = true
	x.last = x.closes() && x.conn.mayClose(x.number)
	if err := x.writeHeader(); err != nil {
		return err
	}
	held := x.held
	x.held = nil
	return x.writeBody(held)
}

// closes tells whether the connection is to end with this answer.
func (x *exchange) closes() bool {
	asked := x.header.Get("Connection") == "close"
	x.header.Del("Connection")
	switch {
	case x.request.Close, !x.request.ProtoAtLeast(1, 1):
		return true
	case x.declared < 0 && x.hasBody() && !x.request.ProtoAtLeast(1, 1):
		return true
	case !x.body.isWhole():
		return true
	default:
		return asked || x.conn.server.draining.Load()
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
	case x.declared >= 0:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(x.declared, 10) + "\r\n")
	case x.request.ProtoAtLeast(1, 1):
		x.chunked = x.hasBody()
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if x.last {
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
	if x.declared >= 0 && x.written > x.declared {
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

// SetReadDeadline bounds reads of the request's body. It has no effect after its end.
func (x *exchange) SetReadDeadline(t time.Time) error { return x.body.setDeadline(t) }

// SetWriteDeadline bounds writes of the answer.
func (x *exchange) SetWriteDeadline(t time.Time) error { return x.conn.nc.SetWriteDeadline(t) }

// EnableFullDuplex does nothing: the body may always be read while the answer is written.
func (x *exchange) EnableFullDuplex() error { return nil }

// bodyRead waits until the connection can carry the next request, and tells whether it may.
func (x *exchange) bodyRead() bool {
	select {
	case <-x.body.done:
	case <-x.ended:
	}
	return x.body.isWhole()
}
