// Package acceptor serves HTTP/1.1 to callers. It builds on the parts of
// net/http and differs from http.Server in three ways that a mesh needs:
//
//   - Pipelined requests of a connection run concurrently. Their answers are
//     still sent in order.
//   - A connection is read while its requests run, so that their contexts are
//     cancelled when the caller disconnects, even if further requests are
//     pipelined behind them.
//   - An answer announces the close of its connection only if no later request
//     of the connection has started.
//
// A Server takes an http.Handler:
//
//	s := &acceptor.Server{Handler: receiver, MaxHeaderBytes: 64 << 10}
//	group.Go(func() error { return s.Serve(ctx, listener) })
//	s.Drain() // from now on answers close their connections
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of a Server.
const (
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	// maxPipelined is the maximum number of requests of one connection that run at once.
	maxPipelined = 32
	// lingerTimeout is how long a connection is still read after its write side
	// has been closed. Closing it with unread bytes would reset it, and the
	// caller could lose the answer. It also bounds the write of an answer that
	// rejects malformed bytes.
	lingerTimeout       = 500 * time.Millisecond
	defaultCloseTimeout = 3 * time.Second
)

// Server serves HTTP/1.1 connections of callers. Zero values of its fields select the defaults.
type Server struct {
	Handler http.Handler
	// MaxHeaderBytes bounds the size of a request's headers. Limits can lower it but not raise it.
	MaxHeaderBytes int
	// Limits returns the limits that currently apply. If it is nil, the defaults apply.
	Limits func() Limits
	// CloseTimeout bounds how long Serve waits for running requests after its context has ended.
	CloseTimeout time.Duration
	// Delay returns how late this process runs; nil means never late.
	Delay func() time.Duration
	// OnPanic, if not nil, is called with the value of a panic in Handler, except for http.ErrAbortHandler.
	OnPanic func(value any)

	draining atomic.Bool
	// connections counts those that were accepted.
	connections atomic.Uint64
	mu          sync.Mutex
	// conns holds the open connections. Guarded by mu.
	conns map[*conn]struct{}
	group sync.WaitGroup
}

// Limits bounds the size and the duration of what callers send. Zero values of its fields select the defaults.
type Limits struct {
	// MaxHeaderBytes bounds the size of a request's headers.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a request to the end of its headers.
	HeaderTimeout time.Duration
	// IdleTimeout bounds how long a connection stays open without a request.
	IdleTimeout time.Duration
}

// effectiveLimits returns the limits that currently apply, with defaults in place of zero values.
func (s *Server) effectiveLimits() Limits {
	var l Limits
	if s.Limits != nil {
		l = s.Limits()
	}
	maxHeaderBytes := orDefault(s.MaxHeaderBytes, defaultMaxHeaderBytes)
	l.MaxHeaderBytes = min(orDefault(l.MaxHeaderBytes, maxHeaderBytes), maxHeaderBytes)
	l.HeaderTimeout = orDefault(l.HeaderTimeout, defaultHeaderTimeout)
	l.IdleTimeout = orDefault(l.IdleTimeout, defaultIdleTimeout)
	return l
}

// Drain makes every further answer close its connection. New connections are still accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// Serve accepts connections until ctx ends. It then closes idle connections,
// waits up to CloseTimeout for running requests and aborts the remaining ones.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var err error
	for {
		var nc net.Conn
		if nc, err = ln.Accept(); err != nil {
			break
		}
		c := newConn(s, nc)
		s.addConn(c)
		s.group.Go(c.serve)
	}
	s.shutdown()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// delay returns how late this process runs.
func (s *Server) delay() time.Duration {
	if s.Delay == nil {
		return 0
	}
	return s.Delay()
}

func (s *Server) addConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[c] = struct{}{}
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// CloseIdle closes the eighth of the idle connections, at least one, that have been idle
// for longest, to make room for others.
func (s *Server) CloseIdle() {
	type idleConn struct {
		conn  *conn
		since time.Time
	}
	var idle []idleConn
	for _, c := range s.openConns() {
		if since, ok := c.idleSince(); ok {
			idle = append(idle, idleConn{conn: c, since: since})
		}
	}
	slices.SortFunc(idle, func(a, b idleConn) int { return a.since.Compare(b.since) })
	for _, c := range idle[:min(len(idle), max(len(idle)/8, 1))] {
		c.conn.closeWhenIdle()
	}
}

// shutdown closes idle connections at once and the others when their requests have ended or CloseTimeout has passed.
func (s *Server) shutdown() {
	s.Drain()
	for _, c := range s.openConns() {
		c.closeWhenIdle()
	}
	done := make(chan struct{})
	var waitGroup sync.WaitGroup
	waitGroup.Go(func() {
		s.group.Wait()
		close(done)
	})
	timer := time.NewTimer(orDefault(s.CloseTimeout, defaultCloseTimeout))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		for _, c := range s.openConns() {
			c.abort()
		}
	}
	waitGroup.Wait()
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
