package acceptor

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// requestBody reads the body of a request and tells when it has ended.
type requestBody struct {
	exchange *exchange
	src      io.ReadCloser
	// expects tells that the caller waits for "100 Continue".
	expects bool

	mu sync.Mutex
	// whole tells that the body has been read to its end. Guarded by mu.
	whole bool
	// released refuses further reads. Guarded by mu.
	released bool
	// done is closed when nothing more is to be read.
	done chan struct{}
	once sync.Once
}

func newRequestBody(x *exchange, r *http.Request) *requestBody {
	b := &requestBody{
		exchange: x, src: r.Body, done: make(chan struct{}),
		expects: r.Header.Get("Expect") == "100-continue" && r.ProtoAtLeast(1, 1),
	}
	if r.Body == nil || r.Body == http.NoBody {
		b.src = http.NoBody
		b.end(true)
	}
	return b
}

func (b *requestBody) end(whole bool) {
	b.mu.Lock()
	b.whole = b.whole || whole
	b.mu.Unlock()
	b.once.Do(func() { close(b.done) })
}

func (b *requestBody) isWhole() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole
}

// setDeadline does nothing once the connection reads the next request.
func (b *requestBody) setDeadline(t time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.whole || b.released {
		return nil
	}
	return b.exchange.conn.nc.SetReadDeadline(t)
}

// Read returns io.EOF only when the body is whole.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	released := b.released
	b.mu.Unlock()
	if released {
		return 0, &GoneError{}
	}
	if b.expects {
		b.expects = false
		if err := b.sendContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.src.Read(p)
	if err == nil {
		return n, nil
	}
	b.end(errors.Is(err, io.EOF))
	if !errors.Is(err, io.EOF) {
		b.exchange.conn.gone()
	}
	return n, err
}

// sendContinue asks for the body once all earlier answers are complete.
func (b *requestBody) sendContinue() error {
	select {
	case <-b.exchange.turn:
	case <-b.exchange.conn.ctx.Done():
		return &GoneError{}
	}
	b.exchange.beginning.Lock()
	defer b.exchange.beginning.Unlock()
	if b.exchange.sent {
		return nil
	}
	if _, err := b.exchange.conn.w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return b.exchange.conn.w.Flush()
}

// Close keeps the body as it is: what is left of it ends the connection.
func (b *requestBody) Close() error { return nil }

// release refuses reads from now on.
func (b *requestBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
}
