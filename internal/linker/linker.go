// Package linker opens streams between nodes. It keeps one yamux session per
// peer and traffic class, so that bulk bodies never delay short requests or
// control messages on the same connection.
//
// A stream begins with a StreamOpen message that carries the kind of the stream,
// which names its protocol. The serving side passes the stream to the handler
// registered for that kind.
package linker

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/wirepb"
)

// Traffic is a traffic class. Each class has its own session to a peer.
type Traffic string

// The traffic classes between nodes.
const (
	TrafficControl Traffic = "control"
	TrafficShort   Traffic = "short"
	TrafficBulk    Traffic = "bulk"
	// TrafficRequests stands for short or bulk traffic where the two cannot be distinguished.
	TrafficRequests Traffic = "requests"
	// TrafficUnknown stands for an accepted connection before its first stream.
	TrafficUnknown Traffic = "unknown"
)

const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 3 * time.Second
	// openTimeout is how long a peer may leave a stream unaccepted before its session is
	// closed, with all its streams. A peer that is short of processor time answers pings late
	// but answers, and so does one that serves maxStreams streams: the requests under way
	// there are not given up for that. Sessions of peers that are gone end by their pings.
	openTimeout = 30 * time.Second
	// maxOpening bounds the streams of a session that wait to be opened. Each holds memory
	// until the peer accepts streams again, also when its request has gone elsewhere.
	maxOpening   = 64
	maxKindBytes = 256
	// defaultWindowBytes is the smallest window that yamux allows.
	defaultWindowBytes = 256 << 10
	// readBufferBytes is the size of a stream's read buffer. Longer reads bypass it.
	readBufferBytes = 512
)

// UnreachableError reports that no stream to the peer could be opened. Nothing was sent.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("node at %s is unreachable: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// InterruptedError reports that the connection failed while the first message was
// being sent. The peer may have received the message.
type InterruptedError struct {
	Address string
	Cause   error
}

func (e *InterruptedError) Error() string {
	return fmt.Sprintf("connection to the node at %s failed during a send: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *InterruptedError) Unwrap() error { return e.Cause }

// Stream is a stream to or from a peer. Reader buffers what the peer sends and
// must be used for all reads.
type Stream struct {
	net.Conn
	Reader *bufio.Reader
	// link is nil on the serving side.
	link *link
}

// Reusable tells whether the stream can carry another exchange: its session is
// neither closed nor silent. It marks the session as used.
func (s *Stream) Reusable() bool { return s.link != nil && s.link.tryUse() }

// ReleaseBuffers frees buffers of the stream that are no longer needed. It must
// not be called while data is being transferred.
func (s *Stream) ReleaseBuffers() {
	if muxed, ok := s.Conn.(*yamux.Stream); ok {
		muxed.Shrink()
	}
}

// Abort ends the stream at once in both directions. Pending reads and writes return.
func (s *Stream) Abort() {
	_ = s.SetDeadline(longAgo)
	_ = s.Close()
}

var longAgo = time.Unix(1, 0)

// Handler serves one stream. The stream is closed when it returns.
type Handler func(ctx context.Context, s *Stream)

// Linker opens and serves streams.
type Linker struct {
	// Dial connects to a peer. Tests replace it.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// windowBytes is the maximum number of bytes in flight on a stream.
	windowBytes uint32
	handlers    map[string]Handler
	// countBytes is nil if bytes are not counted; classify is nil if accepted
	// connections stay unclassified.
	countBytes ByteCounter
	classify   TrafficClassifier
	mu         sync.Mutex
	// linkSets holds the sessions by peer and traffic class. Guarded by mu.
	linkSets map[linkKey]*linkSet
	// closed is set once no further session is opened. Guarded by mu.
	closed bool
	// monitors counts the goroutines that check sessions. It grows only while closed is not set.
	monitors sync.WaitGroup
}

// Option configures a linker.
type Option func(*Linker)

// WithWindow sets the maximum number of bytes in flight on a stream, at least 256 KiB.
func WithWindow(bytes uint32) Option { return func(l *Linker) { l.windowBytes = bytes } }

// New returns a linker that dials TCP.
func New(options ...Option) *Linker {
	dialer := &net.Dialer{Timeout: dialTimeout}
	l := &Linker{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		windowBytes: defaultWindowBytes,
		handlers:    map[string]Handler{},
		linkSets:    map[linkKey]*linkSet{},
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Handle registers the handler of a kind of stream. Call it before Serve.
func (l *Linker) Handle(kind string, h Handler) { l.handlers[kind] = h }

// Open starts a stream of the given kind. When it returns *UnreachableError, the peer
// has received nothing; *InterruptedError means that it may have.
func (l *Linker) Open(ctx context.Context, address string, traffic Traffic, kind string) (*Stream, error) {
	return l.open(ctx, address, traffic, kind, nil, 0)
}

// OpenWith starts a stream and sends the first message, of at most limit bytes,
// in one frame with the StreamOpen message. When it returns *UnreachableError, the peer
// has received nothing; *InterruptedError means that it may have.
func (l *Linker) OpenWith(ctx context.Context, address string, traffic Traffic, kind string, first proto.Message, limit int) (*Stream, error) {
	return l.open(ctx, address, traffic, kind, first, limit)
}

func (l *Linker) open(ctx context.Context, address string, traffic Traffic, kind string, first proto.Message, limit int) (*Stream, error) {
	var buf bytes.Buffer
	if err := encoder.Write(&buf, &wirepb.StreamOpen{Kind: kind}, maxKindBytes); err != nil {
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	if first != nil {
		if err := encoder.Write(&buf, first, limit); err != nil {
			return nil, &UnreachableError{Address: address, Cause: err}
		}
	}
	key := linkKey{address, traffic}
	link, err := l.activeLink(ctx, key)
	if err != nil {
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	conn, err := l.openStream(ctx, link)
	if err != nil {
		var busy *BusyError
		if ctx.Err() == nil && !errors.As(err, &busy) {
			l.retire(l.linkSet(key), link)
		}
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	if _, err := conn.Write(buf.Bytes()); err != nil {
		_ = conn.Close()
		return nil, &InterruptedError{Address: address, Cause: err}
	}
	return &Stream{Conn: conn, Reader: bufio.NewReaderSize(conn, readBufferBytes), link: link}, nil
}

// openStream opens a stream of the session. It waits no longer than ctx while the peer
// leaves too many streams unaccepted.
func (l *Linker) openStream(ctx context.Context, on *link) (net.Conn, error) {
	type result struct {
		conn net.Conn
		err  error
	}
	opened := make(chan result)
	if on.opening.Add(1) > maxOpening {
		on.opening.Add(-1)
		return nil, &BusyError{}
	}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		on.opening.Add(-1)
		return nil, &ClosedError{}
	}
	l.monitors.Go(func() {
		defer on.opening.Add(-1)
		conn, err := on.session.Open()
		select {
		case opened <- result{conn, err}:
		case <-ctx.Done():
			if err == nil {
				_ = conn.Close()
			}
		}
	})
	l.mu.Unlock()
	select {
	case r := <-opened:
		return r.conn, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// BusyError reports that the peer leaves too many streams unaccepted.
type BusyError struct{}

func (*BusyError) Error() string { return "the peer accepts no streams" }

// ClosedError reports that a linker opens no sessions any more.
type ClosedError struct{}

func (*ClosedError) Error() string { return "the linker is closed" }

// Close closes every session that this node opened. Opening another one fails from then on.
func (l *Linker) Close() {
	l.mu.Lock()
	l.closed = true
	for _, s := range l.linkSets {
		for _, link := range s.all() {
			_ = link.session.Close()
		}
	}
	l.mu.Unlock()
	l.monitors.Wait()
}
