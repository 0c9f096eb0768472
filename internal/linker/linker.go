// Package linker opens streams between nodes. It keeps one yamux session for
// each peer and traffic class, so that bulk bodies never stand in front of
// short requests or control messages on one connection.
//
// A stream begins with a StreamOpen message that names its protocol; the
// serving side hands the stream to the handler registered for that name.
package linker

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

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
	// TrafficRequests stands for short and bulk together, where they cannot be told apart.
	TrafficRequests Traffic = "requests"
	// TrafficUnknown stands for an accepted connection before its first stream.
	TrafficUnknown Traffic = "unknown"
)

const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 3 * time.Second
	openTimeout  = 2 * time.Second
	maxKindBytes = 256
	// defaultWindow is the smallest that yamux allows.
	defaultWindow = 256 << 10
	// readerBytes is the buffer of a stream. Longer reads go past it.
	readerBytes = 512
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

// InterruptedError tells that the connection failed while the first message was
// being sent: the peer may have received it.
type InterruptedError struct {
	Address string
	Cause   error
}

func (e *InterruptedError) Error() string {
	return fmt.Sprintf("connection to the node at %s failed during a send: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *InterruptedError) Unwrap() error { return e.Cause }

// Stream is one exchange with a peer. Reader buffers what the peer sends and
// must be used for all reads.
type Stream struct {
	net.Conn
	Reader *bufio.Reader
	// link is nil on the serving side.
	link *link
}

// Reusable tells that the stream's session is not known to be closed or silent.
func (s *Stream) Reusable() bool { return s.link != nil && s.link.usable() }

// Rest frees what the stream holds beyond need. Nothing may be under way on it.
func (s *Stream) Rest() {
	if y, ok := s.Conn.(*yamux.Stream); ok {
		y.Shrink()
	}
}

// Abort ends the stream at once in both directions, reads under way included.
func (s *Stream) Abort() {
	_ = s.SetDeadline(longAgo)
	_ = s.Close()
}

var longAgo = time.Unix(1, 0)

// Handler serves one stream and returns when it is done with it.
type Handler func(ctx context.Context, s *Stream)

// Linker opens and serves streams.
type Linker struct {
	// Dial connects to a peer. Tests replace it.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// window is how many bytes a stream may have on its way, in bytes.
	window   uint32
	handlers map[string]Handler
	// count and trafficOf are nil when bytes are not counted.
	count     Count
	trafficOf TrafficOf
	mu        sync.Mutex
	// slots holds what is known of each peer and traffic class. Guarded by mu.
	slots map[slotKey]*slot
	// watchers are the goroutines that check sessions.
	watchers sync.WaitGroup
}

// Option changes a linker.
type Option func(*Linker)

// WithWindow sets how many bytes a stream may have on its way; at least 256 KiB.
func WithWindow(bytes uint32) Option { return func(l *Linker) { l.window = bytes } }

// New returns a linker that dials TCP.
func New(options ...Option) *Linker {
	dialer := &net.Dialer{Timeout: dialTimeout}
	l := &Linker{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		window:   defaultWindow,
		handlers: map[string]Handler{},
		slots:    map[slotKey]*slot{},
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Handle registers the handler of a kind of stream. Call it before Serve.
func (l *Linker) Handle(kind string, h Handler) { l.handlers[kind] = h }

// Open starts a stream of the given kind. On *UnreachableError the peer has received nothing.
func (l *Linker) Open(ctx context.Context, address string, traffic Traffic, kind string) (*Stream, error) {
	return l.open(ctx, address, traffic, kind, nil, 0)
}

// OpenWith starts a stream and sends the first message, of at most limit
// bytes, in one frame with the opening. On *UnreachableError the peer has
// received nothing; on *InterruptedError it may have.
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
	link, err := l.link(ctx, slotKey{address, traffic})
	if err != nil {
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	conn, err := link.session.Open()
	if err != nil {
		_ = link.session.Close()
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	if _, err := conn.Write(buf.Bytes()); err != nil {
		_ = conn.Close()
		return nil, &InterruptedError{Address: address, Cause: err}
	}
	return &Stream{Conn: conn, Reader: bufio.NewReaderSize(conn, readerBytes), link: link}, nil
}

// Close ends every session that this node opened.
func (l *Linker) Close() {
	l.mu.Lock()
	for _, s := range l.slots {
		for _, link := range s.links() {
			_ = link.session.Close()
		}
	}
	l.mu.Unlock()
	l.watchers.Wait()
}
