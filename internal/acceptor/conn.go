package acceptor

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// conn is one connection of a caller. Its reading goroutine parses requests;
// each request has a goroutine of its own.
type conn struct {
	server *Server
	nc     net.Conn
	source *boundedSource
	r      *bufio.Reader
	w      *bufio.Writer
	// ctx ends when the caller has gone or the connection is given up.
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu sync.Mutex
	// pending counts the requests that have started and are not answered. Guarded by mu.
	pending int
	// started counts all requests. Guarded by mu.
	started int
	// closing stops the reading of further requests. Guarded by mu.
	closing bool
	// awaiting tells that the reading goroutine waits for the first byte of a request. Guarded by mu.
	awaiting bool
	// room is signalled when pending falls.
	room chan struct{}
	// last is closed when the answer of the latest request is complete.
	last chan struct{}
}

func newConn(s *Server, nc net.Conn) *conn {
	source := &boundedSource{r: nc}
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan struct{})
	close(first)
	return &conn{
		server: s, nc: nc, source: source, ctx: ctx, cancel: cancel,
		r: bufio.NewReaderSize(source, readBufferBytes), w: bufio.NewWriterSize(nc, writeBufferBytes),
		room: make(chan struct{}, 1), last: first,
	}
}

// serve reads requests until the connection ends, and closes it after the last answer.
func (c *conn) serve() {
	defer c.server.remove(c)
	for c.next() {
	}
	c.group.Wait()
	c.cancel()
	c.linger()
	_ = c.nc.Close()
}

// next reads one request and starts it. It returns false when no further one is to be read.
func (c *conn) next() bool {
	if !c.await() {
		return false
	}
	r, err := c.readRequest()
	if err != nil {
		c.refuse(err)
		return false
	}
	x, ok := c.begin(r)
	if !ok {
		return false
	}
	c.group.Go(x.run)
	return x.bodyRead()
}

// await waits for the first byte of a request.
func (c *conn) await() bool {
	for !c.hasRoom() {
		select {
		case <-c.room:
		case <-c.ctx.Done():
			return false
		}
	}
	if !c.armIdle() {
		return false
	}
	c.source.allow(c.server.limits().MaxHeaderBytes)
	if _, err := c.r.Peek(1); err != nil {
		c.gone()
		return false
	}
	return true
}

func (c *conn) hasRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending < maxPipelined
}

// armIdle bounds the wait for the next request while none runs.
func (c *conn) armIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.awaiting = true
	deadline := time.Time{}
	if c.pending == 0 {
		deadline = time.Now().Add(c.server.limits().IdleTimeout)
	}
	return c.nc.SetReadDeadline(deadline) == nil
}

// armHeader bounds the time of a request's headers. An answer that ends meanwhile
// does not replace it.
func (c *conn) armHeader() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
	return c.nc.SetReadDeadline(time.Now().Add(c.server.limits().HeaderTimeout))
}

// gone ends the requests of a caller that has closed its end. A connection
// that this side closes lets its requests finish.
func (c *conn) gone() {
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	if !closing {
		c.cancel()
	}
}

func (c *conn) readRequest() (*http.Request, error) {
	if err := c.armHeader(); err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(c.r)
	c.source.allowAll()
	if err != nil {
		return nil, err
	}
	if err := checkHost(r); err != nil {
		return nil, err
	}
	r.RemoteAddr = c.nc.RemoteAddr().String()
	return r, c.nc.SetReadDeadline(time.Time{})
}

// MalformedRequestError tells that bytes are not a request that can be served.
type MalformedRequestError struct{ Rule string }

func (e *MalformedRequestError) Error() string { return fmt.Sprintf("malformed request: %s", e.Rule) }

func checkHost(r *http.Request) error {
	if r.ProtoMajor != 1 {
		return &MalformedRequestError{Rule: "only HTTP/1.0 and HTTP/1.1 are spoken"}
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		return &MalformedRequestError{Rule: "the Host header is missing"}
	}
	return nil
}

// refuse answers bytes that are no request, behind the answers that are still due.
func (c *conn) refuse(err error) {
	status := http.StatusBadRequest
	var timeout net.Error
	switch {
	case c.source.exhausted():
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.As(c.source.err, &timeout) && timeout.Timeout():
		// The parser takes the end of the bytes for the end of a line.
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		c.gone()
		return
	}
	c.stopReading()
	select {
	case <-c.last:
	case <-c.ctx.Done():
		return
	}
	text := fmt.Sprintf("%d %s\n", status, http.StatusText(status))
	_ = c.nc.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = fmt.Fprintf(c.w, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(text), text)
	_ = c.w.Flush()
}

// begin counts a request and gives it its place in the order of answers.
func (c *conn) begin(r *http.Request) (*exchange, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil, false
	}
	c.pending++
	c.started++
	ctx, cancel := context.WithCancel(c.ctx)
	x := &exchange{
		conn: c, cancel: cancel, number: c.started, turn: c.last, ended: make(chan struct{}),
		header: http.Header{}, declared: -1,
	}
	x.request = r.WithContext(ctx)
	x.body = newRequestBody(x, r)
	x.request.Body = x.body
	c.last = x.ended
	return x, true
}

func (c *conn) end() {
	c.mu.Lock()
	c.pending--
	if c.pending == 0 && !c.closing && c.awaiting {
		// The reading goroutine waits without a bound since a request was running.
		_ = c.nc.SetReadDeadline(time.Now().Add(c.server.limits().IdleTimeout))
	}
	c.mu.Unlock()
	select {
	case c.room <- struct{}{}:
	default:
	}
}

// mayClose tells whether the answer to the numbered request can be the last
// one, and stops the reading of further requests if so.
func (c *conn) mayClose(number int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number != c.started {
		return false
	}
	c.closing = true
	return true
}

func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// wake ends a read that waits for the next request.
func (c *conn) wake() { _ = c.nc.SetReadDeadline(longAgo) }

var longAgo = time.Unix(1, 0)

// closeWhenIdle closes the connection, after the answers that are still due.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	idle := c.pending == 0
	c.closing = c.closing || idle
	c.mu.Unlock()
	if idle {
		c.wake()
	}
}

// abort gives the connection up at once.
func (c *conn) abort() {
	c.stopReading()
	c.cancel()
	_ = c.nc.Close()
}

// linger sends the end of the stream and reads what the caller still sends for a moment.
func (c *conn) linger() {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.nc)
}
