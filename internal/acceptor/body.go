package acceptor

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// requestBody reads the body of a request and signals when it has ended.
type requestBody struct {
	exchange *exchange
	src      io.ReadCloser
	// expectsContinue is true until "100 Continue" has been sent to a caller that waits for it.
	expectsContinue bool

	mu sync.Mutex
	// complete tells whether the body has been read to its end. Guarded by mu.
	complete bool
	// readClosed makes further reads fail. Guarded by mu.
	readClosed bool
	// done is closed when the body has ended or a read of it has failed.
	done chan struct{}
	once sync.Once
}

func newRequestBody(x *exchange, r *http.Request) *requestBody {
	b := &requestBody{
		exchange: x, src: r.Body, done: make(chan struct{}),
		expectsContinue: r.Header.Get("Expect") == "100-continue" && r.ProtoAtLeast(1, 1),
	}
	if r.Body == nil || r.Body == http.NoBody {
		b.src = http.NoBody
		b.finish(true)
	}
	return b
}

func (b *requestBody) finish(complete bool) {
	b.mu.Lock()
	b.complete = b.complete || complete
	b.mu.Unlock()
	b.once.Do(func() { close(b.done) })
}

func (b *requestBody) isComplete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete
}

// setDeadline bounds reads of the body. It does nothing once the body is complete
// or closed, because the connection may then be reading the next request.
func (b *requestBody) setDeadline(t time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.complete || b.readClosed {
		return nil
	}
	return b.exchange.conn.nc.SetReadDeadline(t)
}

// Read returns io.EOF only when the body is complete.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	closed := b.readClosed
	b.mu.Unlock()
	if closed {
		return 0, &ConnectionClosedError{}
	}
	if b.expectsContinue {
		b.expectsContinue = false
		if err := b.sendContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.src.Read(p)
	if err == nil {
		return n, nil
	}
	b.finish(errors.Is(err, io.EOF))
	if !errors.Is(err, io.EOF) {
		b.exchange.conn.cancelUnlessClosing()
	}
	return n, err
}

// sendContinue sends "100 Continue" when all earlier answers are complete, unless the answer has already begun.
func (b *requestBody) sendContinue() error {
	select {
	case <-b.exchange.previousDone:
	case <-b.exchange.conn.ctx.Done():
		return &ConnectionClosedError{}
	}
	b.exchange.headerMu.Lock()
	defer b.exchange.headerMu.Unlock()
	if b.exchange.headerSent {
		return nil
	}
	if _, err := b.exchange.conn.w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return b.exchange.conn.w.Flush()
}

// Close does nothing. If a part of the body is unread, the connection is closed after the answer.
func (b *requestBody) Close() error { return nil }

// closeRead makes all further reads fail.
func (b *requestBody) closeRead() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readClosed = true
}
