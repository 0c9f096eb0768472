// Package linker opens streams between nodes. It keeps one yamux session for
// each peer and traffic class, so that bulk bodies never stand in front of
// short requests or control messages on one connection.
//
// A stream begins with a StreamOpen message that names its protocol; the
// serving side hands the stream to the handler registered for that name.
package linker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"

	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/wirepb"
)

// Traffic separates sessions to one peer.
type Traffic string

// The traffic classes between nodes.
const (
	TrafficControl Traffic = "control"
	TrafficShort   Traffic = "short"
	TrafficBulk    Traffic = "bulk"
)

const (
	dialTimeout       = 2 * time.Second
	keepAliveInterval = 1 * time.Second
	writeTimeout      = 3 * time.Second
	openTimeout       = 2 * time.Second
	maxKindBytes      = 256
)

// UnreachableError tells that no stream to the peer could be opened: nothing was sent.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("node at %s is unreachable: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Stream is one exchange with a peer. Reader buffers what the peer sends and
// must be used for all reads.
type Stream struct {
	net.Conn
	Reader *bufio.Reader
}

// Handler serves one stream and returns when it is done with it.
type Handler func(ctx context.Context, s *Stream)

type sessionKey struct {
	address string
	traffic Traffic
}

// Linker opens and serves streams.
type Linker struct {
	// Dial connects to a peer. Tests replace it.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	handlers map[string]Handler
	mu       sync.Mutex
	// sessions holds at most one live session for each peer and traffic class. Guarded by mu.
	sessions map[sessionKey]*yamux.Session
	// dials serialises connecting to one peer and class. Guarded by mu.
	dials map[sessionKey]*sync.Mutex
}

// New returns a linker that dials TCP.
func New() *Linker {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Linker{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		handlers: map[string]Handler{},
		sessions: map[sessionKey]*yamux.Session{},
		dials:    map[sessionKey]*sync.Mutex{},
	}
}

// Handle registers the handler of a kind of stream. Call it before Serve.
func (l *Linker) Handle(kind string, h Handler) { l.handlers[kind] = h }

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = openTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// Open starts a stream of the given kind. On *UnreachableError the peer has received nothing.
func (l *Linker) Open(ctx context.Context, address string, traffic Traffic, kind string) (*Stream, error) {
	session, err := l.session(ctx, sessionKey{address, traffic})
	if err != nil {
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	conn, err := session.Open()
	if err != nil {
		_ = session.Close()
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	if err := encoder.Write(conn, &wirepb.StreamOpen{Kind: kind}, maxKindBytes); err != nil {
		_ = conn.Close()
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	return &Stream{Conn: conn, Reader: bufio.NewReader(conn)}, nil
}

func (l *Linker) session(ctx context.Context, key sessionKey) (*yamux.Session, error) {
	l.mu.Lock()
	if s := l.sessions[key]; s != nil && !s.IsClosed() {
		l.mu.Unlock()
		return s, nil
	}
	dial := l.dials[key]
	if dial == nil {
		dial = &sync.Mutex{}
		l.dials[key] = dial
	}
	l.mu.Unlock()

	dial.Lock()
	defer dial.Unlock()
	l.mu.Lock()
	s := l.sessions[key]
	l.mu.Unlock()
	if s != nil && !s.IsClosed() {
		return s, nil
	}
	conn, err := l.Dial(ctx, key.address)
	if err != nil {
		return nil, err
	}
	s, err = yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	l.mu.Lock()
	l.sessions[key] = s
	l.mu.Unlock()
	return s, nil
}

// Serve accepts sessions until ctx ends or the listener fails.
func (l *Linker) Serve(ctx context.Context, ln net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return ln.Close()
	})
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				break
			}
			return err
		}
		group.Go(func() error {
			l.serveSession(ctx, conn)
			return nil
		})
	}
	return group.Wait()
}

func (l *Linker) serveSession(ctx context.Context, conn net.Conn) {
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	var group errgroup.Group
	for {
		stream, err := session.Accept()
		if err != nil {
			break
		}
		group.Go(func() error {
			l.serveStream(ctx, stream)
			return nil
		})
	}
	_ = group.Wait()
}

func (l *Linker) serveStream(ctx context.Context, conn net.Conn) {
	defer conn.Close() //nolint:errcheck // the stream is done with
	r := bufio.NewReader(conn)
	var open wirepb.StreamOpen
	if err := encoder.Read(r, &open, maxKindBytes); err != nil {
		return
	}
	if h := l.handlers[open.GetKind()]; h != nil {
		h(ctx, &Stream{Conn: conn, Reader: r})
	}
}

// Close ends every session that this node opened.
func (l *Linker) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, s := range l.sessions {
		_ = s.Close()
		delete(l.sessions, key)
	}
}
