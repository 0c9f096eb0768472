package acceptor

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// conn is the connection of a caller. Its reading goroutine parses requests, and
// each request runs in a goroutine of its own.
type conn struct {
	server *Server
	// number identifies the connection among those of the server.
	number uint64
	nc     net.Conn
	source *limitedReader
	r      *bufio.Reader
	w      *bufio.Writer
	// ctx is cancelled when the caller disconnects or the connection is aborted.
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu sync.Mutex
	// pending is the number of requests that have started and are not answered yet. Guarded by mu.
	pending int
	// started is the number of requests that have started so far. Guarded by mu.
	started int
	// closing tells whether no further request is read. Guarded by mu.
	closing bool
	// retiring tells whether the connection is to be closed as soon as no request is in
	// flight or waits to be read. Its caller has not been told. Guarded by mu.
	retiring bool
	// streaming tells whether the only request in flight may send an answer whose end is
	// not known, so that no other one may start. Guarded by mu.
	streaming bool
	// awaitingRequest tells whether the reading goroutine waits for the first byte of a request. Guarded by mu.
	awaitingRequest bool
	// idleFrom is when the connection became idle, if no request runs and none is being
	// read. Guarded by mu.
	idleFrom time.Time
	// requestEnded is signalled when pending decreases.
	requestEnded chan struct{}
	// requestArrived is when the first byte of the latest request arrived, by estimate. It
	// is used by the reading goroutine only.
	requestArrived time.Time
	// peerClosed is set when the reading goroutine has read the end of the stream: the caller
	// sends nothing more. It is used by that goroutine only.
	peerClosed bool
	// latestDone is closed when the answer to the latest request is complete.
	latestDone chan struct{}
}

func newConn(s *Server, nc net.Conn) *conn {
	source := &limitedReader{r: nc, delay: s.delay, readAt: time.Now().Add(-s.delay())}
	ctx, cancel := context.WithCancel(context.Background())
	closed := make(chan struct{})
	close(closed)
	return &conn{
		server: s, number: s.connections.Add(1), nc: nc, source: source, ctx: ctx, cancel: cancel,
		r: bufio.NewReaderSize(source, readBufferBytes), w: bufio.NewWriterSize(nc, writeBufferBytes),
		requestEnded: make(chan struct{}, 1), latestDone: closed,
	}
}

// serve reads requests until the connection ends and closes it after the last answer.
func (c *conn) serve() {
	defer c.server.removeConn(c)
	for c.serveNext() {
	}
	c.group.Wait()
	c.cancel()
	if !c.peerClosed {
		c.linger()
	}
	_ = c.nc.Close()
}

// serveNext reads one request and starts it. It returns false when no further request is to be read.
func (c *conn) serveNext() bool {
	if !c.awaitRequest() {
		return false
	}
	r, err := c.readRequest()
	if err != nil {
		c.rejectRequest(err)
		return false
	}
	x, ok := c.startRequest(r)
	if !ok {
		return false
	}
	c.group.Go(x.run)
	return x.awaitBody()
}

// awaitRequest waits until fewer than maxPipelined requests run and the first byte of a
// request has come that may start.
func (c *conn) awaitRequest() bool {
	if !c.awaitRoom(func() bool { return c.pending < maxPipelined }) || !c.setIdleDeadline() {
		return false
	}
	c.source.setLimit(c.server.effectiveLimits().MaxHeaderBytes)
	for {
		_, err := c.r.Peek(1)
		if err == nil {
			break
		}
		if c.isRetired(err) {
			if c.hasUnread() && c.nc.SetReadDeadline(time.Now().Add(c.server.effectiveLimits().HeaderTimeout)) == nil {
				continue
			}
			c.stopReading()
		}
		c.peerClosed = errors.Is(err, io.EOF)
		c.cancelUnlessClosing()
		return false
	}
	c.requestArrived = c.source.arrivedAt
	// What is not started is not read either, so that its caller may send it again.
	return c.awaitRoom(func() bool { return !c.streaming }) && !c.isClosing()
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// awaitRoom waits until hasRoom returns true, which is called with mu held. It returns
// false if the connection ends before.
func (c *conn) awaitRoom(hasRoom func() bool) bool {
	for {
		c.mu.Lock()
		ok := hasRoom()
		c.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-c.requestEnded:
		case <-c.ctx.Done():
			return false
		}
	}
}

// mayStream implements Caller.MayStream.
func (c *conn) mayStream() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming = c.streaming || c.pending == 1
	return c.streaming
}

// setIdleDeadline bounds the wait for the next request while none runs.
func (c *conn) setIdleDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.awaitingRequest = true
	if c.pending > 0 {
		return c.nc.SetReadDeadline(time.Time{}) == nil
	}
	return c.startIdling() == nil
}

// startIdling bounds the wait for the next request of an idle connection. mu is held.
func (c *conn) startIdling() error {
	c.idleFrom = time.Now()
	if c.retiring {
		return c.nc.SetReadDeadline(longAgo)
	}
	return c.nc.SetReadDeadline(time.Now().Add(c.server.effectiveLimits().IdleTimeout))
}

// isRetired reports whether a read failed because the connection is to be closed.
func (c *conn) isRetired(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var netErr net.Error
	return c.retiring && !c.closing && c.pending == 0 && errors.As(err, &netErr) && netErr.Timeout()
}

// setHeaderDeadline bounds the time in which the headers of a request must come. An
// answer that ends in the meantime does not replace the deadline.
func (c *conn) setHeaderDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest = false
	return c.nc.SetReadDeadline(time.Now().Add(c.server.effectiveLimits().HeaderTimeout))
}

// cancelUnlessClosing cancels the running requests after a failed read. When this
// side is closing the connection, they may finish.
func (c *conn) cancelUnlessClosing() {
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	if !closing {
		c.cancel()
	}
}

func (c *conn) readRequest() (*http.Request, error) {
	if err := c.setHeaderDeadline(); err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(c.r)
	c.source.removeLimit()
	if err != nil {
		return nil, err
	}
	if err := checkRequest(r); err != nil {
		return nil, err
	}
	r.RemoteAddr = c.nc.RemoteAddr().String()
	return r, c.nc.SetReadDeadline(time.Time{})
}

// MalformedRequestError reports a request that violates a rule of HTTP/1.x.
type MalformedRequestError struct{ Rule string }

func (e *MalformedRequestError) Error() string { return fmt.Sprintf("malformed request: %s", e.Rule) }

func checkRequest(r *http.Request) error {
	if r.ProtoMajor != 1 {
		return &MalformedRequestError{Rule: "only HTTP/1.0 and HTTP/1.1 are supported"}
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		return &MalformedRequestError{Rule: "the Host header is missing"}
	}
	// http.ReadRequest accepts spaces in the name of a header, such as one before the
	// colon. A target may read such a name as one that nodes set.
	for name := range r.Header {
		if strings.Contains(name, " ") {
			return &MalformedRequestError{Rule: "the name of a header contains a space"}
		}
	}
	return nil
}

// rejectRequest answers bytes that are not a valid request, after all earlier answers are complete.
func (c *conn) rejectRequest(err error) {
	status := http.StatusBadRequest
	var netErr net.Error
	switch {
	case c.source.isLimitReached():
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.As(c.source.err, &netErr) && netErr.Timeout():
		// The parser treats the end of the bytes as the end of a line, so err may not show the timeout.
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		c.cancelUnlessClosing()
		return
	}
	c.stopReading()
	select {
	case <-c.latestDone:
	case <-c.ctx.Done():
		return
	}
	text := fmt.Sprintf("%d %s\n", status, http.StatusText(status))
	_ = c.nc.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = fmt.Fprintf(c.w, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(text), text)
	_ = c.w.Flush()
}

// startRequest counts a request and puts it in the order of answers. It returns false when the connection is closing.
func (c *conn) startRequest(r *http.Request) (x *exchange, ok bool) {
	ok = c.awaitRoom(func() bool {
		if c.closing || c.streaming {
			return c.closing
		}
		x = c.addExchange(r)
		return true
	})
	return x, ok && x != nil
}

// addExchange starts a request. mu is held.
func (c *conn) addExchange(r *http.Request) *exchange {
	c.pending++
	c.started++
	ctx, cancel := context.WithCancel(c.ctx)
	x := &exchange{
		conn: c, cancel: cancel, sequence: c.started, previousDone: c.latestDone, done: make(chan struct{}),
		header: http.Header{}, contentLength: -1,
	}
	caller := Caller{Arrived: c.requestArrived, IsGone: c.isClosedByPeer, Connection: c.number, MayStream: c.mayStream}
	x.request = r.WithContext(context.WithValue(ctx, callerKey{}, caller))
	x.body = newRequestBody(x, r)
	x.request.Body = x.body
	c.latestDone = x.done
	return x
}

func (c *conn) endRequest() {
	c.mu.Lock()
	c.pending--
	c.streaming = false
	if c.pending == 0 && !c.closing && c.awaitingRequest {
		// The reading goroutine began to wait while a request was running, hence without a deadline.
		_ = c.startIdling()
	}
	c.mu.Unlock()
	select {
	case c.requestEnded <- struct{}{}:
	default:
	}
}

// closeAfter stops the reading of further requests if the one with the given
// sequence number is the latest. It returns false when a later request has started.
func (c *conn) closeAfter(sequence int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sequence != c.started {
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

func (c *conn) isRetiring() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retiring
}

// interruptRead makes a pending read return with a timeout.
func (c *conn) interruptRead() { _ = c.nc.SetReadDeadline(longAgo) }

var longAgo = time.Unix(1, 0)

// closeWhenIdle closes the connection as soon as no request is in flight. A request that
// has arrived by then is answered first, as its caller knows of no close: the answer
// tells it.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retiring = true
	if c.pending == 0 && c.awaitingRequest && !c.closing {
		_ = c.nc.SetReadDeadline(longAgo)
	}
}

// idleSince returns since when the connection waits for a request; false if it does not.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleFrom, c.pending == 0 && c.awaitingRequest && !c.closing && !c.retiring
}

// reset makes the close of the connection a reset, which a caller does not take for the
// end of an answer.
func (c *conn) reset() {
	if tcp, ok := c.nc.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}

// abort closes the connection at once and cancels its requests.
func (c *conn) abort() {
	c.stopReading()
	c.cancel()
	_ = c.nc.Close()
}

// linger closes the write side and discards what the caller still sends, for at most lingerTimeout.
func (c *conn) linger() {
	halfCloser, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.nc)
}
