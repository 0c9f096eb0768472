package composer

import (
	"net"
	"sync"
	"syscall"
)

// boundedListener limits the number of open connections. Further connections wait
// in the accept queue of the kernel.
type boundedListener struct {
	net.Listener
	// slots holds one token for each open connection.
	slots chan struct{}
	// onFull is called when all slots are taken, to free some of them.
	onFull func()
	done   chan struct{}
	once   sync.Once
}

func newBoundedListener(ln net.Listener, maxConns int, onFull func()) *boundedListener {
	return &boundedListener{Listener: ln, slots: make(chan struct{}, maxConns), onFull: onFull, done: make(chan struct{})}
}

// Accept waits for a free slot and then for a connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	if len(l.slots) == cap(l.slots) {
		l.onFull()
	}
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &boundedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// Close closes the listener. It also ends an Accept that waits for a slot.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// boundedConn releases its slot when it is closed for the first time.
type boundedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// CloseWrite closes the write side of a TCP connection. The read side stays open.
func (c *boundedConn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return net.ErrClosed
	}
	return tcp.CloseWrite()
}

// SyscallConn returns the raw connection.
func (c *boundedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return sc.SyscallConn()
}

// Close closes the connection.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
