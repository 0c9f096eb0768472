// Package acceptor serves HTTP/1.1 to callers. It differs from http.Server in
// three ways that a mesh needs, and is otherwise built of net/http's parts:
//
//   - Requests that a caller sends before the first is answered run at the same
//     time. Their answers are still sent in order.
//   - A connection is read while its requests run, so that their contexts end
//     when the caller goes away, also with further requests waiting behind them.
//   - A connection is only closed after an answer that said so and that no
//     request which has started stands behind.
//
// A Server takes an http.Handler:
//
//	s := &acceptor.Server{Handler: receiver, MaxHeaderBytes: 64 << 10}
//	group.Go(func() error { return s.Serve(ctx, listener) })
//	s.Drain() // answers now close their connections
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of a Server.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// maxPipelined bounds the requests of one connection that run at once.
	maxPipelined = 32
	// lingerTime is how long a closed connection is still read, so that bytes
	// which the caller has sent do not reset it before the answer is read.
	lingerTime          = 500 * time.Millisecond
	defaultCloseTimeout = 3 * time.Second
)

// Server serves callers. The zero values of its fields stand for defaults.
type Server struct {
	Handler http.Handler
	// MaxHeaderBytes bounds the headers of a request, whatever Limits say.
	MaxHeaderBytes int
	// Limits returns what callers may do at this moment; nil leaves it to the defaults.
	Limits func() Limits
	// CloseTimeout bounds how long Serve waits for requests after its context has ended.
	CloseTimeout time.Duration
	// Panicked is told of a panic of the handler other than http.ErrAbortHandler; nil means nobody.
	OnPanic func(value any)

	draining atomic.Bool
	mu       sync.Mutex
	// conns holds the open connections. Guarded by mu.
	conns map[*conn]struct{}
	group sync.WaitGroup
}

// Limits bound what callers may do. The zero values of its fields stand for defaults.
type Limits struct {
	// HeaderBytes of a request, at most.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a request to the end of its headers.
	HeaderTimeout time.Duration
	// IdleTimeout bounds how long a connection carries no request.
	IdleTimeout time.Duration
}

// limits returns those in force, without zero values.
func (s *Server) limits() Limits {
	var l Limits
	if s.Limits != nil {
		l = s.Limits()
	}
	most := orDefault(s.MaxHeaderBytes, defaultHeaderBytes)
	l.MaxHeaderBytes = min(orDefault(l.MaxHeaderBytes, most), most)
	l.HeaderTimeout = orDefault(l.HeaderTimeout, defaultHeaderTimeout)
	l.IdleTimeout = orDefault(l.IdleTimeout, defaultIdleTimeout)
	return l
}

// Drain makes every further answer close its connection. New connections are still taken.
func (s *Server) Drain() { s.draining.Store(true) }

// Serve accepts connections until ctx ends. It then closes idle connections,
// waits a bounded time for the requests under way and closes the rest.
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
		s.add(c)
		s.group.Go(c.serve)
	}
	s.shutdown()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// shutdown ends all connections, those that carry requests after these have ended.
func (s *Server) shutdown() {
	s.Drain()
	for _, c := range s.open() {
		c.closeWhenIdle()
	}
	ended := make(chan struct{})
	var waiter sync.WaitGroup
	waiter.Go(func() {
		s.group.Wait()
		close(ended)
	})
	timer := time.NewTimer(orDefault(s.CloseTimeout, defaultCloseTimeout))
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		for _, c := range s.open() {
			c.abort()
		}
	}
	waiter.Wait()
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
