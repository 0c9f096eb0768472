package dispatcher

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// idleTimeout of connections whose target names none.
	idleTimeout = 8 * time.Second
	// idleSafety is the part of the target's own idle timeout during which a
	// connection is used: the target may already be closing an older one.
	idleSafety = 0.8
	// freshTimeout bounds how long a connection may have been idle that
	// carries a request which must not be repeated.
	freshTimeout = 1 * time.Second
	// maxIdle bounds the idle connections to one address.
	maxIdle     = 64
	bufferBytes = 4 << 10
	// progressTimeout is how long a write may stand still: longer means that the connection is silent.
	progressTimeout = 10 * time.Second
	// probeTime is how long a connection that offers no direct look is read to see whether it is at rest.
	probeTime = time.Millisecond
)

// conn is a connection to a target. It carries one exchange at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
	// written counts the bytes handed to the operating system.
	written atomic.Int64
	// usableUntil is when the target may close the idle connection.
	usableUntil time.Time
	// freshUntil is until when a request that must not be repeated may use it.
	freshUntil time.Time
	// limit is how long the connection may be idle.
	limit time.Duration
}

// Write counts bytes as sent before they are, whatever becomes of them.
func (c *conn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	if err := c.SetWriteDeadline(time.Now().Add(progressTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// learn reads the idle timeout that an answer states.
func (c *conn) learn(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 {
			c.limit = min(time.Duration(float64(seconds)*idleSafety*float64(time.Second)), idleTimeout)
		}
	}
}

// atRest tells that an idle connection is open and that nothing has come on it.
func (c *conn) atRest() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return quiet(raw)
	}
	_ = c.SetReadDeadline(time.Now().Add(probeTime))
	_, err := c.r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// quiet looks for bytes or the end of the stream without waiting.
func quiet(raw syscall.Conn) bool {
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	rest := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		rest = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && rest
}

// pool keeps idle connections by address, the latest last.
type pool struct {
	dial Dial

	mu sync.Mutex
	// idle is guarded by mu.
	idle  map[string][]*conn
	dials sync.WaitGroup
}

func newPool(dial Dial) *pool { return &pool{dial: dial, idle: map[string][]*conn{}} }

// get returns an idle connection at rest, or a new one.
func (p *pool) get(ctx context.Context, address string, repeatable bool) (*conn, error) {
	for {
		c := p.take(address, repeatable)
		if c == nil {
			return p.connect(ctx, address)
		}
		if c.atRest() {
			return c, nil
		}
		_ = c.Close()
	}
}

// take removes the connection that was used last; nil when none is young enough.
func (p *pool) take(address string, repeatable bool) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if !repeatable && now.After(c.freshUntil) {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection whose exchange has ended cleanly, and closes those that have been idle for too long.
func (p *pool) put(address string, c *conn) {
	now := time.Now()
	c.usableUntil, c.freshUntil = now.Add(c.limit), now.Add(min(freshTimeout, c.limit))
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	list = append(list, c)
	old := 0
	for old < len(list) && (now.After(list[old].usableUntil) || len(list)-old > maxIdle) {
		_ = list[old].Close()
		old++
	}
	p.idle[address] = list[old:]
}

// close ends all idle connections.
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

// attempt is the end of an attempt to connect.
type attempt struct {
	conn net.Conn
	err  error
}

// connect returns when the connection is made or ctx ends; a connection that comes later is closed.
func (p *pool) connect(ctx context.Context, address string) (*conn, error) {
	result := make(chan attempt, 1)
	p.dials.Go(func() {
		nc, err := p.dial(ctx, "tcp", address)
		if err == nil && ctx.Err() != nil {
			_ = nc.Close()
			err = ctx.Err()
		}
		result <- attempt{conn: nc, err: err}
	})
	select {
	case d := <-result:
		if d.err != nil {
			return nil, d.err
		}
		return &conn{Conn: d.conn, r: bufio.NewReaderSize(d.conn, bufferBytes), limit: idleTimeout}, nil
	case <-ctx.Done():
		p.dials.Go(func() {
			if d := <-result; d.err == nil {
				_ = d.conn.Close()
			}
		})
		return nil, ctx.Err()
	}
}
