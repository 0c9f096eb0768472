package dispatcher

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gentianbarrow.example/internal/exchanger"
)

const (
	// defaultIdleTimeout is the idle timeout of connections whose target states none,
	// and the maximum for the others.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutShare is the share of the idle timeout stated by the target that
	// is used. After more than that, the target may already be closing the
	// connection.
	idleTimeoutShare = 0.8
	// nonIdempotentIdleTimeout is the maximum idle time of a connection that is
	// reused for a request which is not idempotent. Such a request must not be
	// sent again if the connection turns out to be closed.
	nonIdempotentIdleTimeout = 1 * time.Second
	// maxRefusedIDs is how many refused requests a connection remembers.
	maxRefusedIDs = 8
	// maxIdleConns is the maximum number of idle connections to one address.
	maxIdleConns = 64
	bufferBytes  = 4 << 10
	// writeTimeout is the maximum duration of one write, and of the time that sent
	// data stays unacknowledged.
	writeTimeout = 10 * time.Second
	// probeTimeout is the read timeout that tests whether a connection has unread
	// bytes, for connections without a file descriptor.
	probeTimeout = time.Millisecond
)

// conn is a connection to a target. It carries one exchange at a time.
type conn struct {
	net.Conn
	// r reads from source. Its buffer holds the whole head of an answer.
	r      *bufio.Reader
	source *stickyReader
	// written counts the bytes handed to the operating system.
	written atomic.Int64
	writeMu sync.Mutex
	// writeErr is the first error of a write. Guarded by writeMu, which is held during writes.
	writeErr error
	// expiresAt is the end of the idle timeout. After that, put closes the connection.
	expiresAt time.Time
	// nonIdempotentUntil is the time after which only idempotent requests reuse the connection.
	nonIdempotentUntil time.Time
	// idleTimeout is how long the connection may be idle.
	idleTimeout time.Duration
	// refused holds the ids of the last requests that the target refused on this
	// connection, the latest first.
	refused [maxRefusedIDs]string
}

// recordRefusal remembers that the target refused a request on this connection.
func (c *conn) recordRefusal(id string) {
	copy(c.refused[1:], c.refused[:])
	c.refused[0] = id
}

// mayRepeatRefusal reports whether the target has refused the request on this
// connection. If it writes that refusal once more, it cannot be told from an answer to
// the request.
func (c *conn) mayRepeatRefusal(id string) bool { return slices.Contains(c.refused[:], id) }

// Write counts all bytes as written before it writes them, so that the count also
// includes bytes of a write that fails or is still in progress.
func (c *conn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// writeLoss waits until no write is in progress, and returns a *LostConnectionError if a
// write saw that the connection was lost. The connection must have been closed.
func (c *conn) writeLoss() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if isLoss(c.writeErr) {
		return &LostConnectionError{Cause: c.writeErr}
	}
	return nil
}

// readIdleTimeout takes the idle timeout from the Keep-Alive header of an answer.
func (c *conn) readIdleTimeout(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 {
			c.idleTimeout = min(time.Duration(float64(seconds)*idleTimeoutShare*float64(time.Second)), defaultIdleTimeout)
		}
	}
}

// isReusable reports whether an idle connection is open and has no unread bytes.
func (c *conn) isReusable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return isOpenAndEmpty(raw)
	}
	_ = c.SetReadDeadline(time.Now().Add(probeTimeout))
	_, err := c.r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isOpenAndEmpty reports whether a non-blocking read finds neither bytes nor the
// end of the stream.
func isOpenAndEmpty(sc syscall.Conn) bool {
	control, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		wouldBlock = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}

// pool keeps the idle connections of each address, with the most recently used last.
type pool struct {
	dial Dial

	mu sync.Mutex
	// idle is guarded by mu.
	idle  map[string][]*conn
	dials sync.WaitGroup
}

func newPool(dial Dial) *pool { return &pool{dial: dial, idle: map[string][]*conn{}} }

// get returns a reusable idle connection, or a new one.
func (p *pool) get(ctx context.Context, address string, r *exchanger.Request) (*conn, error) {
	for {
		c := p.takeIdle(address, r)
		if c == nil {
			return p.connect(ctx, address)
		}
		if c.isReusable() {
			return c, nil
		}
		_ = c.Close()
	}
}

// takeIdle removes and returns the most recently used connection. It returns nil if
// there is none, if the request is not idempotent and the connection has been idle for
// too long for it, or if the target has refused the request on the connection.
func (p *pool) takeIdle(address string, r *exchanger.Request) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if !r.Idempotent && now.After(c.nonIdempotentUntil) || c.mayRepeatRefusal(r.ID) {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

// put adds a connection to the idle ones. It closes those of the same address that
// are past their idle timeout or exceed maxIdleConns.
func (p *pool) put(address string, c *conn) {
	now := time.Now()
	c.expiresAt, c.nonIdempotentUntil = now.Add(c.idleTimeout), now.Add(min(nonIdempotentIdleTimeout, c.idleTimeout))
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	list = append(list, c)
	closed := 0
	for closed < len(list) && (now.After(list[closed].expiresAt) || len(list)-closed > maxIdleConns) {
		_ = list[closed].Close()
		closed++
	}
	p.idle[address] = list[closed:]
}

// close closes all idle connections.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle = map[string][]*conn{}
}

// dialResult is the result of a dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// connect opens a connection. It returns when the dial or ctx ends, and closes a
// connection that is opened after the end of ctx.
func (p *pool) connect(ctx context.Context, address string) (*conn, error) {
	result := make(chan dialResult, 1)
	p.dials.Go(func() {
		nc, err := p.dial(ctx, "tcp", address)
		if err == nil && ctx.Err() != nil {
			_ = nc.Close()
			err = ctx.Err()
		}
		result <- dialResult{conn: nc, err: err}
	})
	select {
	case d := <-result:
		if d.err != nil {
			return nil, d.err
		}
		source := &stickyReader{r: d.conn}
		return &conn{Conn: d.conn, r: bufio.NewReaderSize(source, bufferBytes), source: source, idleTimeout: defaultIdleTimeout}, nil
	case <-ctx.Done():
		p.dials.Go(func() {
			if d := <-result; d.err == nil {
				_ = d.conn.Close()
			}
		})
		return nil, ctx.Err()
	}
}
