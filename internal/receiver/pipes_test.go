package receiver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// pipes is a network of in-memory connections, which work under fake time.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	// conns holds the dialling ends of connections by address.
	conns map[string][]*pipeConn
	// record is called with what is sent over connections to an address, either way; nil
	// records nothing.
	record func(address string, b []byte)
}

func newPipes() *pipes {
	return &pipes{listeners: map[string]*pipeListener{}, conns: map[string][]*pipeConn{}}
}

func (n *pipes) listen(address string) *pipeListener {
	l := &pipeListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

func (n *pipes) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "tcp", Addr: pipeAddr(address), Err: net.ErrClosed}
	if l == nil {
		return nil, refused
	}
	client, server := net.Pipe()
	select {
	case l.accepted <- server:
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &pipeConn{Conn: client, closed: make(chan struct{}), record: func([]byte) {}}
	if n.record != nil {
		c.record = func(b []byte) { n.record(address, b) }
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = append(n.conns[address], c)
	return c, nil
}

// blackhole makes all open connections to an address discard what is sent and deliver nothing.
func (n *pipes) blackhole(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		c.isBlackholed.Store(true)
	}
}

// closeConns closes all open connections to an address.
func (n *pipes) closeConns(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		_ = c.Close()
	}
}

type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }

type pipeListener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.address) }

// pipeConn is a connection that can be made to discard its traffic.
type pipeConn struct {
	net.Conn
	isBlackholed atomic.Bool
	closed       chan struct{}
	once         sync.Once
	record       func(b []byte)
}

func (c *pipeConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isBlackholed.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	c.record(b[:n])
	return n, err
}

func (c *pipeConn) Write(b []byte) (int, error) {
	if c.isBlackholed.Load() {
		return len(b), nil
	}
	c.record(b)
	return c.Conn.Write(b)
}

func (c *pipeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
