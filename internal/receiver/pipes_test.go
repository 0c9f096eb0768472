package receiver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// pipes is a network of in-memory connections, which run under fake time.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	// conns are the dialled ends, by address.
	conns map[string][]*pipeConn
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
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &pipeConn{Conn: near, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = append(n.conns[address], c)
	return c, nil
}

// silence makes all open connections to an address swallow what is sent and deliver nothing.
func (n *pipes) silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		c.silent.Store(true)
	}
}

// cut closes all open connections to an address.
func (n *pipes) cut(address string) {
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

// pipeConn can go silent.
type pipeConn struct {
	net.Conn
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (c *pipeConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *pipeConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *pipeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
