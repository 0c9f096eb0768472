package dispatcher

import (
	"net"
	"sync"
	"time"
)

// progressTimeout is how long an exchange may stand still on a connection
// while it sends: longer means that the connection is silent.
const progressTimeout = 10 * time.Second

// conn counts what it has sent, so that an exchange can prove that none of its
// bytes went out.
type conn struct {
	net.Conn
	mu sync.Mutex
	// written counts the bytes handed to the operating system. Guarded by mu.
	written int64
	// sealed refuses all further writes. Guarded by mu.
	sealed bool
}

// Write refuses to send on a sealed connection.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, &SealedError{}
	}
	// From here on the bytes count as sent, whatever becomes of them.
	c.written += int64(len(b))
	c.mu.Unlock()
	if err := c.SetWriteDeadline(time.Now().Add(progressTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sealAt refuses all further writes and tells whether nothing was written since start.
func (c *conn) sealAt(start int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written == start
}

// handover follows one request over the connections that it is given.
type handover struct {
	// cancel ends the exchange.
	cancel func()
	mu     sync.Mutex
	// current is the connection of the exchange; nil before there is one. Guarded by mu.
	current *conn
	// start is the count of current when it was given to the exchange. Guarded by mu.
	start int64
	// begun tells that bytes went out on an earlier connection. Guarded by mu.
	begun bool
	// closed refuses connections that come late. Guarded by mu.
	closed bool
}

// take is told of each connection that the HTTP client gives to the exchange.
// Once bytes of the request went out on one, the next one is sealed.
func (h *handover) take(nc net.Conn) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != nil && h.current.count() != h.start {
		h.begun = true
	}
	h.current = c
	h.start = c.count()
	if h.begun || h.closed {
		c.sealAt(h.start)
		h.cancel()
	}
}

// giveUp ends the exchange and tells whether none of its bytes went out or will.
func (h *handover) giveUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	if h.begun {
		return false
	}
	return h.current == nil || h.current.sealAt(h.start)
}
